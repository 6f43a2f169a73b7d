// Package agent implements the client through which an entry calls agents.
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

// silenceTimeout is the time without a frame or heartbeat after which the
// connection of a stream is considered broken.
const silenceTimeout = 2 * mn.Second

// Client sends requests to agents over pooled drpc connections.
type Client struct {
	conns *wire.ConnPool
}

// New returns a client that uses conns.
func New(conns *wire.ConnPool) *Client {
	return &Client{conns: conns}
}

// Submit sends r to the agent at addr and calls sink with each frame of the
// answer except heartbeats. It returns nil only after an end marker whose length
// and digest match the answer. An error has outcome "not run" only if the agent
// reported that outcome or no connection was made.
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

// frameReceiver is the receiving side of a drpc stream of frames.
type frameReceiver interface {
	Recv() (*meshpb.Frame, error)
}

var errNoEndMarker = errors.New("stream ended without an end marker")

// receive calls sink with the frames of in, except heartbeats, up to and including
// the end marker.
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
		if f.Sequence == 0 && f.End == nil { // a heartbeat
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

// linkError returns err as an Error: with code [mn.DeadlineExceeded] or
// [mn.Cancelled] if ctx is done for another cause than [wire.ErrSilent], and
// otherwise as a [wire.LinkError], after which the next call to addr uses a new
// connection.
func (c *Client) linkError(ctx context.Context, addr string, err error) error {
	silent := errors.Is(context.Cause(ctx), wire.ErrSilent)
	switch {
	case silent:
		err = wire.ErrSilent
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return mn.Errorf(mn.DeadlineExceeded, "wait for the agent at %s: %w", addr, err)
	case ctx.Err() != nil:
		return mn.Errorf(mn.Cancelled, "wait for the agent at %s: %w", addr, err)
	}
	c.conns.Drop(addr)
	link := &wire.LinkError{Addr: addr, Err: err}
	if wire.NeverSent(err) {
		return mn.Errorf(mn.NoEndpoint, "%w", link)
	}
	return mn.Errorf(mn.OutcomeNotKnown, "%w", link)
}

// checker verifies that the frames of an answer are complete and in order.
type checker struct {
	// skipDigest is set if the beginning of the answer was not received, so that
	// its length and digest can't be computed.
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
		return mn.Errorf(mn.Truncated, "got frame %d after frame %d", f.Sequence, k.sequence)
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
		return mn.Errorf(mn.Truncated, "answer truncated: got %d bytes, want %d according to its end marker", k.length, e.Length)
	}
	if !bytes.Equal(e.Digest, k.sum.Sum(nil)) {
		return mn.Errorf(mn.Truncated, "digest of the answer (%d bytes) differs from the digest in its end marker", k.length)
	}
	return nil
}
