//go:build !linux

package acceptor

import "net"

// undelivered is not known on other systems.
func undelivered(net.Conn) int { return 0 }
