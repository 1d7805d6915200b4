package sequoiafront

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
)

// readRequest reads a request, of which the first byte has arrived.
func (c *serverConn) readRequest() (*exchange, error) {
	e, err := c.readParts()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, errors.WithStack(errRequestSilent)
	}
	return e, err
}

func (c *serverConn) readParts() (*exchange, error) {
	h := &headReader{r: c.r}
	c.extendReadDeadline()
	line, err := h.readLine()
	if err != nil {
		return nil, unexpectedEOF(err)
	}
	if err := checkRequestLine(line); err != nil {
		return nil, err
	}
	if err := h.readFields(); err != nil {
		return nil, unexpectedEOF(err)
	}
	r, err := parseHead(h.raw)
	if err != nil {
		return nil, err
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
	e := &exchange{request: r, body: body, arrival: time.Now(), response: newResponseWriter(r)}
	e.repeatable = c.listener.repeatable != nil && c.listener.repeatable(r)
	return e, nil
}

// readBody reads the body of a request.
func (c *serverConn) readBody(r *http.Request, h *headReader) ([]byte, error) {
	length, err := bodyLength(r)
	if err != nil || length == 0 {
		return nil, err
	}
	if length > c.listener.maxBody {
		return nil, errors.WithStack(errBodyTooLarge)
	}
	if err := c.continueRequest(r); err != nil {
		return nil, err
	}
	if length == chunkedLength {
		return c.readChunked(h, c.listener.maxBody)
	}
	return c.readSized(length)
}
