// Package accept takes callers' connections and closes those that take too much.
package accept

import (
	"context"
	"errors"
	"io"
	"iter"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	mn "mustardnotch"
	"mustardnotch/core/alloc"
	"mustardnotch/core/frame"
	"mustardnotch/core/shed"
	"mustardnotch/core/stats"
	"mustardnotch/io/logs"
)

const (
	// freeHead is what a head may take without a share of the memory for heads.
	freeHead = 8 << 10
	// socketBuffer is the size of the kernel's buffers of a connection, each way. Those that the
	// kernel chooses by itself grow to several MB.
	socketBuffer = shed.SocketBuffer
	// refusalTimeout bounds the writing of a refusal, and how long what its caller still sends is
	// read, so that the caller gets the refusal instead of a reset.
	refusalTimeout = 500 * time.Millisecond
)

// errNoRoom is the error of reading from a connection whose head finds no memory.
var errNoRoom = errors.New("heads of requests take too much memory")

// Config holds a listener's dependencies and limits.
type Config struct {
	Clock mn.Clock
	Stats *stats.Set
	Log   *logrus.Entry
	// Name is the prefix of the listener's counters.
	Name string
	// MaxConns is the maximum number of open connections.
	MaxConns int
	// HeadMemory bounds what the heads of all requests take.
	HeadMemory *alloc.Budget
	// Refusal is the answer to a request whose head finds no memory.
	Refusal []byte
}

// Listener is a [net.Listener] that bounds the number of its open connections and what they
// take. It is safe for concurrent use.
type Listener struct {
	*net.TCPListener
	Config

	sampler *logs.Sampler

	mu    sync.Mutex
	conns map[*Conn]struct{}
	most  int
}

// maxLogLines bounds the log lines a second for connections that were closed.
const maxLogLines = 5

// New returns a listener on top of l. The HTTP server must use [Listener.ConnState].
func New(l *net.TCPListener, c Config) *Listener {
	n := &Listener{TCPListener: l, Config: c, sampler: logs.NewSampler(maxLogLines, c.Clock), conns: map[*Conn]struct{}{}}
	c.HeadMemory.SetReclaim(func(string) bool { return n.close(func(c shed.Conn) bool { return c.Head > 0 }) })
	return n
}

// Listen listens at addr, with up to backlog connections that have not been accepted. What the
// kernel holds for them counts toward the memory of the process, so they have small buffers from
// their first byte on.
func Listen(addr string, backlog int) (*net.TCPListener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return control(c, func(fd int) error {
			return errors.Join(
				unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, socketBuffer),
				unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, socketBuffer))
		})
	}}
	l, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	tcp := l.(*net.TCPListener)
	raw, err := tcp.SyscallConn()
	if err == nil {
		// The package net knows no other backlog than the system's.
		err = control(raw, func(fd int) error { return unix.Listen(fd, backlog) })
	}
	if err != nil {
		return nil, errors.Join(err, l.Close())
	}
	return tcp, nil
}

// control calls f with the descriptor of c.
func control(c syscall.RawConn, f func(fd int) error) error {
	var failed error
	err := c.Control(func(fd uintptr) { failed = f(int(fd)) })
	return errors.Join(err, failed)
}

// Accept implements [net.Listener]. It closes new connections that find no room.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		t, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		c := &Conn{TCPConn: t, listener: l, heads: l.HeadMemory.Lease("")}
		c.state = shed.Conn{Phase: shed.Head, MovedAt: l.Clock.Now()}
		if !l.add(c) {
			l.report("refused", shed.Conn{})
			// The caller finds that nothing was read.
			_ = t.Close()
			continue
		}
		return c, nil
	}
}

// add adds a connection, in whose favour another one is closed if there are too many. It
// returns false if none gives way.
func (l *Listener) add(c *Conn) bool {
	if l.count() >= l.MaxConns && !l.close(func(shed.Conn) bool { return true }) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	if len(l.conns) > l.most {
		l.most = len(l.conns)
		l.Stats.Set(l.Name+"_most", int64(l.most))
	}
	return true
}

func (l *Listener) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// ReclaimBody closes a connection whose request's body does not arrive, of the given owner
// unless that is empty. It returns false if there is none.
func (l *Listener) ReclaimBody(owner string) bool {
	return l.close(func(c shed.Conn) bool { return c.Phase == shed.Body && (owner == "" || c.Owner == owner) })
}

// close closes the connection that gives way first among those that match.
func (l *Listener) close(match func(shed.Conn) bool) bool {
	c, ok := shed.Pick(l.Clock.Now(), l.matching(match))
	if !ok {
		return false
	}
	state := c.snapshot()
	l.report("shed_"+state.Phase.String(), state)
	// It may have been closed at the same time, which is as good.
	_ = c.Close()
	return true
}

// report counts and logs a connection that was closed.
func (l *Listener) report(verdict string, c shed.Conn) {
	l.Stats.Add(l.Name+"_"+verdict, 1)
	skipped, ok := l.sampler.Allow()
	if !ok {
		return
	}
	f := logrus.Fields{"event": "conn_closed", "listener": l.Name, "verdict": verdict, "conns": l.count(), "limit": l.MaxConns}
	if c.MovedAt > 0 {
		f["stalled_ms"], f["held"], f["customer"] = l.Clock.Now()-c.MovedAt, c.Held, c.Owner
	}
	if skipped > 0 {
		f["lines_left_out"] = skipped
	}
	l.Log.WithFields(f).Warn()
}

func (l *Listener) matching(match func(shed.Conn) bool) iter.Seq2[*Conn, shed.Conn] {
	return func(yield func(*Conn, shed.Conn) bool) {
		l.mu.Lock()
		defer l.mu.Unlock()
		for c := range l.conns {
			if s := c.snapshot(); match(s) && !yield(c, s) {
				return
			}
		}
	}
}

// ConnState notes that a connection is idle, for [http.Server.ConnState].
func (l *Listener) ConnState(c net.Conn, state http.ConnState) {
	if own, ok := c.(*Conn); ok && state == http.StateIdle {
		own.Enter(shed.Idle, "")
	}
}

// Conn is a connection of a caller.
type Conn struct {
	*net.TCPConn
	listener *Listener

	mu    sync.Mutex
	state shed.Conn
	// moved is the number of bytes that have arrived since the last progress.
	moved int64
	// scanner finds the heads in what arrives.
	scanner frame.Scanner
	// heads is what the head of the present request takes, beyond what is free.
	heads *alloc.Lease
	// growing is set while heads is used without the lock.
	growing, closed bool
}

// Enter notes that the connection enters a phase of a request of the given owner.
func (c *Conn) Enter(p shed.Phase, owner string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p == shed.Idle {
		c.heads.End()
	}
	c.enter(p, owner)
}

func (c *Conn) enter(p shed.Phase, owner string) {
	c.state = shed.Conn{Phase: p, Owner: owner, MovedAt: c.listener.Clock.Now(), Held: c.heads.Held(), Head: c.heads.Held()}
	c.moved = 0
}

func (c *Conn) snapshot() shed.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}

// HoldHead notes what the head of the present request takes until the connection is idle, and
// returns false if there is no memory for it. What arrived of the head has counted until now,
// unless it came with the request before.
func (c *Conn) HoldHead(memory int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holdHead(memory)
}

// Read implements [net.Conn].
func (c *Conn) Read(p []byte) (int, error) {
	if !c.awaitsMore() {
		return 0, c.refuse()
	}
	n, err := c.TCPConn.Read(p)
	if n > 0 && !c.arrived(p[:n]) {
		return 0, c.refuse()
	}
	return n, err
}

// awaitsMore notes that what has arrived does not suffice, and returns false if there is no
// memory for it: a part of a head may have come with the request before.
func (c *Conn) awaitsMore() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	part := c.scanner.Unfinished()
	if part.Bytes == 0 || c.state.Phase != shed.Idle && c.state.Phase != shed.Head {
		return true
	}
	if c.state.Phase == shed.Idle {
		c.enter(shed.Head, "")
	}
	return c.holdHead(part.Memory())
}

// arrived notes what has arrived, and returns false if there is no memory for it.
func (c *Conn) arrived(text []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state.Phase == shed.Idle {
		c.enter(shed.Head, "")
	}
	if c.moved += int64(len(text)); c.moved >= shed.Progress {
		c.moved, c.state.MovedAt = 0, c.listener.Clock.Now()
	}
	n, size, ended := c.scanner.Next(text)
	if !ended {
		size = c.scanner.Unfinished()
	}
	for rest := text[n:]; len(rest) > 0; rest = rest[n:] {
		n, _, _ = c.scanner.Next(rest)
	}
	switch c.state.Phase {
	case shed.Body:
		c.state.Held += int64(len(text))
	case shed.Head:
		return c.holdHead(size.Memory())
	}
	return true
}

// holdHead sets what the head takes. It gives the lock back while it waits for room, so that the
// connection itself can be closed.
func (c *Conn) holdHead(memory int64) bool {
	more := max(0, memory-freeHead) - c.heads.Held()
	if more < 0 {
		c.heads.Sub(-more)
	}
	if more > 0 {
		c.growing = true
		c.mu.Unlock()
		ok := c.heads.Add(more)
		c.mu.Lock()
		c.growing = false
		if c.closed {
			c.heads.End()
			return false
		}
		if !ok {
			return false
		}
	}
	c.state.Held += c.heads.Held() - c.state.Head
	c.state.Head = c.heads.Held()
	return true
}

// refuse answers a request whose head finds no memory, and returns an error with which net/http
// closes the connection without an answer of its own.
func (c *Conn) refuse() error {
	err := &net.OpError{Op: "read", Net: "tcp", Err: errNoRoom}
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return err
	}
	c.enter(shed.Ended, "")
	state := c.state
	c.mu.Unlock()
	c.listener.report("refused_head", state)
	if c.SetDeadline(time.Now().Add(refusalTimeout)) != nil {
		return err
	}
	if _, failed := c.Write(c.listener.Refusal); failed != nil || c.CloseWrite() != nil {
		return err // The caller has left, or does not read.
	}
	// It ends when the caller closes the connection, or with the deadline.
	_, _ = io.Copy(io.Discard, c.TCPConn)
	return err
}

// Close implements [net.Conn].
func (c *Conn) Close() error {
	c.mu.Lock()
	first := !c.closed
	c.closed = true
	c.mu.Unlock()
	if first {
		c.listener.remove(c)
	}
	return c.TCPConn.Close()
}

// remove forgets a connection that is being closed.
func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.growing {
		c.heads.End()
	}
}
