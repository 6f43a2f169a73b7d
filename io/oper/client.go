package oper

import (
	"context"
	"encoding/json"

	"connectrpc.com/connect"

	mn "mustardnotch"
	"mustardnotch/gen/apipb"
	"mustardnotch/io/caller"
	"mustardnotch/io/wire"
)

// Client calls the service Operator of one entry.
type Client struct {
	service apipb.OperatorClient
	token   string
}

// NewClient returns a client of the entry whose address for operators has the URL base.
// It sends token with each request.
func NewClient(base, token string) *Client {
	return &Client{service: apipb.NewOperatorClient(wire.NewHTTPClient(), base), token: token}
}

func newRequest[T any](c *Client, msg *T) *connect.Request[T] {
	req := connect.NewRequest(msg)
	req.Header().Set("Authorization", "Bearer "+c.token)
	return req
}

// Apply applies change. With dryRun set it only returns what would change.
func (c *Client) Apply(ctx context.Context, change mn.Change, dryRun bool) (*apipb.ApplyResponse, error) {
	msg := &apipb.ApplyRequest{DryRun: dryRun}
	for _, e := range change.Edits {
		data, err := json.Marshal(e)
		if err != nil {
			return nil, err
		}
		msg.Edits = append(msg.Edits, data)
	}
	resp, err := c.service.Apply(ctx, newRequest(c, msg))
	if err != nil {
		return nil, caller.FromConnect(err)
	}
	return resp.Msg, nil
}

// Get returns the declared resources of a kind and name; an empty kind or name matches
// all.
func (c *Client) Get(ctx context.Context, kind mn.ResourceKind, name string) ([]mn.Versioned, error) {
	resp, err := c.service.Get(ctx, newRequest(c, &apipb.GetRequest{Kind: string(kind), Name: name}))
	if err != nil {
		return nil, caller.FromConnect(err)
	}
	all := make([]mn.Versioned, len(resp.Msg.Resources))
	for i, data := range resp.Msg.Resources {
		if err := json.Unmarshal(data, &all[i]); err != nil {
			return nil, mn.Errorf(mn.Internal, "resource %d of the answer: %w", i+1, err)
		}
	}
	return all, nil
}

// Watch calls show with each report until ctx is done or, if limit is positive, limit
// reports have arrived.
func (c *Client) Watch(ctx context.Context, interval mn.Millis, limit int64, show func(*apipb.WatchResponse) error) error {
	stream, err := c.service.Watch(ctx, newRequest(c, &apipb.WatchRequest{IntervalMs: int64(interval), Limit: limit}))
	if err != nil {
		return caller.FromConnect(err)
	}
	defer stream.Close()
	for stream.Receive() {
		if err := show(stream.Msg()); err != nil {
			return err
		}
	}
	if ctx.Err() != nil {
		return nil
	}
	return caller.FromConnect(stream.Err())
}

// IssueKey declares a new key of a customer and returns it. Only the key's hash is
// stored, so it can't be shown again.
func (c *Client) IssueKey(ctx context.Context, name string, customer mn.CustomerID) (string, mn.Offset, error) {
	resp, err := c.service.IssueKey(ctx, newRequest(c, &apipb.IssueKeyRequest{Name: name, Customer: string(customer)}))
	if err != nil {
		return "", 0, caller.FromConnect(err)
	}
	return resp.Msg.Key, mn.Offset(resp.Msg.Offset), nil
}

// WithdrawKey withdraws a key and returns once the withdrawal is established, that is,
// known to a majority of the processes.
func (c *Client) WithdrawKey(ctx context.Context, name string) (mn.Offset, error) {
	resp, err := c.service.WithdrawKey(ctx, newRequest(c, &apipb.WithdrawKeyRequest{Name: name}))
	if err != nil {
		return 0, caller.FromConnect(err)
	}
	return mn.Offset(resp.Msg.Offset), nil
}
