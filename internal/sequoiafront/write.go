package sequoiafront

import (
	"net/http"
	"strconv"
)

// WriteResponse writes a response with the given status and body, and sets Content-Length. The response to HEAD
// keeps a Content-Length that the handler has set. The body must not be changed afterwards, since it is not copied.
func WriteResponse(w http.ResponseWriter, r *http.Request, status int, body []byte) {
	if r.Method != http.MethodHead || w.Header().Get("Content-Length") == "" {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	if r.Close {
		w.Header().Set("Connection", "close")
	}
	w.WriteHeader(finalStatus(status))
	if held, ok := w.(*responseWriter); ok {
		held.setBody(body)
		return
	}
	if r.Method != http.MethodHead {
		_, _ = w.Write(body)
	}
}

// statusLine returns the status line of a response.
func statusLine(status int) string {
	return "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n"
}
