package caller

import (
	"bytes"
	"context"
	"crypto/sha256"
	"net/http"

	"connectrpc.com/connect"

	mn "mustardnotch"
	"mustardnotch/gen/apipb"
	"mustardnotch/io/wire"
)

// Client calls the service Serving of one entry.
type Client struct {
	rpc apipb.ServingClient
	key string
}

// NewClient returns a client of the entry at base, a URL without a path. It sends key
// with each request unless key is empty.
func NewClient(base, key string) *Client {
	return NewClientHTTP(wire.NewHTTPClient(), base, key)
}

// NewClientHTTP is like [NewClient] but sends requests through h.
func NewClientHTTP(h *http.Client, base, key string) *Client {
	return &Client{rpc: apipb.NewServingClient(h, base), key: key}
}

// Call sends one call of a plain service.
func (c *Client) Call(ctx context.Context, m *apipb.CallRequest) (*apipb.CallResponse, error) {
	req := connect.NewRequest(m)
	c.setKey(req.Header())
	resp, err := c.rpc.Call(ctx, req)
	if err != nil {
		return nil, FromConnect(err)
	}
	return resp.Msg, nil
}

// Generate calls sink with the chunks of a generation. It returns nil only after an
// end marker whose length and digest match the text.
func (c *Client) Generate(ctx context.Context, m *apipb.GenerateRequest, sink func(*apipb.GenerateChunk) error) error {
	req := connect.NewRequest(m)
	c.setKey(req.Header())
	stream, err := c.rpc.Generate(ctx, req)
	if err != nil {
		return FromConnect(err)
	}
	return receive(stream, m.Prefix, m.AfterSequence, sink)
}

// Resume receives the rest of a generation whose stream broke. The argument received
// is the text that has arrived so far. Resume returns nil under the same condition as
// Generate.
func (c *Client) Resume(ctx context.Context, m *apipb.ResumeRequest, received string, sink func(*apipb.GenerateChunk) error) error {
	req := connect.NewRequest(m)
	c.setKey(req.Header())
	stream, err := c.rpc.Resume(ctx, req)
	if err != nil {
		return FromConnect(err)
	}
	return receive(stream, received, m.AfterSequence, sink)
}

// receive calls sink with the chunks after sequence and checks that the answer is
// complete; received is its text up to sequence.
func receive(stream *connect.ServerStreamForClient[apipb.GenerateChunk], received string, sequence int64, sink func(*apipb.GenerateChunk) error) error {
	defer stream.Close()
	sum := sha256.New()
	sum.Write([]byte(received))
	length := int64(len(received))
	for stream.Receive() {
		chunk := stream.Msg()
		sum.Write([]byte(chunk.Text))
		length += int64(len(chunk.Text))
		if e := chunk.End; e != nil {
			if e.Length != length || !bytes.Equal(e.Digest, sum.Sum(nil)) {
				return mn.Errorf(mn.Truncated, "answer does not match its end marker: got %d bytes, want %d, or the digest differs", length, e.Length)
			}
			return sink(chunk)
		}
		if chunk.Sequence != sequence+1 {
			return mn.Errorf(mn.Truncated, "got chunk %d after chunk %d", chunk.Sequence, sequence)
		}
		sequence = chunk.Sequence
		if err := sink(chunk); err != nil {
			return err
		}
	}
	if err := stream.Err(); err != nil {
		return FromConnect(err)
	}
	return mn.Errorf(mn.Truncated, "stream ended without an end marker")
}

// setKey adds the client's key to h.
func (c *Client) setKey(h http.Header) {
	if c.key != "" {
		h.Set("Authorization", "Bearer "+c.key)
	}
}
