package agent

import (
	"context"
	"time"

	mn "mustardnotch"
	"mustardnotch/gen/meshpb"
	"mustardnotch/io/wire"
)

// WatchLoad passes on the load reports of the agent at addr, one each interval,
// until ctx is done or the connection breaks or falls silent.
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
