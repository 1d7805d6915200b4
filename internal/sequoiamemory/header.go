package sequoiamemory

// LineBytes is what a decoded line of a header occupies beside its content: its entry in a map that has grown, its slice of
// values, and what is left over of both. The shortest lines have four bytes of content.
const LineBytes = 160

// HeaderBytes returns how many bytes a decoded header occupies.
func HeaderBytes(h map[string][]string) int64 {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v) + LineBytes
		}
	}
	return int64(n)
}
