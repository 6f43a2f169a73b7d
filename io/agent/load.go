package agent

import (
	"context"
	"time"

	mn "mustardnotch"
	"mustardnotch/gen/meshpb"
	"mustardnotch/io/wire"
)

// WatchLoad calls sink with the load reports of the agent at addr, which sends one
// per interval. It returns when ctx is done, the connection breaks, or no report
// arrives within interval and silenceTimeout together.
func (c *Client) WatchLoad(ctx context.Context, addr string, interval mn.Millis, sink func(*meshpb.LoadReport)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	conn := c.conns.Get(ctx, addr)
	defer conn.Close()
	stream, err := meshpb.NewDRPCAgentClient(conn).Load(ctx, &meshpb.LoadRequest{IntervalMs: int64(interval)})
	if err != nil {
		return c.linkError(ctx, addr, err)
	}
	defer stream.Close()
	limit := (silenceTimeout + interval).Duration()
	watchdog := time.AfterFunc(limit, func() { cancel(wire.ErrSilent) })
	defer watchdog.Stop()
	for {
		r, err := stream.Recv()
		if err != nil {
			return c.receiveError(ctx, addr, err)
		}
		watchdog.Reset(limit)
		sink(r)
	}
}
