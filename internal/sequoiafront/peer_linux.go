package sequoiafront

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// peerClosed reports whether the other side of a connection has closed it, also if there are unread bytes.
func peerClosed(conn syscall.Conn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		closed = err == nil && n == 1 && fds[0].Revents != 0
	})
	return err != nil || closed
}
