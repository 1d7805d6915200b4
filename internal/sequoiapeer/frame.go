package sequoiapeer

import (
	"bytes"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// Frame errors.
var (
	// ErrChecksum reports a frame whose checksum does not match its content.
	ErrChecksum = errors.New("the checksum of the frame does not match")
	// ErrFrame reports a frame of an unknown version or kind, or one that is not allowed at this point.
	ErrFrame = errors.New("unexpected frame")
	// ErrRequestNumber reports a response without an outstanding request, or a request number that is not increasing.
	ErrRequestNumber = errors.New("unexpected request number")
)

// MaxFrame is the largest payload of a frame in bytes.
const MaxFrame = 16 << 20

// maxHandshakeFrame is the largest payload in bytes accepted from a peer that is not authenticated.
const maxHandshakeFrame = 64

const (
	frameVersion = 1
	headerSize   = 24
)

// frameKind is the type of a frame.
type frameKind uint8

const (
	frameHello frameKind = iota + 1
	frameChallenge
	frameProof
	frameRequest
	frameResponse
	frameCancel
	framePing
	framePong
	// The following kinds are sent only to processes with protocol version 2. frameOffer is a request whose body is offered,
	// frameGrant says how much of it may be sent, and frameBody is a piece of it. frameResponseHead is a response whose
	// body follows in frames of the kind frameResponseBody.
	frameOffer
	frameGrant
	frameBody
	frameResponseHead
	frameResponseBody
)

// frame is the protocol unit of a forwarding connection. It is encoded in big-endian order as version (1 byte), kind
// (1), zero (2), payload length (4), request number (8), xxhash64 of the preceding 16 bytes and the payload (8),
// payload.
type frame struct {
	kind    frameKind
	number  uint64
	payload []byte
}

// writeFrameHeader writes the header into the first headerSize bytes of b; the rest is the payload.
func writeFrameHeader(b []byte, kind frameKind, number uint64) {
	b[0] = frameVersion
	b[1] = byte(kind)
	b[2], b[3] = 0, 0
	binary.BigEndian.PutUint32(b[4:], uint32(len(b)-headerSize))
	binary.BigEndian.PutUint64(b[8:], number)
	binary.BigEndian.PutUint64(b[16:], checksum(b))
}

func checksum(b []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(b[:16])
	_, _ = d.Write(b[headerSize:])
	return d.Sum64()
}

// encodeFrame encodes a complete frame.
func encodeFrame(kind frameKind, number uint64, payload []byte) []byte {
	b := make([]byte, headerSize+len(payload))
	copy(b[headerSize:], payload)
	writeFrameHeader(b, kind, number)
	return b
}

// parseFrame reads the frame at the start of b and returns the number of bytes it occupies, zero if it is not complete.
// The payload is part of b. It returns ErrFrame, ErrTooLarge or ErrChecksum.
func parseFrame(b []byte, limit int) (frame, int, error) {
	if len(b) < headerSize {
		return frame{}, 0, nil
	}
	if b[0] != frameVersion || b[2] != 0 || b[3] != 0 {
		return frame{}, 0, errors.Wrapf(ErrFrame, "header %x", b[:4])
	}
	length := binary.BigEndian.Uint32(b[4:])
	if uint64(length) > uint64(limit) {
		return frame{}, 0, errors.Wrapf(ErrTooLarge, "frame of %d bytes, at most %d", length, limit)
	}
	size := headerSize + int(length)
	if len(b) < size {
		return frame{}, 0, nil
	}
	b = b[:size]
	if binary.BigEndian.Uint64(b[16:]) != checksum(b) {
		return frame{}, 0, errors.WithStack(ErrChecksum)
	}
	return frame{frameKind(b[1]), binary.BigEndian.Uint64(b[8:]), b[headerSize:]}, size, nil
}

// wireRequest is sequoiarouter.Request as encoded, with the remaining time in place of the deadline.
type wireRequest struct {
	Service    string              `cbor:"1,keyasint"`
	Key        string              `cbor:"2,keyasint,omitempty"`
	RequestID  string              `cbor:"3,keyasint,omitempty"`
	FirstEpoch sequoiatable.Epoch  `cbor:"4,keyasint,omitempty"`
	Repeatable bool                `cbor:"5,keyasint,omitempty"`
	Remaining  time.Duration       `cbor:"6,keyasint,omitempty"`
	Method     string              `cbor:"7,keyasint"`
	Path       string              `cbor:"8,keyasint"`
	Header     map[string][]string `cbor:"9,keyasint,omitempty"`
	Body       []byte              `cbor:"10,keyasint,omitempty"`
	Host       string              `cbor:"11,keyasint,omitempty"`
	Origin     string              `cbor:"12,keyasint,omitempty"`
	Priority   int                 `cbor:"13,keyasint,omitempty"`
	Objective  time.Duration       `cbor:"14,keyasint,omitempty"`
	Route      string              `cbor:"15,keyasint,omitempty"`
	// Reserved16 was sent by earlier builds and is ignored. Without the field the decoder would reject their requests.
	Reserved16 bool `cbor:"16,keyasint,omitempty"`
	Version    int  `cbor:"17,keyasint,omitempty"`
	BodySize   int  `cbor:"18,keyasint,omitempty"`
	// SentAt is when the sender encoded the request, as the time since the origin of its clock. It is zero if the receiver
	// has an older protocol version.
	SentAt time.Duration `cbor:"19,keyasint,omitempty"`
}

// wireResponse is sequoiarouter.Response as encoded. The conversion between them fails to compile if their fields
// differ.
type wireResponse struct {
	Outcome    sequoiarouter.Outcome      `cbor:"1,keyasint"`
	Reason     string                     `cbor:"2,keyasint,omitempty"`
	Owner      sequoiatable.IncarnationID `cbor:"3,keyasint,omitempty"`
	Epoch      sequoiatable.Epoch         `cbor:"4,keyasint,omitempty"`
	LogIndex   uint64                     `cbor:"5,keyasint,omitempty"`
	RetryAfter time.Duration              `cbor:"9,keyasint,omitempty"`
	Load       sequoiarouter.Load         `cbor:"10,keyasint"`
	Status     int                        `cbor:"6,keyasint,omitempty"`
	Header     map[string][]string        `cbor:"7,keyasint,omitempty"`
	Body       []byte                     `cbor:"8,keyasint,omitempty"`
}

var bufferEncoder = mustBufferEncoder()

func mustBufferEncoder() cbor.UserBufferEncMode {
	mode, err := cbor.EncOptions{Sort: cbor.SortNone}.UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// encodePayload writes a placeholder header and the CBOR encoding of v into an empty buffer. It returns ErrTooLarge.
func encodePayload(buf *bytes.Buffer, v any) error {
	var header [headerSize]byte
	buf.Write(header[:])
	if err := bufferEncoder.MarshalToBuffer(v, buf); err != nil {
		return errors.Wrap(err, "encode a frame")
	}
	if n := buf.Len() - headerSize; n > MaxFrame {
		return errors.Wrapf(ErrTooLarge, "frame of %d bytes, at most %d", n, MaxFrame)
	}
	return nil
}

// encodeRequest encodes a request without its frame header, which writeFrameHeader adds. The deadline, if any, must be
// later than now.
func encodeRequest(buf *bytes.Buffer, req *sequoiarouter.Request, now time.Time) error {
	w := wireRequest{
		Service: req.Service, Key: req.Key, RequestID: req.RequestID, FirstEpoch: req.FirstEpoch,
		Repeatable: req.Repeatable, Method: req.Method, Path: req.Path, Header: req.Header, Body: req.Body,
		Host: req.Host, Route: req.Route, Origin: req.Origin, Priority: req.Priority, Objective: req.Objective,
		Version: req.Version,
	}
	if w.Version >= sequoiarouter.ProtocolVersion {
		w.BodySize, w.SentAt = req.BodySize, now.Sub(monotonicOrigin)
	}
	if !req.Deadline.IsZero() {
		w.Remaining = req.Deadline.Sub(now)
	}
	return encodePayload(buf, &w)
}

// decodeWireRequest decodes and validates a request. It returns ErrMalformed.
func decodeWireRequest(payload []byte) (*wireRequest, error) {
	var w wireRequest
	if err := decoder.Unmarshal(payload, &w); err != nil {
		return nil, errors.Wrapf(ErrMalformed, "request: %v", err)
	}
	if w.Service == "" || w.Remaining < 0 || w.SentAt < 0 {
		return nil, errors.Wrapf(ErrMalformed, "request: service %q, remaining time %v, sent at %v", w.Service, w.Remaining, w.SentAt)
	}
	if w.BodySize < 0 || w.BodySize > 0 && (len(w.Body) > 0 || w.Version < sequoiarouter.ProtocolVersion) {
		return nil, errors.Wrapf(ErrMalformed, "request: offered body of %d bytes, version %d", w.BodySize, w.Version)
	}
	return &w, nil
}

// request returns the request, marked as forwarded, with a deadline on this process's clock. sent is when it was sent, on
// the same clock.
func (w *wireRequest) request(sent time.Time) *sequoiarouter.Request {
	req := &sequoiarouter.Request{
		Service: w.Service, Key: w.Key, RequestID: w.RequestID, FirstEpoch: w.FirstEpoch,
		Repeatable: w.Repeatable, Forwarded: true, Method: w.Method, Path: w.Path, Header: w.Header, Body: w.Body,
		Host: w.Host, Route: w.Route, Origin: w.Origin, Priority: w.Priority, Objective: w.Objective,
		Version: w.Version, BodySize: w.BodySize,
	}
	if w.Remaining > 0 {
		req.Deadline = sent.Add(w.Remaining)
	}
	return req
}

func encodeResponse(buf *bytes.Buffer, number uint64, resp *sequoiarouter.Response) error {
	return encodeResponseFrame(buf, frameResponse, number, (*wireResponse)(resp))
}

func encodeResponseFrame(buf *bytes.Buffer, kind frameKind, number uint64, payload any) error {
	if err := encodePayload(buf, payload); err != nil {
		return err
	}
	writeFrameHeader(buf.Bytes(), kind, number)
	return nil
}

// decodeResponse decodes and validates a response. It returns ErrMalformed.
func decodeResponse(payload []byte) (*sequoiarouter.Response, error) {
	var w wireResponse
	if err := decoder.Unmarshal(payload, &w); err != nil {
		return nil, errors.Wrapf(ErrMalformed, "response: %v", err)
	}
	if err := w.check(); err != nil {
		return nil, err
	}
	return (*sequoiarouter.Response)(&w), nil
}

// check returns ErrMalformed if the response is invalid.
func (w *wireResponse) check() error {
	if w.Outcome < sequoiarouter.Answered || w.Outcome > sequoiarouter.Unknown {
		return errors.Wrapf(ErrMalformed, "response: outcome %d", w.Outcome)
	}
	return nil
}
