package sequoiafront

import (
	"bufio"
	"bytes"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"
)

// script is a connection whose client sends fixed bytes and takes all responses.
type script struct {
	net.Conn
	r *bytes.Reader
}

func (s *script) Read(b []byte) (int, error)       { return s.r.Read(b) }
func (s *script) Write(b []byte) (int, error)      { return len(b), nil }
func (s *script) Close() error                     { return nil }
func (s *script) SetReadDeadline(time.Time) error  { return nil }
func (s *script) SetWriteDeadline(time.Time) error { return nil }
func (s *script) RemoteAddr() net.Addr             { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1} }

// accepted is what the front has read of a request.
type accepted struct {
	method, target, host string
	header               http.Header
	body                 []byte
}

// accept returns the requests of a connection that the front accepts.
func accept(t *testing.T, input []byte) []accepted {
	var requests []accepted
	s := New(1 << 20)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { WriteResponse(w, r, http.StatusOK, nil) })
	cfg := s.newListenConfig(handler, WithMaxConns(1), WithRepeatable(func(r *http.Request) bool {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		requests = append(requests, accepted{r.Method, r.RequestURI, r.Host, r.Header, body})
		return true
	}))
	c := newServerConn(s, &script{r: bytes.NewReader(input)}, cfg)
	if !s.register(c) {
		t.Fatal("there is no room for a connection")
	}
	c.serve()
	if n := s.InProgress(); n != 0 {
		t.Errorf("%d requests are in progress after the end of the connection", n)
	}
	return requests
}

// framing holds the names of headers that net/http removes or changes.
var framing = []string{"Host", "Transfer-Encoding", "Content-Length", "Trailer"}

// withoutFraming returns the headers that both parsers keep as they are.
func withoutFraming(h http.Header) http.Header {
	h = maps.Clone(h)
	for _, name := range framing {
		h.Del(name)
	}
	return h
}

// FuzzRequests guards against requests that the front reads in another way than other implementations do, so that a client
// can hide a request in the body of another one (request smuggling), and against input that ends the process.
func FuzzRequests(f *testing.F) {
	for _, seed := range []string{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET /a?b=c%20d HTTP/1.1\r\nHost: h:80\r\nX:\t y \r\nX: z\r\n\r\nHEAD //x/../y HTTP/1.0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbodyGET /next HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbody!",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 04\r\nExpect: 100-continue\r\n\r\nbody",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4;a=b\r\nbody\r\n0\r\nSum: 1\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n04\r\nbody\r\n00\r\nSum: 1\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
		"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length : 4\r\n\r\nbody",
		"POST / HTTP/1.1\r\nHost: h\r\nX: y\r\n Content-Length: 4\r\n\r\nbody",
		"GET / HTTP/1.1\nHost: h\n\n",
		"GET /\x00 HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET  / HTTP/1.1 \r\nHost: h\r\n\r\n",
		"get * HTTP/1.1\r\nHost: h\r\n\r\n",
		"OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n",
		"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
		"GET http://other/ HTTP/1.1\r\nHost: h\r\n\r\n",
		"CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n",
		"\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nTrailer: X\r\nConnection: close\r\n\r\nGET / HTTP/1.1\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		b := bufio.NewReaderSize(bytes.NewReader(input), 1<<20)
		for i, got := range accept(t, input) {
			want, err := http.ReadRequest(b)
			if err != nil {
				t.Fatalf("request %d %+v: net/http rejects it: %v", i, got, err)
			}
			body, err := io.ReadAll(want.Body)
			if err != nil {
				t.Fatalf("request %d %+v: net/http rejects the body: %v", i, got, err)
			}
			if got.method != want.Method || got.target != want.RequestURI || got.host != want.Host || !bytes.Equal(got.body, body) {
				t.Fatalf("request %d: got %+v, net/http %+v with body %q", i, got, want, body)
			}
			if !maps.EqualFunc(withoutFraming(got.header), withoutFraming(want.Header), slices.Equal) {
				t.Fatalf("request %d: got header %v, net/http %v", i, got.header, want.Header)
			}
		}
	})
}
