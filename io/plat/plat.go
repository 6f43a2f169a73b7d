// Package plat implements the client of the platform: its log, its list of VMs, and its
// interfaces for endpoints, usage reports and model weights.
package plat

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	mn "mustardnotch"
	"mustardnotch/io/wire"
)

const (
	// callTimeout limits every call. A read of the log may take longer by the time
	// that it waits for a record.
	callTimeout = 2 * mn.Second
	// maxAppendAnswerBytes is the maximum size of the answer to an append, which
	// contains only an offset.
	maxAppendAnswerBytes = 64 << 10
)

// Client calls the platform over HTTP. It implements [mn.Log],
// [mn.VMLister], [mn.Fleet], [mn.UsageSink] and [mn.WeightStore].
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the platform at base, a URL without a path.
func New(base string) *Client {
	return &Client{base: base, http: wire.NewPlatformClient()}
}

// appendAnswer is the platform's answer to an append.
type appendAnswer struct {
	Offset mn.Offset `json:"offset"`
}

// Append implements [mn.Log].
func (c *Client) Append(ctx context.Context, stream mn.Stream, data []byte) (mn.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/log/"+url.PathEscape(string(stream)), bytes.NewReader(data))
	if err != nil {
		return 0, err
	}
	body, err := wire.Fetch(c.http, req, maxAppendAnswerBytes)
	if err != nil {
		return 0, wire.WrapPlatformError(err)
	}
	var answer appendAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return 0, wire.WrapPlatformError(err)
	}
	return answer.Offset, nil
}

// Read implements [mn.Log].
func (c *Client) Read(ctx context.Context, stream mn.Stream, from mn.Offset, limit int, wait mn.Millis) (mn.LogBatch, error) {
	ctx, cancel := context.WithTimeout(ctx, (callTimeout + wait).Duration())
	defer cancel()
	u := fmt.Sprintf("%s/log/%s?from=%d&limit=%d&wait_ms=%d", c.base, url.PathEscape(string(stream)), from, limit, wait)
	var batch mn.LogBatch
	err := wire.DoJSON(ctx, c.http, http.MethodGet, u, nil, &batch)
	return batch, wire.WrapPlatformError(err)
}

// ListVMs implements [mn.VMLister].
func (c *Client) ListVMs(ctx context.Context) ([]mn.VM, error) {
	var vms []mn.VM
	err := c.call(ctx, http.MethodGet, "/vms", nil, &vms)
	return vms, err
}

// OrderFleet implements [mn.Fleet].
func (c *Client) OrderFleet(ctx context.Context, order mn.FleetOrder) error {
	return c.call(ctx, http.MethodPost, "/fleet", order, nil)
}

// FleetStates implements [mn.Fleet].
func (c *Client) FleetStates(ctx context.Context) ([]mn.FleetState, error) {
	var states []mn.FleetState
	err := c.call(ctx, http.MethodGet, "/fleet", nil, &states)
	return states, err
}

// ReportUsage implements [mn.UsageSink].
func (c *Client) ReportUsage(ctx context.Context, report mn.UsageReport) error {
	return c.call(ctx, http.MethodPost, "/usage", report, nil)
}

// reserveAnswer is the weight store's answer.
type reserveAnswer struct {
	WaitMs mn.Millis `json:"wait_ms"`
}

// Reserve implements [mn.WeightStore].
func (c *Client) Reserve(ctx context.Context, model mn.ModelID, version string) (mn.Millis, error) {
	var answer reserveAnswer
	q := url.Values{"model": {string(model)}, "version": {version}}
	err := c.call(ctx, http.MethodPost, "/weights?"+q.Encode(), nil, &answer)
	return answer.WaitMs, err
}

func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	return wire.WrapPlatformError(wire.DoJSON(ctx, c.http, method, c.base+path, in, out))
}
