package sequoiaadmin

import (
	"net"
	"net/http"
	"time"

	"golang.org/x/net/netutil"
)

const (
	// headerTimeout limits the time that a client may take to send its headers, readTimeout that for the whole request.
	// It is longer than changeTimeout, because net/http cancels a request whose connection has passed it.
	headerTimeout = 5 * time.Second
	readTimeout   = changeTimeout + 5*time.Second
	// idleTimeout limits the time between the requests of a connection.
	idleTimeout = 30 * time.Second
	// maxHeaderBytes limits a head. Decoded, 16 KB of short lines take about 1 MB, before the credential is checked.
	maxHeaderBytes = 16 << 10
	// maxConnections limits the connections at the same time. Further ones wait.
	maxConnections = 32
)

// NewHTTPServer returns a server for the API. It uses net/http because operators' calls are few and net/http has timeouts
// for slow clients, which nbhttp lacks.
func NewHTTPServer(s *Server) *http.Server {
	return &http.Server{
		Handler: s.Handler(), ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}
}

// LimitConnections returns a listener that has at most maxConnections open connections.
func LimitConnections(ln net.Listener) net.Listener {
	return netutil.LimitListener(ln, maxConnections)
}
