package sequoiafront

import (
	"net/http"
	"strconv"
	"strings"
)

// WriteResponse writes a response with the given status and body, and sets Content-Length. The response to HEAD
// keeps a Content-Length that the handler has set.
func WriteResponse(w http.ResponseWriter, r *http.Request, status int, body []byte) {
	// Without Content-Length, nbhttp uses chunked encoding, even in the response to HEAD, which has no body.
	if r.Method != http.MethodHead || w.Header().Get("Content-Length") == "" {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	if r.Close {
		w.Header().Set("Connection", "close")
	}
	if http.StatusText(status) == "" {
		writeHijacked(w, r, status, body)
		return
	}
	w.WriteHeader(status)
	if r.Method != http.MethodHead {
		_, _ = w.Write(body)
	}
}

// writeHijacked writes a response on the hijacked connection. It is used for a status without a standard text, which
// nbhttp would replace by 200.
func writeHijacked(w http.ResponseWriter, r *http.Request, status int, body []byte) {
	header := w.Header()
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	var b strings.Builder
	b.WriteString(statusLine(status))
	_ = header.Write(&b)
	b.WriteString("\r\n")
	if r.Method != http.MethodHead {
		b.Write(body)
	}
	_, _ = conn.Write([]byte(b.String()))
	if r.Close {
		_ = conn.Close()
	}
}

// statusLine returns the status line of a response.
func statusLine(status int) string {
	return "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n"
}
