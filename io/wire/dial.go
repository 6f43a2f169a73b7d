package wire

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"syscall"

	"golang.org/x/sys/unix"

	mn "mustardnotch"
)

const (
	// probeIdle, probeInterval and probeCount are the TCP keep-alive parameters that
	// detect a peer which has become unreachable.
	probeIdle     = 1 * mn.Second
	probeInterval = 700 * mn.Millisecond
	probeCount    = 2
)

// Dialer opens TCP connections on which nothing is delivered late, and no reset is read as
// an orderly end. Closing one of them resets it: the operating system drops what the peer
// has not acknowledged, instead of sending it again until the network carries it.
type Dialer struct {
	dialer net.Dialer
}

// NewDialer returns a dialer that waits up to timeout for a connection. Its connections
// fail if sent bytes stay unacknowledged for ackTimeout, also while the process is stopped;
// 0 means the operating system's limit. They come from the IP address local, or from any
// if it is empty or unspecified.
func NewDialer(timeout, ackTimeout mn.Millis, local string) *Dialer {
	d := &Dialer{dialer: net.Dialer{
		Timeout: timeout.Duration(),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle.Duration(), Interval: probeInterval.Duration(), Count: probeCount,
		},
	}}
	if ackTimeout > 0 {
		d.dialer.Control = func(_, _ string, raw syscall.RawConn) error {
			var err error
			ctlErr := raw.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout))
			})
			return errors.Join(ctlErr, err)
		}
	}
	if a, err := netip.ParseAddr(local); err == nil && !a.IsUnspecified() {
		d.dialer.LocalAddr = &net.TCPAddr{IP: a.AsSlice()}
	}
	return d
}

// DialContext opens a connection to addr.
func (d *Dialer) DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := d.dialer.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn, nil
	}
	if err := tcp.SetLinger(0); err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	return newTCPConn(tcp), nil
}
