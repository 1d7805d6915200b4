package sequoiafront

import (
	"net/http"
	"strconv"
	"strings"
)

// WriteBody writes a status and a body with its length.
func WriteBody(w http.ResponseWriter, r *http.Request, status int, body []byte) {
	// Without a length nbhttp would add chunks, even to the response to HEAD, which has no body.
	if r.Method != http.MethodHead || w.Header().Get("Content-Length") == "" {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	if http.StatusText(status) == "" {
		writeRaw(w, r, status, body)
		return
	}
	w.WriteHeader(status)
	if r.Method != http.MethodHead {
		_, _ = w.Write(body)
	}
}

// writeRaw writes a response with a status that has no standard text, which nbhttp would turn into 200.
func writeRaw(w http.ResponseWriter, r *http.Request, status int, body []byte) {
	header := w.Header()
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	var b strings.Builder
	b.WriteString(head(status))
	if r.Close {
		header.Set("Connection", "close")
	}
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

// head returns the first line of a response.
func head(status int) string {
	return "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n"
}
