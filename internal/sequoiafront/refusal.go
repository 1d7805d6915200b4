package sequoiafront

import (
	"net/http"

	"github.com/pkg/errors"
)

// Reasons for which a request is refused without being run.
var (
	errMalformed     = errors.New("the request is malformed")
	errVersion       = errors.New("the HTTP version is not supported")
	errHeadTooLarge  = errors.New("the head is too large")
	errBodyTooLarge  = errors.New("the body is too large")
	errNoRoom        = errors.New("the process has no room for the request")
	errRequestSilent = errors.New("the rest of the request has not arrived in time")
)

// refusal is the response to a request that is not run.
type refusal struct {
	cause  error
	status int
	// reason is the value of the label of the metric.
	reason string
}

var refusals = [...]refusal{
	{errMalformed, http.StatusBadRequest, "Malformed"},
	{errVersion, http.StatusHTTPVersionNotSupported, "Version"},
	{errHeadTooLarge, http.StatusRequestHeaderFieldsTooLarge, "HeadTooLarge"},
	{errBodyTooLarge, http.StatusRequestEntityTooLarge, "BodyTooLarge"},
	{errNoRoom, http.StatusServiceUnavailable, "NoRoom"},
	{errRequestSilent, http.StatusRequestTimeout, "Silent"},
}

// refusalOf returns the index of the refusal that an error calls for. It returns false for an error of the connection.
func refusalOf(err error) (index int, ok bool) {
	for i := range refusals {
		if errors.Is(err, refusals[i].cause) {
			return i, true
		}
	}
	return 0, false
}

// refusalResponse returns the response to a request that is refused.
func (cfg *listenConfig) refusalResponse(status int) []byte {
	h := http.Header{}
	if cfg.refusalHeader != nil {
		cfg.refusalHeader(status, h)
	}
	return encodeRefusal(status, h)
}

// encodeRefusal returns a response without a body that closes the connection.
func encodeRefusal(status int, h http.Header) []byte {
	b := appendHeader([]byte(statusLine(status)), h)
	return append(b, "Connection: close\r\nContent-Length: 0\r\n\r\n"...)
}
