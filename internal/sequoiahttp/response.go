package sequoiahttp

import (
	"bufio"
	"bytes"
	"context"
	"hash/maphash"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiamemory"
)

const (
	// minBodyPiece and maxBodyPiece are the sizes in bytes of the first and the largest piece of a body's buffer.
	minBodyPiece = 4 << 10
	maxBodyPiece = 256 << 10
	// smallBody is the size in bytes of a body that is read in pieces of just that size in all, so that it takes room for
	// small responses only.
	smallBody = 16 << 10
	// smallHeader is the size in bytes up to which no memory is reserved for a decoded header.
	smallHeader = 8 << 10
	// framingFactor is how many times a body's limit may arrive from the network, chunk headers included. The decoder of
	// chunks rejects more overhead than content.
	framingFactor = 2
	// responseBegin is what all responses begin with.
	responseBegin = "HTTP/1."
)

// conn is a connection that runs one exchange at a time.
type conn struct {
	net.Conn
	r         *bufio.Reader
	idleSince time.Time
	// sent is true once a byte of the current request may have been sent, and received once a byte has arrived since.
	sent     bool
	received bool
	// refused holds the hashes of the identifiers of the requests that were refused on this connection. Callers choose the
	// identifiers, and their length.
	refused []uint64
	// allowed is the number of bytes that may still arrive.
	allowed int64
}

var idSeed = maphash.MakeSeed()

func hashID(id string) uint64 { return maphash.String(idSeed, id) }

// Read reads at most the allowed number of bytes and records whether any byte arrived.
func (cn *conn) Read(p []byte) (int, error) {
	if cn.allowed <= 0 {
		return 0, errors.WithStack(ErrResponseTooLarge)
	}
	if int64(len(p)) > cn.allowed {
		p = p[:cn.allowed]
	}
	n, err := cn.Conn.Read(p)
	cn.allowed -= int64(n)
	if n > 0 {
		cn.received = true
	}
	return n, err
}

// Write records whether any byte was sent.
func (cn *conn) Write(p []byte) (int, error) {
	n, err := cn.Conn.Write(p)
	if n > 0 {
		cn.sent = true
	}
	return n, err
}

// exchange sends a request and reads its response. It returns reusable only if the response was read completely, no
// bytes follow it and the server keeps the connection open.
func (c *Client) exchange(
	ctx context.Context, cn *conn, encoded *http.Request, req *Request,
) (resp *Response, reusable bool, err error) {
	if err := encoded.Write(cn); err != nil {
		return nil, false, err
	}
	headBytes := int64(maxHeadBytes)
	for range maxUnmatched + 1 {
		cn.allowed = headBytes
		hr, err := cn.readHead(encoded, c.allowUntilClose)
		if err != nil {
			return nil, false, err
		}
		headBytes = cn.allowed
		cn.allowed = framingFactor * (c.maxResponseBytes + maxHeadBytes)
		matched := req.Matches == nil || req.Matches(hr.Header)
		resp, err = c.readBody(ctx, hr, req, matched)
		if err != nil {
			return nil, false, err
		}
		if err := cn.checkNoBody(hr); err != nil {
			req.returnReserved(resp)
			return nil, false, err
		}
		// The body of a 304 that announces one may still come and would be taken for the next response.
		bodyMayCome := hr.StatusCode == http.StatusNotModified && announcesBody(hr)
		reusable = !hr.Close && !bodyMayCome && cn.r.Buffered() == 0
		if matched {
			if req.Refusal != nil && req.Refusal(hr.StatusCode, hr.Header) {
				cn.refused = append(cn.refused, hashID(req.ID))
				reusable = reusable && req.ID != "" && len(cn.refused) < maxRefused
			}
			return resp, reusable, nil
		}
		if !reusable && cn.r.Buffered() == 0 {
			break
		}
	}
	return nil, false, errors.WithStack(ErrUnmatchedResponse)
}

// readHead reads the status line and header of the final response, skipping informational responses.
func (cn *conn) readHead(req *http.Request, untilClose bool) (*http.Response, error) {
	for range maxInterim + 1 {
		if err := cn.checkStatusLine(); err != nil {
			return nil, err
		}
		hr, err := http.ReadResponse(cn.r, req)
		if err != nil {
			return nil, err
		}
		switch {
		case hr.StatusCode == http.StatusSwitchingProtocols:
			return nil, ErrProtocolSwitch
		case hr.StatusCode < http.StatusOK:
			// Such a response has no length. One that has was meant as an answer, and none will follow.
			if hr.Header["Content-Length"] != nil || hr.TransferEncoding != nil {
				return nil, errors.Wrapf(ErrMalformedResponse, "status %d with a body", hr.StatusCode)
			}
			continue
		case hr.StatusCode == http.StatusNoContent && announcesBody(hr):
			return nil, errors.Wrapf(ErrMalformedResponse, "status %d with a body", hr.StatusCode)
		case !untilClose && hr.ContentLength < 0 && len(hr.TransferEncoding) == 0 && req.Method != http.MethodHead:
			return nil, ErrNotDelimited
		}
		return hr, nil
	}
	return nil, errors.Wrapf(ErrMalformedResponse, "more than %d informational responses", maxInterim)
}

// checkStatusLine checks the beginning of a status line: net/http accepts any number that three characters can spell.
func (cn *conn) checkStatusLine() error {
	line, err := cn.r.Peek(len("HTTP/1.1 200 "))
	if err != nil {
		return err
	}
	if !validStatusLine(line) {
		return errors.Wrapf(ErrMalformedResponse, "it begins with %q", line)
	}
	return nil
}

// validStatusLine reports whether a line begins with the version, a status from 100 to 599 and a space or its end.
func validStatusLine(line []byte) bool {
	status := line[len(responseBegin)+len("1 "):]
	return bytes.HasPrefix(line, []byte(responseBegin)) && isDigit(line[len(responseBegin)]) && line[len(responseBegin)+1] == ' ' &&
		status[0] >= '1' && status[0] <= '5' && isDigit(status[1]) && isDigit(status[2]) && bytes.IndexByte([]byte(" \r\n"), status[3]) >= 0
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// mayNotHaveBody reports whether a response has no body, whatever its header says.
func mayNotHaveBody(hr *http.Response) bool {
	return hr.StatusCode == http.StatusNoContent || hr.StatusCode == http.StatusNotModified || hr.Request.Method == http.MethodHead
}

// announcesBody reports whether the header of a response says that a body follows.
func announcesBody(hr *http.Response) bool {
	length := hr.Header.Get("Content-Length")
	return length != "" && length != "0" || hr.TransferEncoding != nil
}

// checkNoBody returns ErrMalformedResponse if a response that may not have a body is followed by one. Another response may
// follow: a faulty server writes some of them twice.
func (cn *conn) checkNoBody(hr *http.Response) error {
	next, _ := cn.r.Peek(min(cn.r.Buffered(), len(responseBegin)))
	if !mayNotHaveBody(hr) || bytes.HasPrefix([]byte(responseBegin), next) {
		return nil
	}
	return errors.Wrapf(ErrMalformedResponse, "status %d with a body", hr.StatusCode)
}

// readBody reads the body of a response; it discards that of a response that belongs to another request.
func (c *Client) readBody(ctx context.Context, hr *http.Response, req *Request, matched bool) (*Response, error) {
	defer hr.Body.Close()
	if hr.ContentLength > c.maxResponseBytes && hr.Request.Method != http.MethodHead {
		return nil, c.tooLarge()
	}
	resp := &Response{Status: hr.StatusCode, Header: hr.Header}
	if matched {
		return resp, c.readMatched(ctx, hr, req, resp)
	}
	n, err := io.Copy(io.Discard, io.LimitReader(hr.Body, c.maxResponseBytes+1))
	if err == nil && n > c.maxResponseBytes {
		err = c.tooLarge()
	}
	return resp, err
}

// readMatched reads the body of the response to a request, after it has reserved memory for the header.
func (c *Client) readMatched(ctx context.Context, hr *http.Response, req *Request, resp *Response) error {
	reserve := func(n int64) bool { return n == 0 || req.Reserve == nil || req.Reserve(ctx, n) }
	header := sequoiamemory.HeaderBytes(hr.Header)
	if header <= smallHeader {
		header = 0
	}
	if !reserve(header) {
		return errors.WithStack(ErrTooMuchBuffered)
	}
	resp.reserved = header
	if hr.Body == http.NoBody {
		return nil
	}
	b := &bodyBuffer{client: c, reserve: reserve}
	body, err := b.readAll(hr.Body, hr.ContentLength)
	resp.Body = body
	resp.reserved += b.release(err != nil)
	if err != nil {
		req.returnReserved(resp)
		resp.reserved = 0
	}
	return err
}

// returnReserved returns what has been reserved for a response that is not used.
func (r *Request) returnReserved(resp *Response) {
	if r.Reserve != nil && resp.reserved > 0 {
		r.Reserve(context.Background(), -resp.reserved)
	}
}

func (c *Client) tooLarge() error {
	return errors.Wrapf(ErrResponseTooLarge, "limit %d bytes", c.maxResponseBytes)
}

// largePieces holds pieces of maxBodyPiece bytes for reuse, so that many large bodies leave little garbage.
var largePieces = sync.Pool{New: func() any {
	b := make([]byte, maxBodyPiece)
	return &b
}}

// bodyBuffer holds a body in pieces that are allocated as bytes arrive, since a server may send any number of them.
type bodyBuffer struct {
	client *Client
	// reserve reserves memory of the caller, or returns it.
	reserve  func(n int64) bool
	pieces   [][]byte
	large    []*[]byte
	reserved int64
}

// take reserves size bytes. It returns ErrTooMuchBuffered if there is no room for them, or if the bodies being read at the
// same time exceed their common limit.
func (b *bodyBuffer) take(size int64) error {
	if b.client.buffered.Add(size) > b.client.maxBuffered || !b.reserve(size) {
		b.client.buffered.Add(-size)
		return errors.WithStack(ErrTooMuchBuffered)
	}
	b.reserved += size
	return nil
}

// grow adds an empty piece, or returns ErrTooMuchBuffered.
func (b *bodyBuffer) grow(size int64) error {
	if err := b.take(size); err != nil {
		return err
	}
	if size < maxBodyPiece {
		b.pieces = append(b.pieces, make([]byte, 0, size))
		return nil
	}
	piece := largePieces.Get().(*[]byte)
	b.large = append(b.large, piece)
	b.pieces = append(b.pieces, (*piece)[:0])
	return nil
}

// bytes returns the content, which does not share memory with pieces that are reused.
func (b *bodyBuffer) bytes() []byte {
	if len(b.pieces) == 1 {
		return b.pieces[0]
	}
	if len(b.large) > 0 {
		b.client.joinMu.Lock()
		defer b.client.joinMu.Unlock()
	}
	return bytes.Join(b.pieces, nil)
}

// release returns what the buffer has taken. What the caller has reserved is returned only if the reading failed; otherwise
// release returns its size in bytes.
func (b *bodyBuffer) release(failed bool) int64 {
	b.client.buffered.Add(-b.reserved)
	for _, piece := range b.large {
		largePieces.Put(piece)
	}
	if failed && b.reserved > 0 {
		b.reserve(-b.reserved)
		return 0
	}
	return b.reserved
}

// readAll reads a body until its end. length is the announced length, negative if there is none.
func (b *bodyBuffer) readAll(r io.Reader, length int64) ([]byte, error) {
	if length >= 0 {
		return b.readLength(r, length)
	}
	size := int64(minBodyPiece)
	for total := int64(0); ; size = min(2*size, maxBodyPiece) {
		if total < smallBody {
			size = min(size, smallBody-total)
		}
		if err := b.grow(size); err != nil {
			return nil, err
		}
		last := &b.pieces[len(b.pieces)-1]
		for len(*last) < cap(*last) {
			n, err := r.Read((*last)[len(*last):cap(*last)])
			*last = (*last)[:len(*last)+n]
			total += int64(n)
			switch {
			case total > b.client.maxResponseBytes:
				return nil, b.client.tooLarge()
			case errors.Is(err, io.EOF):
				return b.bytes(), nil
			case err != nil:
				return nil, err
			}
		}
	}
}

// readLength reads a body of a known length, which is below the limit, without a second copy of it.
func (b *bodyBuffer) readLength(r io.Reader, length int64) ([]byte, error) {
	if err := b.take(length); err != nil {
		return nil, err
	}
	body := make([]byte, length)
	_, err := io.ReadFull(r, body)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	return body, nil
}
