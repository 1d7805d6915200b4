//go:build unix

package sequoiahttp

import (
	"net"
	"syscall"
)

// idleAndOpen reports whether a connection is open and has no data to read. Bytes that arrive on an idle connection
// belong to no request, so such a connection must not be reused.
func idleAndOpen(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	var buf [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = err == syscall.EAGAIN
		return true
	})
	return err == nil && idle
}
