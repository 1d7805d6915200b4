package sequoiafront

import (
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiamemory"
)

// responseBytes is what a response without header and body counts in the account.
const responseBytes = 1 << 10

// responseWriter holds a response until its turn to be written.
type responseWriter struct {
	// toHead is true for the response to a HEAD request, keepAlive if the connection is kept open only if the response says
	// so, and closing if the client closes the connection after the response.
	toHead, keepAlive, closing bool

	header http.Header
	status int
	body   []byte
}

func newResponseWriter(r *http.Request) *responseWriter {
	return &responseWriter{
		toHead: r.Method == http.MethodHead, keepAlive: r.ProtoMinor == 0, closing: r.Close, header: make(http.Header, 8),
	}
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
	return int64(responseBytes+len(w.body)) + sequoiamemory.HeaderBytes(w.header)
}

// closes reports whether the client or the handler closes the connection after the response.
func (w *responseWriter) closes() bool {
	return w.closing || hasToken(w.header["Connection"], "close")
}

// hasBody reports whether the response to the request has a body.
func (w *responseWriter) hasBody() bool {
	return !w.toHead && w.status != http.StatusNoContent && w.status != http.StatusNotModified
}

// formattedDate is the value of the Date header for one second.
type formattedDate struct {
	second int64
	value  []string
}

// latestDate is kept because each response has a Date, and its formatting takes longer than the rest of the header.
var latestDate atomic.Pointer[formattedDate]

// date returns the value of the Date header.
func date(now time.Time) []string {
	if d := latestDate.Load(); d != nil && d.second == now.Unix() {
		return d.value
	}
	d := &formattedDate{second: now.Unix(), value: []string{now.UTC().Format(http.TimeFormat)}}
	latestDate.Store(d)
	return d.value
}

// encode returns the head of the response and its body.
func (w *responseWriter) encode(closes bool) (head, body []byte) {
	w.WriteHeader(http.StatusOK)
	length := strconv.Itoa(len(w.body))
	if v := w.header.Get("Content-Length"); w.toHead && v != "" {
		length = v
	}
	for _, name := range []string{"Connection", "Content-Length", "Transfer-Encoding", "Trailer"} {
		w.header.Del(name)
	}
	if w.status != http.StatusNoContent && w.status != http.StatusNotModified {
		w.header.Set("Content-Length", length)
	}
	if w.header.Get("Date") == "" {
		w.header["Date"] = date(time.Now())
	}
	switch {
	case closes:
		w.header.Set("Connection", "close")
	case w.keepAlive:
		w.header.Set("Connection", "keep-alive")
	}
	if w.hasBody() {
		body = w.body
		if len(body) > 0 && len(w.header["Content-Type"]) == 0 {
			w.header.Set("Content-Type", "text/plain; charset=utf-8")
		}
	}
	size := headCapacity
	if len(body) <= joinedBody {
		size += len(body)
	}
	head = make([]byte, 0, size)
	head = append(head, statusLine(w.status)...)
	head = appendHeader(head, w.header)
	return append(head, "\r\n"...), body
}

const (
	// headCapacity is the size in bytes of the first buffer of a head, which suffices for most.
	headCapacity = 512
	// joinedBody is the size in bytes up to which a body is copied behind its head. A larger one is written from where it is.
	joinedBody = 4 << 10
)

// newlines replaces the characters that would end a value and begin another header.
var newlines = strings.NewReplacer("\r", " ", "\n", " ")

// appendHeader appends the lines of a header, without those whose names are not tokens. Unlike http.Header.Write it does
// not sort them.
func appendHeader(b []byte, h http.Header) []byte {
	for name, values := range h {
		if !isToken(name) {
			continue
		}
		for _, v := range values {
			if strings.ContainsAny(v, "\r\n") {
				v = newlines.Replace(v)
			}
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	return b
}
