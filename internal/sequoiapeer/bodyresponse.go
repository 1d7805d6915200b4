package sequoiapeer

import (
	"sync"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
)

// inlineResponse is the largest body of a response in bytes that is sent within the response's frame. A larger one follows
// in pieces if the other process has protocol version 2, so that small responses overtake it.
const inlineResponse = 64 << 10

// smallQueue is the size in bytes of a send queue that may hold pongs only. On connections with long round trips some are
// always on their way.
const smallQueue = 1 << 10

// wireResponseHead is a response whose body follows in pieces.
type wireResponseHead struct {
	Response wireResponse `cbor:"1,keyasint"`
	BodySize int          `cbor:"2,keyasint"`
}

// incomingResponse is a response whose body is being received. Only the event loop's goroutine uses it.
type incomingResponse struct {
	resp *sequoiarouter.Response
	size int
	// arrived is the number of bytes that have arrived. They are not kept if the caller no longer waits.
	arrived int
	// release releases the memory reserved for the body. It is called when the caller has the response or has left.
	release func()
}

// answer sends the response to a request, with its body in pieces if it is large. It takes end if the response is sent later.
func (c *forwardConn) answer(number uint64, req *sequoiarouter.Request, resp *sequoiarouter.Response, end *answerEnd) error {
	if req.Version < sequoiarouter.ProtocolVersion || len(resp.Body) <= inlineResponse || len(resp.Body) > MaxBody {
		return c.respond(number, resp)
	}
	head := wireResponseHead{Response: wireResponse(*resp), BodySize: len(resp.Body)}
	head.Response.Body = nil
	buf := getBuffer()
	defer putBuffer(buf)
	err := encodeResponseFrame(buf, frameResponseHead, number, &head)
	if errors.Is(err, ErrTooLarge) {
		return c.respond(number, resp)
	}
	if err != nil {
		return err
	}
	b := &outgoingBody{conn: c, number: number, kind: frameResponseBody, body: resp.Body, deadline: req.Deadline}
	if !c.registerResponseBody(b, end) {
		return nil
	}
	if err := c.write(buf.Bytes()); err != nil {
		return err
	}
	c.forwarder.writer.grant(b, len(b.body))
	return nil
}

// sendsResponses reports whether the connection carries responses that the peer has not received completely.
func (c *forwardConn) sendsResponses() bool {
	c.mu.Lock()
	sending := len(c.sending) > 0
	c.mu.Unlock()
	return !c.dialed && (sending || c.queuedBytes() > smallQueue)
}

// registerResponseBody records that the body of a response is being sent, unless the connection has been closed.
func (c *forwardConn) registerResponseBody(b *outgoingBody, end *answerEnd) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeErr != nil {
		return false
	}
	b.release = end.take()
	c.sending[b.number] = b
	return true
}

// takeResponseBody removes the body of a response from those that are being sent. It returns nil if it is not among them;
// otherwise the caller ends it.
func (c *forwardConn) takeResponseBody(number uint64) *outgoingBody {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.sending[number]
	delete(c.sending, number)
	return b
}

// forgetResponseBody removes the body of a response that has been sent completely.
func (c *forwardConn) forgetResponseBody(number uint64) {
	if b := c.takeResponseBody(number); b != nil {
		b.end()
	}
}

// cancelResponseBody ends the sending of a response's body, because the caller no longer waits. A short response takes its
// place, so that the number of the request becomes free. It returns false if no such body is being sent.
func (c *forwardConn) cancelResponseBody(number uint64) (bool, error) {
	b := c.takeResponseBody(number)
	if b == nil {
		return false, nil
	}
	defer b.end()
	if c.forwarder.writer.stop(b) {
		return true, nil
	}
	return true, c.respond(number, &sequoiarouter.Response{Outcome: sequoiarouter.Unknown, Reason: reasonCancelled})
}

// handleResponseHead prepares to receive the body of a response.
func (c *forwardConn) handleResponseHead(fr frame) error {
	var head wireResponseHead
	if err := decoder.Unmarshal(fr.payload, &head); err != nil {
		return errors.Wrapf(ErrMalformed, "response: %v", err)
	}
	if err := head.Response.check(); err != nil {
		return err
	}
	if head.BodySize <= 0 || head.BodySize > MaxBody || len(head.Response.Body) > 0 {
		return errors.Wrapf(ErrMalformed, "response: body of %d bytes in pieces", head.BodySize)
	}
	resp := sequoiarouter.Response(head.Response)
	in := &incomingResponse{resp: &resp, size: head.BodySize}
	release, reserved := c.forwarder.ReserveBody(head.BodySize)
	if reserved {
		in.release = sync.OnceFunc(release)
	}
	pending, err := c.expectResponseBody(fr.number, in)
	if err != nil {
		in.end()
		return err
	}
	if !reserved && pending != nil {
		c.forwarder.bodies.countNoMemory()
		pending.done <- callResult{err: errors.Wrapf(ErrNoMemory, "response with %d bytes", head.BodySize)}
		return c.write(encodeFrame(frameCancel, fr.number, nil))
	}
	return nil
}

// expectResponseBody records that the body of a response follows. It returns the call, nil if its caller has left. If there
// is no memory for the body, the call is abandoned and its pieces are dropped.
func (c *forwardConn) expectResponseBody(number uint64, in *incomingResponse) (*call, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	pending := c.calls[number]
	if pending == nil || pending.response != nil {
		return nil, errors.Wrapf(ErrRequestNumber, "response %d", number)
	}
	pending.response = in
	if pending.abandoned {
		in.end()
		return nil, nil
	}
	pending.abandoned = in.release == nil
	return pending, nil
}

// end releases the memory reserved for the body.
func (in *incomingResponse) end() {
	if in.release != nil {
		in.release()
	}
}

// endResponse releases the memory of a response once its caller has it or has left.
func (c *forwardConn) endResponse(call *call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if call.response != nil {
		call.response.end()
	}
	if call.release != nil {
		call.release()
	}
}

// handleResponseBody adds a piece to the body of a response, and delivers the response once it is complete.
func (c *forwardConn) handleResponseBody(fr frame) error {
	c.mu.Lock()
	pending := c.calls[fr.number]
	if pending == nil && fr.number <= c.nextNumber {
		// A piece that was being written when the response was cancelled comes after the short response in its place.
		c.mu.Unlock()
		return nil
	}
	if pending == nil || pending.response == nil {
		c.mu.Unlock()
		return errors.Wrapf(ErrRequestNumber, "body of response %d", fr.number)
	}
	in, abandoned := pending.response, pending.abandoned
	if len(fr.payload) == 0 || in.arrived+len(fr.payload) > in.size {
		c.mu.Unlock()
		return errors.Wrapf(ErrFrame, "piece of %d bytes at %d of %d", len(fr.payload), in.arrived, in.size)
	}
	in.arrived += len(fr.payload)
	complete := in.arrived == in.size
	if complete {
		delete(c.calls, fr.number)
	}
	c.mu.Unlock()
	if abandoned {
		in.resp.Body = nil
		return nil
	}
	if in.resp.Body == nil {
		in.resp.Body = make([]byte, 0, in.size)
	}
	in.resp.Body = append(in.resp.Body, fr.payload...)
	if complete {
		pending.done <- callResult{resp: in.resp}
	}
	return nil
}
