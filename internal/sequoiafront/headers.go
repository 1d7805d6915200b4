package sequoiafront

import (
	"net/textproto"
	"strings"
)

// hopByHop are the headers that concern one connection only. Content-Length is written anew, and Expect has been dealt
// with by the front.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true,
}

// HopByHop reports whether the header with this canonical name concerns one connection only.
func HopByHop(name string) bool { return hopByHop[name] }

// NamedByConnection returns the canonical names of the headers that a message says to concern its connection only.
func NamedByConnection(h map[string][]string) map[string]bool {
	named := map[string]bool{}
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}
