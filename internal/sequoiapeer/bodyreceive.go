package sequoiapeer

import (
	"context"
	"encoding/binary"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoialink"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatimer"
)

// MaxBody is the largest body in bytes that is sent in pieces.
const MaxBody = 64 << 20

// inlineBody is the largest body of a request in bytes that is sent within the request's frame. A larger one is offered
// to a process with protocol version 2.
const inlineBody = 8 << 10

// Reasons of a response that refuses an offered body, besides those of sequoialink.
const (
	// ReasonNoMemory means that there is no memory for the body.
	ReasonNoMemory = "NoMemory"
	// ReasonBodyTooLarge means that the body is larger than MaxBody.
	ReasonBodyTooLarge = "BodyTooLarge"
	reasonCancelled    = "Cancelled"
	reasonTooMany      = "TooManyRequests"
)

// BodyStats counts events of the bodies of requests that other processes offer.
type BodyStats struct {
	sequoialink.Stats
	// NoMemory counts bodies refused because there is no memory for them.
	NoMemory uint64
}

// incomingBody is an offered body with its request.
type incomingBody struct {
	conn     *forwardConn
	number   uint64
	req      *sequoiarouter.Request
	ctx      context.Context
	cancel   context.CancelFunc
	release  func()
	transfer *sequoialink.Transfer
	// buf holds what has arrived. Only the event loop's goroutine uses it.
	buf []byte
}

// bodyReceiver connects the Scheduler of this instance's link to the connections.
type bodyReceiver struct {
	timers *sequoiatimer.Service

	mu        sync.Mutex
	scheduler *sequoialink.Scheduler
	bodies    map[*sequoialink.Transfer]*incomingBody
	noMemory  uint64
	// timer is the subscription that advances the scheduler at due, nil if there is none.
	timer *sequoiatimer.Subscription
	due   time.Time
}

func newBodyReceiver(timers *sequoiatimer.Service, linkRate float64) *bodyReceiver {
	return &bodyReceiver{
		timers: timers, scheduler: sequoialink.New(linkRate), bodies: map[*sequoialink.Transfer]*incomingBody{},
	}
}

// offer hands an offered body to the scheduler. The body ends with a refusal, with remove, or when it has arrived.
func (r *bodyReceiver) offer(b *incomingBody) {
	r.mu.Lock()
	now := time.Now()
	var decisions []sequoialink.Decision
	if refusal := r.scheduler.Offer(now, b.transfer); refusal != nil {
		decisions = append(decisions, sequoialink.Decision{Transfer: b.transfer, Refused: refusal})
	}
	r.bodies[b.transfer] = b
	r.advance(now, decisions)
}

// arrived records that n more bytes of a body have arrived, and returns true once it is complete.
func (r *bodyReceiver) arrived(b *incomingBody, n int) (complete bool, err error) {
	r.mu.Lock()
	if r.bodies[b.transfer] == nil {
		// The body has been refused or withdrawn at the same time.
		r.mu.Unlock()
		return false, nil
	}
	now := time.Now()
	complete, err = r.scheduler.Arrived(now, b.transfer, n)
	if complete {
		delete(r.bodies, b.transfer)
	}
	r.advance(now, nil)
	return complete, err
}

// remove ends the transfer of a body.
func (r *bodyReceiver) remove(b *incomingBody) {
	r.mu.Lock()
	if r.bodies[b.transfer] == nil {
		r.mu.Unlock()
		return
	}
	delete(r.bodies, b.transfer)
	r.scheduler.Remove(b.transfer)
	r.advance(time.Now(), nil)
}

// advance carries out the given decisions and those that are due, and sets the timer for the next ones. The caller holds
// mu, which advance releases.
func (r *bodyReceiver) advance(now time.Time, decisions []sequoialink.Decision) {
	decisions = append(decisions, r.scheduler.Advance(now)...)
	r.schedule(now)
	affected := make([]*incomingBody, len(decisions))
	for i, d := range decisions {
		affected[i] = r.bodies[d.Transfer]
		if d.Refused != nil {
			delete(r.bodies, d.Transfer)
		}
	}
	r.mu.Unlock()
	for i, d := range decisions {
		if d.Refused != nil {
			affected[i].refuse(string(d.Refused.Reason), d.Refused.RetryAfter)
			continue
		}
		affected[i].grant(d.Granted)
	}
}

// schedule sets the timer for the scheduler's next decision. A timer that is already due earlier stays. The caller holds mu.
func (r *bodyReceiver) schedule(now time.Time) {
	wait, ok := r.scheduler.Next(now)
	if !ok || r.timer != nil && !now.Add(wait).Before(r.due) {
		return
	}
	if r.timer != nil {
		r.timer.Cancel()
	}
	r.due = now.Add(wait)
	var timer *sequoiatimer.Subscription
	timer = r.timers.After(wait, func(time.Time) {
		r.mu.Lock()
		if r.timer == timer {
			r.timer = nil
		}
		r.advance(time.Now(), nil)
	})
	r.timer = timer
}

func (r *bodyReceiver) delay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.scheduler.Delay()
}

func (r *bodyReceiver) stats() BodyStats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return BodyStats{Stats: r.scheduler.Stats(), NoMemory: r.noMemory}
}

func (r *bodyReceiver) countNoMemory() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noMemory++
}

// grant tells the sender up to which byte it may send the body. A later grant covers the earlier ones, so their order does
// not matter.
func (b *incomingBody) grant(granted int) {
	_ = b.conn.write(encodeFrame(frameGrant, b.number, binary.BigEndian.AppendUint64(nil, uint64(granted))))
}

// refuse answers a request whose body has not arrived. The request has not run.
func (b *incomingBody) refuse(reason string, retryAfter time.Duration) {
	if !b.conn.endReceiving(b) {
		return
	}
	b.end()
	if err := b.conn.respond(b.number, b.conn.forwarder.Refuse(b.req, reason, retryAfter)); err != nil {
		b.conn.close(err)
	}
}

// end releases what a body holds that has not become part of a running request.
func (b *incomingBody) end() {
	b.cancel()
	b.release()
}

// store adds a piece to the body. The buffer has the size of the body from the first piece on: nothing is copied again,
// and the operating system provides its pages as they are filled.
func (b *incomingBody) store(piece []byte) {
	if b.buf == nil {
		b.buf = make([]byte, 0, b.transfer.Size)
	}
	b.buf = append(b.buf, piece...)
}

// endReceiving removes a body from those that the connection receives. It returns false if another call has done so.
func (c *forwardConn) endReceiving(b *incomingBody) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.receiving[b.number] != b {
		return false
	}
	delete(c.receiving, b.number)
	return true
}

// handleOffer handles a request whose body is offered.
func (c *forwardConn) handleOffer(fr frame) error {
	req, err := c.readRequest(fr)
	if err != nil {
		return err
	}
	if req.BodySize == 0 {
		return errors.Wrap(ErrMalformed, "request: no offered body")
	}
	if req.BodySize > MaxBody {
		return c.respond(fr.number, c.forwarder.Refuse(req, ReasonBodyTooLarge, 0))
	}
	after, refusal := c.forwarder.Offered(req)
	if refusal != nil {
		return c.respond(fr.number, refusal)
	}
	release, ok := c.forwarder.ReserveBody(req.BodySize + reservedHeader(req.Header))
	if !ok {
		c.forwarder.bodies.countNoMemory()
		return c.respond(fr.number, c.forwarder.Refuse(req, ReasonNoMemory, noMemoryRetryAfter))
	}
	ctx, cancel := requestContext(req)
	b := &incomingBody{
		conn: c, number: fr.number, req: req, ctx: ctx, cancel: cancel, release: release,
		transfer: &sequoialink.Transfer{
			Size: req.BodySize, Priority: req.Priority, Objective: objective(req, time.Now()),
			Deadline: req.Deadline, After: after,
		},
	}
	c.mu.Lock()
	closed, tooMany := c.closeErr != nil, len(c.serving)+len(c.receiving) >= maxInFlight
	if !closed && !tooMany {
		c.receiving[fr.number] = b
	}
	c.mu.Unlock()
	switch {
	case closed:
		b.end()
		return nil
	case tooMany:
		b.end()
		return c.respond(fr.number, c.forwarder.Refuse(req, reasonTooMany, 0))
	}
	c.forwarder.bodies.offer(b)
	return nil
}

// objective returns when a request should be answered. It is zero if nothing is known.
func objective(req *sequoiarouter.Request, now time.Time) time.Time {
	if req.Objective <= 0 {
		return req.Deadline
	}
	if o := now.Add(req.Objective); req.Deadline.IsZero() || o.Before(req.Deadline) {
		return o
	}
	return req.Deadline
}

// handleBody adds a piece to an offered body, and starts to serve the request once the body is complete.
func (c *forwardConn) handleBody(fr frame) error {
	if fr.number > c.lastRequest {
		return errors.Wrapf(ErrRequestNumber, "body %d after %d", fr.number, c.lastRequest)
	}
	c.mu.Lock()
	b := c.receiving[fr.number]
	c.mu.Unlock()
	if b == nil {
		// The request was refused or withdrawn while the piece was on its way.
		return nil
	}
	if len(fr.payload) == 0 || len(b.buf)+len(fr.payload) > b.transfer.Size {
		return errors.Wrapf(ErrFrame, "piece of %d bytes at %d of %d", len(fr.payload), len(b.buf), b.transfer.Size)
	}
	b.store(fr.payload)
	complete, err := c.forwarder.bodies.arrived(b, len(fr.payload))
	if err != nil {
		return errors.Wrap(ErrFrame, err.Error())
	}
	if !complete || !c.endReceiving(b) {
		return nil
	}
	b.req.Body, b.req.BodySize = b.buf, 0
	return c.start(b.ctx, b.cancel, b.number, b.req, b.release)
}

// cancelBody ends a request whose body is being received. It returns false if there is none with that number.
func (c *forwardConn) cancelBody(number uint64) bool {
	c.mu.Lock()
	b := c.receiving[number]
	c.mu.Unlock()
	if b == nil {
		return false
	}
	c.forwarder.bodies.remove(b)
	b.refuse(reasonCancelled, 0)
	return true
}
