// Package plain implements the client through which an agent calls its plain service.
package plain

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"

	mn "mustardnotch"
	"mustardnotch/core/alloc"
	"mustardnotch/io/wire"
)

const (
	// maxAnswerBytes is the maximum size of an answer's body.
	maxAnswerBytes = 16 << 20
	// readingBytes is the memory of all answers that are being read. Few services send large
	// answers, and one in trouble may send answers without end.
	readingBytes = 64 << 20
	// outcomeHeader is the header in which a service states that it has not run a call and never
	// will, by the value notRun.
	outcomeHeader = "X-Outcome"
	notRun        = "not-run"
)

// Client calls a plain service over HTTP. It implements [mn.PlainService].
type Client struct {
	base   string
	http   *http.Client
	memory *alloc.Budget
}

// New returns a client of the service at base, a URL without a path.
func New(base string) *Client {
	return &Client{base: base, http: wire.NewHTTPClient(), memory: alloc.New(readingBytes, readingBytes)}
}

// Call implements [mn.PlainService]. It sends the request's id and the customer's id but
// never the caller's key. The id is sent as X-Request-Id, because net/http resends a
// request with an Idempotency-Key header on its own.
func (c *Client) Call(ctx context.Context, call mn.PlainCall) ([]byte, error) {
	body := io.NopCloser(bytes.NewReader(call.Body))
	path := "/" + strings.TrimPrefix(call.Path, "/")
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, body)
	if err != nil {
		return nil, mn.Errorf(mn.BadRequest, "path %q: %w", call.Path, err)
	}
	req.ContentLength = int64(len(call.Body))
	if len(call.Body) == 0 {
		req.Body = http.NoBody
	}
	req.Header.Set("X-Request-Id", string(call.ID))
	req.Header.Set("X-Customer", string(call.Customer))
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, wire.WrapEndpointError(err)
	}
	defer resp.Body.Close()
	if err := wire.CheckStatus(resp); err != nil {
		return nil, callFailed(resp, err)
	}
	return c.readAnswer(resp.Body)
}

// callFailed returns the error for an answer that is no success. No status proves that the
// service has not run the call: one in trouble may answer with any after it has.
func callFailed(resp *http.Response, err error) error {
	e := mn.Errorf(mn.EndpointFailed, "%w", err)
	if resp.Header.Get(outcomeHeader) == notRun {
		return e.WithOutcome(mn.OutcomeNotRun)
	}
	return e
}

// readAnswer reads a complete answer. The service has run the call.
func (c *Client) readAnswer(body io.Reader) ([]byte, error) {
	memory := c.memory.Lease("")
	defer memory.End()
	pieces, whole, err := memory.ReadUpTo(body, maxAnswerBytes)
	if err != nil {
		return nil, mn.Errorf(mn.EndpointFailed, "read answer: %w", err)
	}
	if !whole {
		return nil, mn.Errorf(mn.EndpointFailed, "no end after %d bytes of the answer, at most %d of one and %d of all", len(pieces)*len(pieces[0]), maxAnswerBytes, readingBytes).WithOutcome(mn.OutcomeRan)
	}
	return bytes.Join(pieces, nil), nil
}
