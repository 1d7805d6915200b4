package sequoiapeer

import (
	"encoding/binary"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiamemory"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
)

const (
	// largeFrame is the size in bytes from which memory is reserved for an incomplete request or response. Processes with
	// protocol version 2 send larger ones in pieces.
	largeFrame = 64 << 10
	// unreservedRequest is the size in bytes up to which a request is served without a reservation, so that messages
	// between processes get through when clients' requests use up the memory.
	unreservedRequest = 16 << 10
	// unreservedResponse is the same for the frame of a response.
	unreservedResponse = 16 << 10
	// smallHeader is the size in bytes up to which no memory is reserved for a decoded header.
	smallHeader = 4 << 10
	// noMemoryRetryAfter is the Retry-After time of a request for which there is no memory.
	noMemoryRetryAfter = 250 * time.Millisecond
)

// reserveFrame reserves memory for the large request or response whose first part is in rest. If there is none, it refuses
// the request or ends the call, and lets the rest of the frame be skipped. It returns the part of rest to keep.
func (c *forwardConn) reserveFrame(rest []byte) ([]byte, error) {
	if c.state != stateReady || c.releaseFrame.Load() != nil || len(rest) < headerSize || frameKind(rest[1]) != c.largeKind() {
		return rest, nil
	}
	size := headerSize + int(binary.BigEndian.Uint32(rest[4:]))
	if size < largeFrame {
		return rest, nil
	}
	release, ok := c.forwarder.ReserveBody(size)
	if ok {
		c.releaseFrame.Store(&release)
		if c.isClosed() {
			c.frameComplete()
		}
		return rest, nil
	}
	c.skip = size - len(rest)
	number := binary.BigEndian.Uint64(rest[8:])
	if c.dialed {
		c.forwarder.bodies.countNoMemory()
		return nil, c.endCall(number, callResult{err: errors.Wrapf(ErrNoMemory, "response with %d bytes", size)}, nil)
	}
	if err := c.acceptNumber(number); err != nil {
		return nil, err
	}
	return nil, c.refuseNoMemory(number, &sequoiarouter.Request{})
}

// largeKind returns the kind of the frames that the peer may send and that may be large.
func (c *forwardConn) largeKind() frameKind {
	if c.dialed {
		return frameResponse
	}
	return frameRequest
}

func (c *forwardConn) refuseNoMemory(number uint64, req *sequoiarouter.Request) error {
	c.forwarder.bodies.countNoMemory()
	return c.respond(number, c.forwarder.Refuse(req, ReasonNoMemory, noMemoryRetryAfter))
}

// reserveRequest returns the function that releases the memory of a complete request, whose frame has the size. That which
// is reserved for the frame becomes the request's. It returns false if there is no memory.
func (c *forwardConn) reserveRequest(size int, req *sequoiarouter.Request) (release func(), ok bool) {
	header := reservedHeader(req.Header)
	reserved := c.releaseFrame.Swap(nil)
	if reserved == nil && size+header <= unreservedRequest {
		return func() {}, true
	}
	if reserved == nil {
		return c.forwarder.ReserveBody(size + header)
	}
	releaseHeader, ok := c.forwarder.ReserveBody(header)
	if !ok {
		(*reserved)()
		return nil, false
	}
	return func() {
		releaseHeader()
		(*reserved)()
	}, true
}

// reservedHeader returns how many bytes to reserve for a decoded header: short lines occupy many times their size then.
func reservedHeader(h map[string][]string) int {
	if n := int(sequoiamemory.HeaderBytes(h)); n > smallHeader {
		return n
	}
	return 0
}

// frameComplete releases the memory reserved for an incomplete request that is complete now, or whose connection is closed.
func (c *forwardConn) frameComplete() {
	if release := c.releaseFrame.Swap(nil); release != nil {
		(*release)()
	}
}

// skipped removes the bytes from b that belong to a refused request.
func (c *forwardConn) skipped(b []byte) []byte {
	n := min(c.skip, len(b))
	c.skip -= n
	return b[n:]
}
