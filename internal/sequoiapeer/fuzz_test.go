package sequoiapeer

import (
	"bytes"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiacontrol"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// FuzzControl guards against messages that panic the decoder, or that cannot be encoded and decoded again.
func FuzzControl(f *testing.F) {
	member := sequoiatable.Member{Incarnation: 3, Control: netip.MustParseAddrPort("127.0.0.1:1"), Slots: 6}
	for _, m := range []sequoiacontrol.Message{
		renew(1),
		{Promised: &sequoiacontrol.Promised{Holder: 1, RevokeIndex: 2, Remaining: time.Second}},
		{Entries: &sequoiacontrol.Entries{Entries: []sequoiatable.Entry{{
			Index: 1, Writer: 2, Changes: []sequoiatable.Change{{Join: &sequoiatable.Join{Member: member}}},
		}}}},
		{Checkpoint: &sequoiacontrol.Checkpoint{Index: 1, Parts: [][]byte{{1, 2}}}},
		{LoadBatch: &sequoiacontrol.LoadBatch{Loads: []sequoiacontrol.AgedLoad{{Load: sequoiacontrol.Load{Service: "s"}, Age: time.Second}}}},
		{Memory: &sequoiacontrol.Memory{Identifiers: []sequoiacontrol.Identifier{{Header: map[string][]string{"a": {"b"}}}}}},
	} {
		b, err := encodeControl(1, m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		e, err := decodeControl(b)
		if err != nil {
			return
		}
		again, err := encodeControl(e.From, e.Message)
		if err != nil {
			t.Fatalf("a decoded message cannot be encoded: %v", err)
		}
		if _, err := decodeControl(again); err != nil {
			t.Fatalf("an encoded message cannot be decoded: %v", err)
		}
	})
}

// FuzzFrame guards against frames that panic the parser, or are accepted although they differ from their own encoding.
func FuzzFrame(f *testing.F) {
	f.Add(encodeFrame(framePing, 0, nil))
	f.Add(encodeFrame(frameRequest, 7, []byte("payload")))
	f.Add(encodeFrame(frameResponse, 1<<63, []byte{0})[:20])
	f.Fuzz(func(t *testing.T, b []byte) {
		fr, size, err := parseFrame(b, maxHandshakeFrame)
		if err != nil || size == 0 {
			return
		}
		if len(fr.payload) > maxHandshakeFrame {
			t.Fatalf("payload of %d bytes", len(fr.payload))
		}
		if !bytes.Equal(encodeFrame(fr.kind, fr.number, fr.payload), b[:size]) {
			t.Fatal("an accepted frame differs from its own encoding")
		}
	})
}

// FuzzRequest guards against payloads that panic the decoder or lose a field.
func FuzzRequest(f *testing.F) {
	f.Add(requestFrame(1)[headerSize:])
	f.Add([]byte{0xa1, 1, 0x61, 'd'})
	now := time.Now()
	f.Fuzz(func(t *testing.T, b []byte) {
		req, err := decodeRequest(b, now)
		if err != nil {
			return
		}
		var buf bytes.Buffer
		if err := encodeRequest(&buf, req, now); err != nil {
			t.Fatal(err)
		}
		again, err := decodeRequest(buf.Bytes()[headerSize:], now)
		if err != nil {
			t.Fatal(err)
		}
		if again.Key != req.Key || !again.Deadline.Equal(req.Deadline) || !bytes.Equal(again.Body, req.Body) ||
			len(again.Header) != len(req.Header) {
			t.Fatalf("%+v became %+v", req, again)
		}
	})
}

// FuzzResponse guards against payloads that panic the decoder or lose a field.
func FuzzResponse(f *testing.F) {
	f.Add(response(1, "body")[headerSize:])
	f.Add([]byte{0xa2, 1, 2, 2, 0x64, 'S', 'h', 'e', 'd'})
	f.Fuzz(func(t *testing.T, b []byte) {
		resp, err := decodeResponse(b)
		if err != nil {
			return
		}
		var buf bytes.Buffer
		if err := encodeResponse(&buf, 1, resp); err != nil {
			t.Fatal(err)
		}
		again, err := decodeResponse(buf.Bytes()[headerSize:])
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(normalize(resp), normalize(again)) {
			t.Fatalf("%+v became %+v", resp, again)
		}
	})
}

// normalize makes an empty body or header nil, because the encoding omits both.
func normalize(resp *sequoiarouter.Response) sequoiarouter.Response {
	r := *resp
	if len(r.Body) == 0 {
		r.Body = nil
	}
	if len(r.Header) == 0 {
		r.Header = nil
	}
	return r
}

// FuzzHandshake guards against handshake payloads that panic, or are accepted without knowledge of the key.
func FuzzHandshake(f *testing.F) {
	f.Add(make([]byte, nonceSize))
	f.Add(make([]byte, nonceSize+32))
	f.Fuzz(func(t *testing.T, b []byte) {
		c := newChallenge(testKey)
		_, _ = c.answerHello(b)
		if _, err := c.answerChallenge(b); err == nil {
			t.Fatal("a guessed proof was accepted")
		}
		if c.checkProof(b) == nil {
			t.Fatal("a guessed proof was accepted")
		}
	})
}
