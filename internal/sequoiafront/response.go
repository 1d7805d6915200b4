package sequoiafront

import (
	"bytes"
	"net/http"
	"strconv"
	"time"
)

// responseBytes is what a response without header and body counts in the account.
const responseBytes = 1 << 10

// responseWriter holds a response until its turn to be written.
type responseWriter struct {
	request *http.Request
	header  http.Header
	status  int
	body    []byte
}

func newResponseWriter(r *http.Request) *responseWriter {
	return &responseWriter{request: r, header: http.Header{}}
}

// Header implements http.ResponseWriter.
func (w *responseWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter. Only the first call has an effect.
func (w *responseWriter) WriteHeader(status int) {
	if w.status == 0 {
		w.status = finalStatus(status)
	}
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(b []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	w.body = append(w.body, b...)
	return len(b), nil
}

// setBody sets the body without a copy of it.
func (w *responseWriter) setBody(b []byte) {
	w.body = b[:len(b):len(b)]
}

// finalStatus returns the status that is sent for one that a handler sets. An upstream may respond with any number; one
// that is not the status of a final response would leave the client waiting for another, or unable to read it.
func finalStatus(status int) int {
	if status < 200 || status > 599 {
		return http.StatusBadGateway
	}
	return status
}

// size returns the number of bytes that the response counts in the account.
func (w *responseWriter) size() int64 {
	n := responseBytes + len(w.body)
	for name, values := range w.header {
		for _, v := range values {
			n += len(name) + len(v) + lineBytes
		}
	}
	return int64(n)
}

// closes reports whether the client or the handler closes the connection after the response.
func (w *responseWriter) closes() bool {
	return w.request.Close || hasToken(w.header["Connection"], "close")
}

// hasBody reports whether the response to the request has a body.
func (w *responseWriter) hasBody() bool {
	return w.request.Method != http.MethodHead && w.status != http.StatusNoContent && w.status != http.StatusNotModified
}

// encode returns the head of the response and its body.
func (w *responseWriter) encode(closes bool) (head, body []byte) {
	w.WriteHeader(http.StatusOK)
	length := strconv.Itoa(len(w.body))
	if v := w.header.Get("Content-Length"); w.request.Method == http.MethodHead && v != "" {
		length = v
	}
	for _, name := range []string{"Connection", "Content-Length", "Transfer-Encoding", "Trailer"} {
		w.header.Del(name)
	}
	if w.status != http.StatusNoContent && w.status != http.StatusNotModified {
		w.header.Set("Content-Length", length)
	}
	if w.header.Get("Date") == "" {
		w.header.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	}
	switch {
	case closes:
		w.header.Set("Connection", "close")
	case w.request.ProtoMinor == 0:
		w.header.Set("Connection", "keep-alive")
	}
	if w.hasBody() {
		body = w.body
		if len(body) > 0 && len(w.header["Content-Type"]) == 0 {
			w.header.Set("Content-Type", "text/plain; charset=utf-8")
		}
	}
	var b bytes.Buffer
	b.WriteString(statusLine(w.status))
	_ = w.header.Write(&b) // A Buffer never returns an error.
	b.WriteString("\r\n")
	return b.Bytes(), body
}
