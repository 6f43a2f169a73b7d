package agent

import (
	"context"

	mn "mustardnotch"
	"mustardnotch/gen/meshpb"
	"mustardnotch/io/wire"
)

// stampTimeout limits a request for a stamp. An order has no such timeout: its
// context ends when the control lease would expire.
const stampTimeout = 1 * mn.Second

// OrderClient sends orders to one agent. It implements [mn.OrderReceiver].
type OrderClient struct {
	client *Client
	addr   string
}

// OrderClient returns a client that sends orders to the agent at addr.
func (c *Client) OrderClient(addr string) *OrderClient {
	return &OrderClient{client: c, addr: addr}
}

// Stamp implements [mn.OrderReceiver].
func (c *OrderClient) Stamp(ctx context.Context, term mn.Term) (mn.AgentState, error) {
	ctx, cancel := context.WithTimeout(ctx, stampTimeout.Duration())
	defer cancel()
	conn := c.client.conns.Get(ctx, c.addr)
	defer conn.Close()
	r, err := meshpb.NewDRPCAgentClient(conn).Stamp(ctx, &meshpb.StampRequest{Term: int64(term)})
	if err != nil {
		return mn.AgentState{}, c.client.linkError(ctx, c.addr, err)
	}
	if r.Failure != nil {
		return mn.AgentState{}, wire.DecodeError(r.Failure)
	}
	return mn.AgentState{
		Stamp:       mn.Millis(r.Stamp),
		Incarnation: mn.Incarnation(r.Incarnation),
		Term:        mn.Term(r.Term),
		State: mn.EngineState{
			Role:         mn.EngineRole(r.Role),
			Model:        mn.ModelID(r.Model),
			Version:      r.Version,
			Changing:     r.Changing,
			FencingToken: r.Fence,
		},
		Busy:    r.Busy,
		Paused:  r.Held,
		Running: r.Running,
	}, nil
}

// Order implements [mn.OrderReceiver].
func (c *OrderClient) Order(ctx context.Context, o mn.Order) error {
	conn := c.client.conns.Get(ctx, c.addr)
	defer conn.Close()
	r, err := meshpb.NewDRPCAgentClient(conn).Order(ctx, &meshpb.OrderRequest{
		Term:        int64(o.Term),
		Sequence:    int64(o.Sequence),
		Stamp:       int64(o.Stamp),
		LifeMs:      int64(o.TTL),
		Incarnation: string(o.Incarnation),
		Role:        string(o.Target.Role),
		Model:       string(o.Target.Model),
		Version:     o.Target.Version,
		Prepare:     o.PauseOnly,
	})
	if err != nil {
		return c.client.linkError(ctx, c.addr, err)
	}
	return wire.DecodeError(r.Failure)
}
