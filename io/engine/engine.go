// Package engine implements the client through which an agent calls its model engine.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	mn "mustardnotch"
	"mustardnotch/io/wire"
)

// callTimeout limits every call except Generate, which ends with its context.
const callTimeout = 2 * mn.Second

// Client calls a model engine over HTTP. It implements [mn.Engine].
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the engine at base, a URL without a path.
func New(base string) *Client {
	return &Client{base: base, http: wire.NewHTTPClient()}
}

// Generate implements [mn.Engine]. Its error has outcome "not run" only if no byte of
// the request was sent or the engine rejected the request.
func (c *Client) Generate(ctx context.Context, g mn.Generation, emit func(mn.OutputChunk) error) error {
	body, err := json.Marshal(g)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/generate", bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return wire.WrapEndpointError(err)
	}
	defer resp.Body.Close()
	if err := wire.CheckStatus(resp); err != nil {
		return wire.WrapEndpointError(err)
	}
	return readChunks(resp.Body, emit)
}

// maxChunkBytes bounds the size of a chunk. An engine in trouble may send one without end.
const maxChunkBytes = 1 << 20

// readChunks calls emit with each chunk up to and including the last one. A stream that
// ends before it is truncated.
func readChunks(body io.Reader, emit func(mn.OutputChunk) error) error {
	in := &io.LimitedReader{R: body}
	for d := json.NewDecoder(in); ; {
		var p mn.OutputChunk
		in.N = maxChunkBytes
		err := d.Decode(&p)
		if err != nil && in.N <= 0 {
			return mn.Errorf(mn.EndpointFailed, "a chunk from the engine is longer than %d bytes", maxChunkBytes)
		}
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return mn.Errorf(mn.Truncated, "engine ended the stream before the last chunk")
		}
		if err != nil {
			return mn.Errorf(mn.EndpointFailed, "read chunk from engine: %w", err)
		}
		if err := emit(p); err != nil {
			return err
		}
		if p.Last {
			return nil
		}
	}
}

// Load implements [mn.Engine].
func (c *Client) Load(ctx context.Context) (mn.EngineLoad, error) {
	var l mn.EngineLoad
	err := c.call(ctx, http.MethodGet, "/load", nil, &l)
	return l, err
}

// State implements [mn.Engine].
func (c *Client) State(ctx context.Context) (mn.EngineState, error) {
	var s mn.EngineState
	err := c.call(ctx, http.MethodGet, "/state", nil, &s)
	return s, err
}

// Order implements [mn.Engine].
func (c *Client) Order(ctx context.Context, o mn.EngineOrder) error {
	return c.call(ctx, http.MethodPost, "/order", o, nil)
}

// CacheEvents implements [mn.Engine].
func (c *Client) CacheEvents(ctx context.Context, after int64) ([]mn.CacheEvent, error) {
	var events []mn.CacheEvent
	err := c.call(ctx, http.MethodGet, fmt.Sprintf("/cache_events?after=%d", after), nil, &events)
	return events, err
}

func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	if err := wire.DoJSON(ctx, c.http, method, c.base+path, in, out); err != nil {
		return wire.WrapEndpointError(err)
	}
	return nil
}
