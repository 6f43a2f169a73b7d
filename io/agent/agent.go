// Package agent is an entry's client of the agents beside endpoints.
package agent

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"hash"
	"io"
	"time"

	mn "mustardnotch"
	"mustardnotch/gen/meshpb"
	"mustardnotch/io/wire"
)

// silenceTimeout is how long a stream may stay without a frame or heartbeat
// before its connection counts as broken.
const silenceTimeout = 2 * mn.Second

// Client sends requests to agents over pooled drpc connections.
type Client struct {
	conns *wire.ConnPool
}

// New returns a client that uses conns.
func New(conns *wire.ConnPool) *Client {
	return &Client{conns: conns}
}

// Submit hands r to the agent at addr and passes the frames of its answer on,
// without heartbeats. It returns nil only after an end marker whose length and
// digest match. An error has outcome "not run" only if the agent said so or no
// connection was made.
func (c *Client) Submit(ctx context.Context, addr string, r *meshpb.Request, sink func(*meshpb.Frame) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	conn := c.conns.Get(ctx, addr)
	defer conn.Close()
	stream, err := meshpb.NewDRPCAgentClient(conn).Submit(ctx, r)
	if err != nil {
		return c.linkError(ctx, addr, err)
	}
	defer stream.Close()
	var prefix string
	var first int64
	if r.Generation != nil {
		prefix = r.Generation.Prefix
		first = r.Generation.PrefixSequence
	}
	return c.receive(ctx, cancel, addr, stream, newChecker(prefix, first), sink)
}

// frameReceiver is the part of a drpc stream that receive needs.
type frameReceiver interface {
	Recv() (*meshpb.Frame, error)
}

var errNoEndMarker = errors.New("stream ended without an end marker")

func (c *Client) receive(ctx context.Context, cancel context.CancelCauseFunc, addr string, in frameReceiver, k *checker, sink func(*meshpb.Frame) error) error {
	watchdog := time.AfterFunc(silenceTimeout.Duration(), func() { cancel(wire.ErrSilent) })
	defer watchdog.Stop()
	for {
		f, err := in.Recv()
		if err != nil {
			return c.receiveError(ctx, addr, err)
		}
		watchdog.Reset(silenceTimeout.Duration())
		if f.Failure != nil {
			return wire.DecodeError(f.Failure)
		}
		if f.Sequence == 0 && f.End == nil {
			continue
		}
		if err := k.check(f); err != nil {
			return err
		}
		if err := sink(f); err != nil {
			return err
		}
		if f.End != nil {
			return nil
		}
	}
}

func (c *Client) receiveError(ctx context.Context, addr string, err error) error {
	if errors.Is(err, io.EOF) && ctx.Err() == nil {
		err = errNoEndMarker
	}
	return c.linkError(ctx, addr, err)
}

// linkError wraps a failure of the connection to an agent, or the end of ctx.
func (c *Client) linkError(ctx context.Context, addr string, err error) error {
	silent := errors.Is(context.Cause(ctx), wire.ErrSilent)
	switch {
	case silent:
		err = wire.ErrSilent
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return mn.Errorf(mn.DeadlineExceeded, "waiting for the agent at %s: %w", addr, err)
	case ctx.Err() != nil:
		return mn.Errorf(mn.Cancelled, "waiting for the agent at %s: %w", addr, err)
	}
	c.conns.Drop(addr)
	link := &wire.LinkError{Addr: addr, Err: err}
	if wire.NeverSent(err) {
		return mn.Errorf(mn.NoEndpoint, "%w", link)
	}
	return mn.Errorf(mn.OutcomeNotKnown, "%w", link)
}

// checker verifies that the frames of an answer are whole and in order.
type checker struct {
	// skipDigest says that the beginning of the answer was not seen.
	skipDigest bool
	sequence   int64
	length     int64
	sum        hash.Hash
}

func newChecker(prefix string, sequence int64) *checker {
	k := &checker{sequence: sequence, sum: sha256.New()}
	k.add([]byte(prefix))
	return k
}

func (k *checker) add(b []byte) {
	k.sum.Write(b)
	k.length += int64(len(b))
}

func (k *checker) check(f *meshpb.Frame) error {
	if f.End != nil {
		return k.finish(f.End)
	}
	if f.Sequence != k.sequence+1 {
		return mn.Errorf(mn.Truncated, "frame %d after frame %d", f.Sequence, k.sequence)
	}
	k.sequence = f.Sequence
	k.add([]byte(f.Text))
	k.add(f.Body)
	return nil
}

func (k *checker) finish(e *meshpb.End) error {
	if k.skipDigest {
		return nil
	}
	if e.Length != k.length {
		return mn.Errorf(mn.Truncated, "answer has %d bytes, its end marker says %d", k.length, e.Length)
	}
	if !bytes.Equal(e.Digest, k.sum.Sum(nil)) {
		return mn.Errorf(mn.Truncated, "answer's digest differs from its end marker's")
	}
	return nil
}
