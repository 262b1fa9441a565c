package closer

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Undelivered returns the number of bytes that were written to a connection and that its
// peer has not acknowledged yet (tcp(7), SIOCOUTQ), zero if that is not known.
func Undelivered(conn net.Conn) int {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0
	}
	bytes := 0
	err = raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			bytes = n
		}
	})
	if err != nil {
		return 0
	}
	return bytes
}
