//go:build !linux

package sequoiapeer

import "syscall"

// unacknowledgedBytes returns zero, because only Linux says how full a socket's send buffer is.
func unacknowledgedBytes(syscall.Conn) int { return 0 }
