package sequoiafront

import (
	"net/textproto"
	"strings"
)

// hopByHop is the set of headers that apply to a single connection and are not forwarded. Content-Length is included
// because it is set again for each message, and Expect because the server has already handled it.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true,
}

// HopByHop reports whether the header with this canonical name applies to a single connection.
func HopByHop(name string) bool { return hopByHop[name] }

// NamedByConnection returns the canonical names of the headers that the Connection header lists as hop-by-hop.
func NamedByConnection(h map[string][]string) map[string]bool {
	named := map[string]bool{}
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}
