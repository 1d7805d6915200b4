package sequoiapeer

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// unacknowledgedBytes returns the number of bytes in a socket's send buffer that the peer has not acknowledged, zero if the
// socket does not say.
func unacknowledgedBytes(conn syscall.Conn) int {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	_ = raw.Control(func(fd uintptr) {
		if queued, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			n = queued
		}
	})
	return n
}
