package sequoiafront

import (
	"io"
	"net/http/httputil"
	"os"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiamemory"
)

const (
	// firstPiece and lastPiece are the sizes in bytes of the first and the largest piece of a body of unknown length.
	firstPiece = 4 << 10
	lastPiece  = 256 << 10
	// maxPieceShift is the number of times that the size of a piece doubles.
	maxPieceShift = 6
	// bodyGrowth is the factor by which the buffer of a body of known length grows. The last growth copies an eighth of the
	// body, so that both buffers fit where hardly more than the body does.
	bodyGrowth = 8
	// smallBody is the size in bytes up to which the buffer of a body of known length is allocated at once.
	smallBody = 16 << 10
	// framingFactor is how many times its content the framing of a chunked body may be, beyond framingSlack bytes. Chunks of
	// one byte have five bytes of framing each; a client may send a short body in this way.
	framingFactor = 4
	framingSlack  = 64 << 10
)

// nextSize returns the size in bytes of the next buffer of a body of the given length, of which have bytes have arrived.
// It is the length divided by a power of bodyGrowth, so that a claimed length alone reserves little.
func nextSize(have, length int) int {
	size := length
	for size > smallBody {
		smaller := (size + bodyGrowth - 1) / bodyGrowth
		if smaller <= have {
			break
		}
		size = smaller
	}
	return size
}

// readSized reads a body of known length.
func (c *serverConn) readSized(length int, b *budget) ([]byte, error) {
	var body []byte
	for have := 0; have < length; {
		if have == len(body) {
			size := nextSize(have, length)
			if err := b.charge(int64(size)); err != nil {
				return nil, err
			}
			if size > smallBody {
				b.holding.AwaitCollection(int64(size))
			}
			larger := make([]byte, size)
			copy(larger, body)
			body = larger
			if err := b.charge(-int64(have)); err != nil {
				return nil, err
			}
		}
		c.extendReadDeadline()
		n, err := c.r.Read(body[have:])
		have += n
		b.progress(n)
		if err != nil && have < length {
			return nil, unexpectedEOF(err)
		}
	}
	return body, nil
}

// readChunked reads a chunked body of at most limit bytes, and its trailer into h.
func (c *serverConn) readChunked(h *headReader, limit int) ([]byte, error) {
	var pieces [][]byte
	begin, length := c.consumed(), 0
	chunks := httputil.NewChunkedReader(c.r)
	for {
		if n := len(pieces); n == 0 || len(pieces[n-1]) == cap(pieces[n-1]) {
			size := min(firstPiece<<min(n, maxPieceShift), lastPiece)
			if err := h.budget.charge(int64(size)); err != nil {
				return nil, err
			}
			if size == lastPiece {
				h.budget.holding.AwaitCollection(int64(size))
			}
			pieces = append(pieces, make([]byte, 0, size))
		}
		last := &pieces[len(pieces)-1]
		c.extendReadDeadline()
		n, err := chunks.Read((*last)[len(*last):cap(*last)])
		*last = (*last)[:len(*last)+n]
		h.budget.progress(n)
		if length += n; length > limit || c.consumed()-begin > int64(length)*(framingFactor+1)+framingSlack {
			return nil, errors.WithStack(errBodyTooLarge)
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, chunkError(err)
		}
	}
	h.raw = h.raw[:0]
	if err := h.readFields(); err != nil {
		return nil, unexpectedEOF(err)
	}
	return c.server.joinPieces(pieces, length, h.budget.holding), nil
}

// consumed returns the number of bytes of the connection that belong to requests that have been read.
func (c *serverConn) consumed() int64 { return c.received - int64(c.r.Buffered()) }

// chunkError returns the reason for the failure of a read of chunks: the connection, or what it has sent.
func chunkError(err error) error {
	var network interface{ Timeout() bool }
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &network) {
		return err
	}
	return errors.Wrap(errMalformed, err.Error())
}

// joinPieces returns the content of the pieces as one slice. The account does not count the copy while the pieces exist
// too: a body of the largest size then fits where it would fit with a known length. The memory between the account and the
// limit of the Go runtime suffices for one such copy, so there is one at a time.
func (s *Server) joinPieces(pieces [][]byte, length int, h *sequoiamemory.Holding) []byte {
	if len(pieces) == 1 {
		return pieces[0]
	}
	if length <= lastPiece {
		return appendPieces(pieces, length)
	}
	s.joinMu.Lock()
	defer s.joinMu.Unlock()
	var body []byte
	h.Exclusive(int64(length), func() { body = appendPieces(pieces, length) })
	return body
}

// appendPieces returns the content of the pieces, and drops each of them.
func appendPieces(pieces [][]byte, length int) []byte {
	body := make([]byte, 0, length)
	for i, p := range pieces {
		body = append(body, p...)
		pieces[i] = nil
	}
	return body
}
