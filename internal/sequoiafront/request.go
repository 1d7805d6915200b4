package sequoiafront

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiamemory"
)

// firstHeadBytes is the size of the first buffer of a head, which suffices for most.
const firstHeadBytes = 1 << 10

// readRequest reads a request, of which the first byte has arrived. The exchange has reserved the memory of the request.
func (c *serverConn) readRequest() (*exchange, error) {
	h, ok := c.listener.account.Reserve(sequoiamemory.Request, budgetStep)
	if !ok {
		return nil, errors.WithStack(errNoRoom)
	}
	number := c.beginReading()
	h.OnEvict(func() { c.evictRequest(number) })
	e, err := c.readParts(&budget{holding: h, keepPace: c.keepPace, reserved: budgetStep})
	if evicted := c.endReading() || !h.OnEvict(nil); evicted && err == nil {
		err = errors.WithStack(errRequestSilent) // It was evicted just before it was complete.
	}
	if err != nil {
		h.Release()
		return nil, c.silence(err)
	}
	e.holding = h
	return e, nil
}

// silence returns the error for a request that could not be read because the client was silent for too long.
func (c *serverConn) silence(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stalled || errors.Is(err, os.ErrDeadlineExceeded) {
		return errors.WithStack(errRequestSilent)
	}
	return err
}

func (c *serverConn) readParts(b *budget) (*exchange, error) {
	e := &exchange{}
	h := &headReader{r: c.r, raw: make([]byte, 0, firstHeadBytes), budget: b}
	r, err := c.readHead(context.WithValue(c.ctx, exchangeKey{}, e), h)
	if err != nil {
		return nil, unexpectedEOF(err)
	}
	body, err := c.readBody(r, h)
	if err != nil {
		return nil, err
	}
	r.RemoteAddr = c.RemoteAddr().String()
	r.Body, r.ContentLength = http.NoBody, int64(len(body))
	if len(body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(body))
	}
	e.request, e.body, e.arrival, e.response = r, body, time.Now(), newResponseWriter(r)
	e.repeatable = c.listener.repeatable != nil && c.listener.repeatable(r)
	return e, nil
}

// readHead reads the head of a request. It keeps no buffer of it.
func (c *serverConn) readHead(ctx context.Context, h *headReader) (*http.Request, error) {
	line, err := h.readLine()
	if err != nil {
		return nil, err
	}
	if err := checkRequestLine(line); err != nil {
		return nil, err
	}
	if err := h.readFields(); err != nil {
		return nil, err
	}
	r, err := parseHead(ctx, h.raw)
	if err != nil {
		return nil, err
	}
	if limit := c.limits().MaxHead; len(h.raw) > limit {
		return nil, errors.WithStack(errHeadTooLarge)
	}
	released := int64(len(h.raw)) * (headFactor - 1)
	h.raw = nil
	return r, h.budget.charge(-released)
}

// limits returns the limits in force, none of which is zero.
func (c *serverConn) limits() Limits {
	limits := Limits{MaxHead: maxHeaderBytes, MaxBody: c.listener.maxBody, HeadTimeout: headTimeout, IdleTimeout: idleTimeout}
	if c.listener.limits == nil {
		return limits
	}
	now := c.listener.limits()
	if now.MaxHead > 0 {
		limits.MaxHead = min(limits.MaxHead, now.MaxHead)
	}
	if now.MaxBody > 0 {
		limits.MaxBody = min(limits.MaxBody, now.MaxBody)
	}
	if now.HeadTimeout > 0 {
		limits.HeadTimeout = now.HeadTimeout
	}
	if now.IdleTimeout > 0 {
		limits.IdleTimeout = now.IdleTimeout
	}
	return limits
}

// readBody reads the body of a request.
func (c *serverConn) readBody(r *http.Request, h *headReader) ([]byte, error) {
	length, err := bodyLength(r)
	if err != nil || length == 0 {
		return nil, err
	}
	limit := c.limits().MaxBody
	if length > limit {
		return nil, errors.WithStack(errBodyTooLarge)
	}
	if err := c.continueRequest(r); err != nil {
		return nil, err
	}
	c.beginBody()
	if length == chunkedLength {
		return c.readChunked(h, limit)
	}
	return c.readSized(length, h.budget)
}
