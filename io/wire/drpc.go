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

// ConnPool pools drpc connections by address. One call uses one connection.
type ConnPool struct {
	pool   *drpcpool.Pool[peerKey, drpcpool.Conn]
	dialer net.Dialer
	// softCancel keeps a connection on which a call was cancelled.
	softCancel bool

	mu     sync.Mutex
	epochs map[string]int64
}

// peerKey names the connections to one address since some were last dropped.
type peerKey struct {
	addr  string
	epoch int64
}

// NewConnPool returns an empty pool. Connections come from the IP address of
// local, the ip:port on which the process serves its peers; empty for any.
func NewConnPool(local string) *ConnPool {
	c := &ConnPool{
		softCancel: true,
		epochs:     map[string]int64{},
		pool: drpcpool.New[peerKey, drpcpool.Conn](drpcpool.Options{
			Expiration:  idleExpiration.Duration(),
			KeyCapacity: idlePerPeer,
		}),
		dialer: net.Dialer{Timeout: dialTimeout},
	}
	if a, err := netip.ParseAddrPort(local); err == nil && !a.Addr().IsUnspecified() {
		c.dialer.LocalAddr = &net.TCPAddr{IP: a.Addr().AsSlice()}
	}
	return c
}

// NewProbePool is like [NewConnPool], but closes a connection on which a call was
// cancelled or timed out, so that one which went silent is not used again.
func NewProbePool(local string) *ConnPool {
	c := NewConnPool(local)
	c.softCancel = false
	return c
}

// Get returns a connection to addr that dials when it is first used.
func (c *ConnPool) Get(ctx context.Context, addr string) drpcpool.Conn {
	c.mu.Lock()
	p := peerKey{addr, c.epochs[addr]}
	c.mu.Unlock()
	return c.pool.Get(ctx, p, c.dial)
}

// Drop has later calls to addr use new connections only: once one connection
// has fallen silent, idle ones that are as old may have too.
func (c *ConnPool) Drop(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.epochs[addr]++
}

// Close closes all idle connections.
func (c *ConnPool) Close() error { return c.pool.Close() }

func (c *ConnPool) dial(ctx context.Context, p peerKey) (drpcpool.Conn, error) {
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

// EncodeError returns err as it crosses between processes, nil for nil.
func EncodeError(err error) *meshpb.Failure {
	if err == nil {
		return nil
	}
	e := mn.AsError(err)
	return &meshpb.Failure{
		Code:         int32(e.Code),
		Outcome:      int32(e.Outcome),
		RetryAfterMs: int64(e.RetryAfter),
		Detail:       e.Detail,
	}
}

// DecodeError returns the error that f carries, nil for nil.
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

// LinkError is a failure of the connection to a peer, as opposed to a failure
// that the peer reports.
type LinkError struct {
	Addr string
	Err  error
}

// Error implements the error interface.
func (e *LinkError) Error() string { return "peer at " + e.Addr + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *LinkError) Unwrap() error { return e.Err }

// ErrSilent is the cause of a LinkError where neither a message nor a heartbeat
// came within the limit.
var ErrSilent = errors.New("no frame or heartbeat within the limit")

// IsLinkError says whether err is a failure of the connection to a peer.
func IsLinkError(err error) bool {
	var e *LinkError
	return errors.As(err, &e)
}
