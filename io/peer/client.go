package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	mn "mustardnotch"
	"mustardnotch/core/feed"
	"mustardnotch/core/fresh"
	"mustardnotch/gen/meshpb"
	"mustardnotch/io/wire"
)

// relayTimeout is the time without a batch after which a relay is abandoned. The server
// sends an empty batch as a heartbeat every heartbeatInterval.
const relayTimeout = 1500 * time.Millisecond

// Client calls peers.
type Client struct {
	vm    mn.VMID
	conns *wire.ConnPool
}

// NewClient returns a client for the process on vm. conns should come from
// [wire.NewProbePool], which closes a connection on which a call is cancelled or times
// out.
func NewClient(vm mn.VMID, conns *wire.ConnPool) *Client {
	return &Client{vm: vm, conns: conns}
}

// service returns a client of the peer at addr. The first call dials its connection.
func (c *Client) service(ctx context.Context, addr string) meshpb.DRPCPeerClient {
	return meshpb.NewDRPCPeerClient(c.conns.Get(ctx, addr))
}

// Probe implements [fresh.Prober].
func (c *Client) Probe(ctx context.Context, to mn.Member, req fresh.ProbeRequest) (fresh.ProbeReply, error) {
	reply, err := c.probe(ctx, to, req, false)
	if err != nil {
		return fresh.ProbeReply{}, err
	}
	return fresh.ProbeReply{
		VM:          mn.VMID(reply.Vm),
		Incarnation: mn.Incarnation(reply.Incarnation),
		Offset:      mn.Offset(reply.Offset),
		Established: mn.Offset(reply.Established),
		Current:     reply.Current,
		Age:         mn.Millis(reply.AgeMs),
	}, nil
}

// Status requests the state of a peer for operators.
func (c *Client) Status(ctx context.Context, to mn.Member, req fresh.ProbeRequest) (*meshpb.HearReply, error) {
	return c.probe(ctx, to, req, true)
}

// probe exchanges offsets with a peer and, with status set, requests its state.
func (c *Client) probe(ctx context.Context, to mn.Member, req fresh.ProbeRequest, status bool) (*meshpb.HearReply, error) {
	reply, err := c.service(ctx, to.Addr).Hear(ctx, &meshpb.HearRequest{
		Vm:          string(req.VM),
		Incarnation: string(req.Incarnation),
		Offset:      int64(req.Offset),
		Established: int64(req.Established),
		Status:      status,
	})
	if err != nil {
		return nil, fmt.Errorf("probe %s at %s: %w", to.VM, to.Addr, err)
	}
	return reply, nil
}

// Relay implements [feed.Relayer].
func (c *Client) Relay(ctx context.Context, to mn.Member, from mn.Offset, sink func(feed.Batch) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(relayTimeout, func() {
		cancel(fmt.Errorf("relay from %s: no batch within %s", to.Addr, relayTimeout))
	})
	defer watchdog.Stop()
	stream, err := c.service(ctx, to.Addr).Relay(ctx, &meshpb.RelayRequest{From: int64(from), Vm: string(c.vm)})
	if err != nil {
		return fmt.Errorf("relay from %s: %w", to.Addr, err)
	}
	defer stream.Close()
	for {
		msg, err := stream.Recv()
		if err != nil {
			if cause := context.Cause(ctx); cause != nil {
				return cause
			}
			return fmt.Errorf("relay from %s: %w", to.Addr, err)
		}
		watchdog.Reset(relayTimeout)
		b, err := parseBatch(msg)
		if err != nil {
			return fmt.Errorf("relay from %s: %w", to.Addr, err)
		}
		if err := sink(b); err != nil {
			return err
		}
	}
}

func parseBatch(msg *meshpb.RelayBatch) (feed.Batch, error) {
	b := feed.Batch{Head: mn.Offset(msg.Head)}
	for _, e := range msg.Entries {
		b.Entries = append(b.Entries, mn.LogEntry{Offset: mn.Offset(e.Offset), Data: e.Data})
	}
	if len(msg.Snapshot) == 0 {
		return b, nil
	}
	b.Snapshot = &mn.Snapshot{}
	if err := json.Unmarshal(msg.Snapshot, b.Snapshot); err != nil {
		return b, fmt.Errorf("decode snapshot: %w", err)
	}
	return b, nil
}
