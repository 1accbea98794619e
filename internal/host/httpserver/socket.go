package httpserver

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

const (
	// receiveBufferBytes and sendBufferBytes are the sizes of the kernel's buffers of a
	// connection, for which it allocates up to twice as much. A buffer for receiving that is
	// smaller than a segment, 64 KiB on loopback, delays requests.
	receiveBufferBytes = 64 << 10
	sendBufferBytes    = 16 << 10
	// smallReceiveBufferBytes is the size for receiving once a pool has many connections.
	smallReceiveBufferBytes = 16 << 10
	// backlogBytes is the memory of a connection that is not accepted yet.
	backlogBytes = 2 * receiveBufferBytes
	// minBacklog is the least number of connections that may wait to be accepted.
	minBacklog = 16
)

// control calls fn with the descriptor of a listener or connection, and reports whether it has
// one.
func control(s any, fn func(fd int)) bool {
	sc, ok := s.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	return rc.Control(func(fd uintptr) { fn(int(fd)) }) == nil
}

// boundKernelMemory bounds what the kernel holds for the connections of l beside the process's
// memory: their buffers, which they inherit from l and which otherwise grow to several
// megabytes, and the connections that are not accepted yet, otherwise up to 4,096.
func boundKernelMemory(l net.Listener, pool *Pool) {
	setReceiveBuffer(l, receiveBufferBytes)
	control(l, func(fd int) {
		// If a call fails, the bounds of the system remain.
		_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, sendBufferBytes)
		if pool != nil {
			_ = unix.Listen(fd, pool.backlog())
		}
	})
}

// setReceiveBuffer sets the size of the kernel's buffer for receiving of a connection, or of those
// that a listener will accept.
func setReceiveBuffer(s any, n int) {
	control(s, func(fd int) {
		// If it fails, the former size remains.
		_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, n)
	})
}

// pending reports whether l has a connection that is established and not accepted.
func pending(l net.Listener) bool {
	n := 0
	control(l, func(fd int) {
		// An error counts as no connection, since the listener is about to close.
		n, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	return n > 0
}

// sendNow writes b as far as there is room in the kernel's buffer, and reports whether that was
// all of it.
func sendNow(c net.Conn, b []byte) bool {
	n := 0
	if !control(c, func(fd int) { n, _ = unix.SendmsgN(fd, b, nil, nil, unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL) }) {
		n, _ = c.Write(b)
	}
	return n == len(b)
}

// unsent returns the number of bytes that the client has not received.
func unsent(c net.Conn) int {
	n := 0
	control(c, func(fd int) { n, _ = unix.IoctlGetInt(fd, unix.SIOCOUTQ) })
	return n
}

// resetOnClose makes the kernel drop what it holds of a connection when it is closed. Otherwise
// it would go on sending for minutes.
func resetOnClose(c net.Conn) {
	control(c, func(fd int) {
		// The kernel then keeps the data, within its own bound.
		_ = unix.SetsockoptLinger(fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	})
}
