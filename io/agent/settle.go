package agent

import (
	"context"
	"errors"

	mn "mustardnotch"
	"mustardnotch/core/calls"
	"mustardnotch/gen/meshpb"
	"mustardnotch/io/wire"
)

// replyTimeout limits a call that an agent answers without waiting for its
// endpoint. Handover, whose message may be large, has twice that.
const replyTimeout = 1 * mn.Second

// Attach receives the rest of the answer to a request that was submitted before.
// The argument received is the text that has arrived so far. Attach returns an error
// under the same conditions as Submit.
func (c *Client) Attach(ctx context.Context, addr string, r *meshpb.AttachRequest, received string, sink func(*meshpb.Frame) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	conn := c.conns.Get(ctx, addr)
	defer conn.Close()
	stream, err := meshpb.NewDRPCAgentClient(conn).Attach(ctx, r)
	if err != nil {
		return c.linkError(ctx, addr, err)
	}
	defer stream.Close()
	return c.receive(ctx, cancel, addr, stream, newChecker(received, r.AfterSequence), sink)
}

// Resume is like Attach for a caller that has not received the earlier frames. It
// checks the order of the frames but not the length and digest of the answer.
func (c *Client) Resume(ctx context.Context, addr string, r *meshpb.AttachRequest, sink func(*meshpb.Frame) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	conn := c.conns.Get(ctx, addr)
	defer conn.Close()
	stream, err := meshpb.NewDRPCAgentClient(conn).Attach(ctx, r)
	if err != nil {
		return c.linkError(ctx, addr, err)
	}
	defer stream.Close()
	k := newChecker("", r.AfterSequence)
	k.skipDigest = true
	return c.receive(ctx, cancel, addr, stream, k, sink)
}

// Settle asks the agent at addr for the outcome of a request.
func (c *Client) Settle(ctx context.Context, addr string, r *meshpb.SettleRequest) (*meshpb.SettleReply, error) {
	ctx, cancel := context.WithTimeout(ctx, replyTimeout.Duration())
	defer cancel()
	conn := c.conns.Get(ctx, addr)
	defer conn.Close()
	reply, err := meshpb.NewDRPCAgentClient(conn).Settle(ctx, r)
	if err != nil {
		return nil, c.replyError(ctx, addr, err)
	}
	return reply, nil
}

// Handover transfers the state of calls to the agent of pool at addr.
func (c *Client) Handover(ctx context.Context, addr string, pool mn.PoolID, transfer calls.Transfer) error {
	ctx, cancel := context.WithTimeout(ctx, 2*replyTimeout.Duration())
	defer cancel()
	conn := c.conns.Get(ctx, addr)
	defer conn.Close()
	reply, err := meshpb.NewDRPCAgentClient(conn).Handover(ctx, wire.EncodeTransfer(pool, transfer))
	if err != nil {
		return c.replyError(ctx, addr, err)
	}
	return wire.DecodeError(reply.Failure)
}

// replyError is like linkError for a call limited by replyTimeout: if the deadline
// has passed, the connection is considered silent and the outcome is unknown.
func (c *Client) replyError(ctx context.Context, addr string, err error) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.conns.Drop(addr)
		return mn.Errorf(mn.OutcomeNotKnown, "%w", &wire.LinkError{Addr: addr, Err: wire.ErrSilent})
	}
	return c.linkError(ctx, addr, err)
}
