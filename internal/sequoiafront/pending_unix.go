//go:build unix

package sequoiafront

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// hasPendingConnection reports whether a listener has an established connection that has not been accepted.
func hasPendingConnection(ln syscall.Conn) bool {
	raw, err := ln.SyscallConn()
	if err != nil {
		return false
	}
	pending := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(fds, 0)
		pending = err == nil && n == 1 && fds[0].Revents&unix.POLLIN != 0
	})
	return err == nil && pending
}
