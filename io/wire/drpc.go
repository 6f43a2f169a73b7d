package wire

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	mn "mustardnotch"
	"mustardnotch/gen/meshpb"
)

const (
	// maxMessage bounds the size of a message in bytes.
	maxMessage     = 64 << 20
	idleExpiration = 30_000 * mn.Millisecond
	idlePerPeer    = 256
)

func managerOptions(softCancel bool) drpcmanager.Options {
	return drpcmanager.Options{
		Reader:     drpcwire.ReaderOptions{MaximumBufferSize: maxMessage},
		SoftCancel: softCancel,
	}
}

// ConnPool pools drpc connections by address. A connection runs one call at a time.
type ConnPool struct {
	pool   *drpcpool.Pool[connKey, drpcpool.Conn]
	dialer net.Dialer
	// softCancel reports whether a connection stays open after a call on it was
	// cancelled.
	softCancel bool

	mu sync.Mutex
	// epochs counts the calls of Drop by address.
	epochs map[string]int64
}

// connKey identifies the connections to an address that were opened between two
// calls of Drop.
type connKey struct {
	addr  string
	epoch int64
}

// NewConnPool returns an empty pool. Its connections come from the IP address of
// local, the ip:port on which the process serves its peers, or from any address if
// local is empty.
func NewConnPool(local string) *ConnPool {
	c := &ConnPool{
		softCancel: true,
		epochs:     map[string]int64{},
		pool: drpcpool.New[connKey, drpcpool.Conn](drpcpool.Options{
			Expiration:  idleExpiration.Duration(),
			KeyCapacity: idlePerPeer,
		}),
		dialer: net.Dialer{Timeout: dialTimeout.Duration()},
	}
	if a, err := netip.ParseAddrPort(local); err == nil && !a.Addr().IsUnspecified() {
		c.dialer.LocalAddr = &net.TCPAddr{IP: a.Addr().AsSlice()}
	}
	return c
}

// NewProbePool is like [NewConnPool], but closes a connection on which a call was
// cancelled or timed out, so that a connection to an unreachable peer is not used
// again.
func NewProbePool(local string) *ConnPool {
	c := NewConnPool(local)
	c.softCancel = false
	return c
}

// Get returns a connection to addr, which is dialled on first use.
func (c *ConnPool) Get(ctx context.Context, addr string) drpcpool.Conn {
	c.mu.Lock()
	p := connKey{addr, c.epochs[addr]}
	c.mu.Unlock()
	return c.pool.Get(ctx, p, c.dial)
}

// Drop makes later calls to addr use new connections only. Once one connection has
// become unusable without an error, idle ones of the same age may be unusable too.
func (c *ConnPool) Drop(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.epochs[addr]++
}

// Close closes all idle connections.
func (c *ConnPool) Close() error { return c.pool.Close() }

func (c *ConnPool) dial(ctx context.Context, p connKey) (drpcpool.Conn, error) {
	conn, err := c.dialer.DialContext(ctx, "tcp", p.addr)
	if err != nil {
		return nil, err
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: managerOptions(c.softCancel)}), nil
}

// Serve serves h on l until ctx is done.
func Serve(ctx context.Context, l net.Listener, h drpc.Handler) error {
	return drpcserver.NewWithOptions(h, drpcserver.Options{Manager: managerOptions(true)}).Serve(ctx, l)
}

// EncodeError returns the message for err, nil for nil.
func EncodeError(err error) *meshpb.Failure {
	if err == nil {
		return nil
	}
	failure := mn.AsError(err)
	return &meshpb.Failure{
		Code:         int32(failure.Code),
		Outcome:      int32(failure.Outcome),
		RetryAfterMs: int64(failure.RetryAfter),
		Detail:       failure.Detail,
	}
}

// DecodeError returns the error in a message, nil for nil.
func DecodeError(f *meshpb.Failure) error {
	if f == nil {
		return nil
	}
	return &mn.Error{
		Code:       mn.Code(f.Code),
		Outcome:    mn.Outcome(f.Outcome),
		RetryAfter: mn.Millis(f.RetryAfterMs),
		Detail:     f.Detail,
	}
}

// LinkError is a failure of the connection to a peer, as opposed to a failure that
// the peer reports.
type LinkError struct {
	Addr string
	Err  error
}

// Error implements the error interface.
func (e *LinkError) Error() string { return "peer at " + e.Addr + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *LinkError) Unwrap() error { return e.Err }

// ErrSilent is the cause of a [LinkError] if neither a message nor a heartbeat
// arrived within the limit.
var ErrSilent = errors.New("no message or heartbeat from the peer within the time limit")

// IsLinkError reports whether err is a failure of the connection to a peer.
func IsLinkError(err error) bool {
	var e *LinkError
	return errors.As(err, &e)
}
