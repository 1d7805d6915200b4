// Package sequoiaquarantine decides which requests are kept away from upstreams because they seem to crash them. It does
// no I/O.
package sequoiaquarantine
