// Package sequoiastandin implements stand-ins for the systems around a process, for the demo, tests and benchmarks: the
// platform's store, an upstream and a load generator. The store and the upstream can inject the faults that occur in
// production.
package sequoiastandin

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// maxBodyBytes limits the size of a request body.
const maxBodyBytes = 2 << 20

// headerTimeout is the longest time that reading a request's header may take.
const headerTimeout = 10 * time.Second

// listener is an HTTP server on one address. It uses net/http since nbhttp reports a closed connection only after the
// connection's handler has returned, and both stand-ins have to end a call as soon as its caller disconnects.
type listener struct {
	server *http.Server
	addr   netip.AddrPort
}

// listen serves HTTP on an address. Port 0 selects a free port.
func listen(addr netip.AddrPort, handler http.HandlerFunc) (*listener, error) {
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", addr)
	}
	s := &listener{
		server: &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, ConnContext: connContext},
		addr:   l.Addr().(*net.TCPAddr).AddrPort(),
	}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// close closes the listening socket and all connections, which cancels the contexts of their handlers.
func (s *listener) close() {
	_ = s.server.Close()
}

// dropConnection closes the connection without a response.
func dropConnection(w http.ResponseWriter) {
	h, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	if conn, _, err := h.Hijack(); err == nil {
		_ = conn.Close()
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// readJSON decodes the body of a request and rejects unknown fields. On failure it responds with status 400 and returns
// false.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
