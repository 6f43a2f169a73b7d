package back

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	mn "mustardnotch"
	"mustardnotch/core/alloc"
	"mustardnotch/io/wire"
)

const (
	// dialTimeout allows for a few round trips between data centres and the handshake
	// of a busy endpoint. It does not cover a lost SYN packet, which is sent again
	// only after a second.
	dialTimeout = 400 * mn.Millisecond
	// ackTimeout is how long sent bytes may stay unacknowledged before a connection
	// fails.
	ackTimeout = 1500 * mn.Millisecond
	// defaultIdleTime bounds the idle time of a connection to an endpoint that does
	// not announce its own keep-alive time.
	defaultIdleTime = 4 * mn.Second
	// idleMargin is subtracted from an announced keep-alive time, for the time that a
	// request takes to reach the endpoint.
	idleMargin = 1 * mn.Second
	// maxIdlePerAddr bounds the idle connections to one endpoint.
	maxIdlePerAddr = 24
	readBuffer     = 8 << 10
	// maxCarried is how many requests a connection carries before it is replaced. It
	// remembers their ids.
	maxCarried = 256
	// sweepInterval is the time between two searches for idle connections that may not be
	// used again.
	sweepInterval = 1 * mn.Second
)

// conn is a connection to an endpoint.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// limiter bounds what reader reads while it reads heads.
	limiter *headLimiter
	// carried holds the ids of the requests that were sent on the connection. Its endpoint
	// may send an answer to any of them once more.
	carried []mn.RequestID
	// idleAt is when the connection became idle, and maxIdleTime how long it may stay
	// idle.
	idleAt      mn.Millis
	maxIdleTime mn.Millis
}

// Client sends requests to endpoints and reuses connections. It is safe for
// concurrent use.
type Client struct {
	clock    mn.Clock
	dialer   *wire.Dialer
	observer Observer
	// memory bounds what all answers together take.
	memory *alloc.Budget

	mu   sync.Mutex
	idle map[string][]*conn
	// sweptAt is when idle connections that may not be used again were last closed.
	sweptAt mn.Millis
}

// Observer is told of every answer that belongs to a call.
type Observer interface {
	// ObserveReply receives what the endpoint e says of itself in an answer.
	ObserveReply(e mn.Endpoint, r mn.ReplyInfo)
}

// New returns a client that connects from the local IP address, or from any if it
// is empty. Its answers share memory, where each endpoint's address is a holder. The observer
// may be nil.
func New(clock mn.Clock, local string, memory *alloc.Budget, observer Observer) *Client {
	return &Client{clock: clock, observer: observer, memory: memory, dialer: wire.NewDialer(dialTimeout, ackTimeout, local), idle: map[string][]*conn{}}
}

// Close closes all idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	all := c.idle
	c.idle = map[string][]*conn{}
	c.mu.Unlock()
	for _, cs := range all {
		for _, k := range cs {
			k.Close()
		}
	}
}

// get returns a connection to addr that has been idle for less than maxIdleTime and has
// not carried request id, or a new one.
func (c *Client) get(ctx context.Context, addr string, id mn.RequestID, maxIdleTime mn.Millis) (*conn, error) {
	for {
		conn := c.take(addr, id)
		if conn == nil {
			return c.dial(ctx, addr)
		}
		if c.clock.Now()-conn.idleAt < min(maxIdleTime, conn.maxIdleTime) && isQuiet(conn) {
			return conn, nil
		}
		conn.Close()
	}
}

// maxHeads bounds the bytes of the heads of an answer, of interim answers and of
// answers to other requests in front of it. An endpoint in trouble may send bytes
// without end that are no answer.
const maxHeads = 1 << 20

// errHeadTooLong is the error for heads that exceed maxHeads.
var errHeadTooLong = fmt.Errorf("heads of answers exceed %d bytes", maxHeads)

// freeHeads is the number of bytes of heads that need no room in the client's budget, and
// headFactor the memory that a longer head takes for each of its bytes: it is read into
// buffers and copied into headers.
const (
	freeHeads  = 16 << 10
	headFactor = 2
)

// headLimiter reads from a connection, and fails beyond the limits for heads while it reads
// these.
type headLimiter struct {
	conn net.Conn
	// lease is the memory of the present answer while its heads are read, nil otherwise.
	lease *alloc.Lease
	read  int64
}

func (l *headLimiter) beginHeads(lease *alloc.Lease) { l.lease, l.read = lease, 0 }

func (l *headLimiter) endHeads() { l.lease = nil }

// Read implements [io.Reader].
func (l *headLimiter) Read(p []byte) (int, error) {
	if l.lease == nil {
		return l.conn.Read(p)
	}
	if l.read >= maxHeads {
		return 0, errHeadTooLong
	}
	n, err := l.conn.Read(p[:min(int64(len(p)), maxHeads-l.read)])
	l.read += int64(n)
	if over := min(int64(n), l.read-freeHeads); over > 0 && !l.lease.Add(headFactor*over) {
		return 0, ErrNoMemory
	}
	return n, err
}

// take removes the newest idle connection to addr that has not carried request id and
// returns it, nil if there is none.
func (c *Client) take(addr string, id mn.RequestID) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	cs := c.idle[addr]
	for n := len(cs) - 1; n >= 0; n-- {
		if conn := cs[n]; id == "" || !slices.Contains(conn.carried, id) {
			c.idle[addr] = slices.Delete(cs, n, n+1)
			return conn
		}
	}
	return nil
}

func (c *Client) dial(ctx context.Context, addr string) (*conn, error) {
	netConn, err := c.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	in := &headLimiter{conn: netConn}
	return &conn{Conn: netConn, limiter: in, reader: bufio.NewReaderSize(in, readBuffer)}, nil
}

// ConnRefused reports whether the endpoint at addr refuses connections, which means
// that its process has ended. It returns an error if that can't be told: a connection that
// is made while the process ends may be reset.
func (c *Client) ConnRefused(ctx context.Context, addr string) (bool, error) {
	conn, err := c.dial(ctx, addr)
	if errors.Is(err, unix.ECONNREFUSED) {
		return true, nil
	}
	if err != nil {
		return false, err
	}
	c.put(addr, conn, 0, 0)
	return false, nil
}

// Ended reports whether the process of the endpoint at addr has ended. An idle connection that is
// open shows that it has not. If there is no idle connection at all, Ended looks no further unless
// connect is set. It returns an error if it has looked and can't tell.
func (c *Client) Ended(ctx context.Context, addr string, connect bool) (bool, error) {
	open, known := c.idleConnOpen(addr)
	if open || !known && !connect {
		return false, nil
	}
	return c.ConnRefused(ctx, addr)
}

// idleConnOpen reports whether an idle connection to addr is open, and whether there is one.
func (c *Client) idleConnOpen(addr string) (open, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cs := c.idle[addr]
	return slices.ContainsFunc(cs, isQuiet), len(cs) > 0
}

// put keeps conn for later requests. The parameter keepAlive is the idle time that
// the endpoint announced, 0 if none, and maxIdle bounds the idle connections to
// addr.
func (c *Client) put(addr string, conn *conn, keepAlive mn.Millis, maxIdle int) {
	if maxIdle <= 0 {
		maxIdle = maxIdlePerAddr
	}
	conn.maxIdleTime = defaultIdleTime
	if keepAlive > 0 {
		conn.maxIdleTime = keepAlive - idleMargin
	}
	if conn.maxIdleTime <= 0 || len(conn.carried) >= maxCarried || conn.SetDeadline(time.Time{}) != nil {
		conn.Close()
		return
	}
	conn.idleAt = c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sweep(conn.idleAt)
	if len(c.idle[addr]) >= min(maxIdle, maxIdlePerAddr) {
		conn.Close()
		return
	}
	c.idle[addr] = append(c.idle[addr], conn)
}

// sweep closes the connections that have been idle for too long. Those to endpoints that are
// gone would otherwise stay.
func (c *Client) sweep(now mn.Millis) {
	if now-c.sweptAt < sweepInterval {
		return
	}
	c.sweptAt = now
	for addr, cs := range c.idle {
		cs = slices.DeleteFunc(cs, func(k *conn) bool {
			if now-k.idleAt < k.maxIdleTime {
				return false
			}
			k.Close()
			return true
		})
		if c.idle[addr] = cs; len(cs) == 0 {
			delete(c.idle, addr)
		}
	}
}

// isQuiet reports whether nothing has arrived on an idle connection: neither bytes,
// which would belong to no request, nor the end of the connection.
func isQuiet(conn *conn) bool {
	return conn.reader.Buffered() == 0 && wire.Peek(conn.Conn) == wire.PeekQuiet
}
