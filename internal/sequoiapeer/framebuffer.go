package sequoiapeer

import (
	"encoding/binary"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
)

const (
	// largeFrame is the size in bytes from which memory is reserved for an incomplete request. Processes with protocol
	// version 2 send larger requests in pieces.
	largeFrame = 64 << 10
	// noMemoryRetryAfter is the Retry-After time of a request for which there is no memory.
	noMemoryRetryAfter = 250 * time.Millisecond
)

// reserveFrame reserves memory for the large request whose first part is in rest. If there is none, it refuses the request
// and lets the rest of the frame be skipped. It returns the part of rest to keep.
func (c *forwardConn) reserveFrame(rest []byte) ([]byte, error) {
	if c.dialed || c.state != stateReady || c.releaseFrame.Load() != nil || len(rest) < headerSize || frameKind(rest[1]) != frameRequest {
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
	number := binary.BigEndian.Uint64(rest[8:])
	if err := c.acceptNumber(number); err != nil {
		return nil, err
	}
	c.skip = size - len(rest)
	c.forwarder.bodies.countNoMemory()
	return nil, c.respond(number, c.forwarder.Refuse(&sequoiarouter.Request{}, ReasonNoMemory, noMemoryRetryAfter))
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
