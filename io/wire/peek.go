package wire

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// PeekState is what has arrived on a connection that nobody has read yet.
type PeekState int

// States of a connection.
const (
	// PeekUnknown means that the connection can't be looked at.
	PeekUnknown PeekState = iota
	// PeekQuiet means that nothing has arrived.
	PeekQuiet
	// PeekData means that bytes have arrived.
	PeekData
	// PeekClosed means that the peer has closed or reset the connection, and that all
	// bytes before were read.
	PeekClosed
)

// Peek returns what has arrived on c without reading it. It may be called while another
// goroutine reads.
func Peek(c net.Conn) PeekState {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return PeekUnknown
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return PeekUnknown
	}
	state := PeekUnknown
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case errors.Is(err, unix.EAGAIN):
			state = PeekQuiet
		case errors.Is(err, unix.EINTR):
			// It stays unknown.
		case err != nil, n == 0:
			state = PeekClosed
		default:
			state = PeekData
		}
	})
	if err != nil {
		return PeekClosed // The connection was closed at this end.
	}
	return state
}
