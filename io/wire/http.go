// Package wire holds the code for connections that several packages share: JSON over
// HTTP with size limits, pooled drpc connections, and the encoding of errors and of
// transfers of calls in messages.
package wire

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	mn "mustardnotch"
)

const (
	dialTimeout = 2 * mn.Second
	// platformAckTimeout is how long bytes sent to the platform may stay unacknowledged.
	// It is shorter than the time by which a holder's last call precedes the end of its
	// lease, so that no call arrives after that of the next holder.
	platformAckTimeout = 900 * mn.Millisecond

	maxIdlePerHost   = 256
	maxErrorBody     = 4 << 10
	maxResponseBytes = 64 << 20
	// maxHeadBytes bounds the head of an answer. A peer in trouble may send one without end.
	maxHeadBytes = 64 << 10
)

// NewHTTPClient returns a client for one peer. It follows no redirects and ignores
// the proxy settings in the environment. A call that is given up can't reach the peer
// later, unless it is already there.
func NewHTTPClient() *http.Client { return newHTTPClient(0) }

// NewPlatformClient is like [NewHTTPClient] for the platform: its calls don't reach the
// platform later even if this process is stopped.
func NewPlatformClient() *http.Client { return newHTTPClient(platformAckTimeout) }

func newHTTPClient(ackTimeout mn.Millis) *http.Client {
	t := &http.Transport{
		DialContext:            NewDialer(dialTimeout, ackTimeout, "").DialContext,
		MaxIdleConnsPerHost:    maxIdlePerHost,
		MaxResponseHeaderBytes: maxHeadBytes,
		IdleConnTimeout:        90 * time.Second,
	}
	return &http.Client{
		Transport: t,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// DoJSON sends in as JSON, or no body if in is nil, and decodes the answer into out
// unless out is nil. A status other than 200 is a [StatusError].
func DoJSON(ctx context.Context, c *http.Client, method, url string, in, out any) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return err
	}
	if in != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if err := CheckStatus(resp); err != nil {
		return err
	}
	if out == nil {
		_, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxResponseBytes))
		return err
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(out)
}

// Fetch sends req and returns up to limit bytes of the body of an answer with
// status 200. Any other status is a [StatusError].
func Fetch(c *http.Client, req *http.Request, limit int64) ([]byte, error) {
	resp, err := c.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if err := CheckStatus(resp); err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(resp.Body, limit))
}

// StatusError is an HTTP answer with a status other than 200.
type StatusError struct {
	Status int
	Body   string
}

// Error implements the error interface.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Status, e.Body)
}

// CheckStatus returns a [StatusError] unless the answer's status is 200.
func CheckStatus(resp *http.Response) error {
	if resp.StatusCode == http.StatusOK {
		return nil
	}
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
	return &StatusError{Status: resp.StatusCode, Body: string(bytes.TrimSpace(body))}
}

// NeverSent reports whether err shows that no byte of a request was sent, because
// no connection was made.
func NeverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// WrapPlatformError wraps the error of a call to the platform, nil for nil. The call
// may or may not have taken effect.
func WrapPlatformError(err error) error {
	if err == nil {
		return nil
	}
	return mn.Errorf(mn.PlatformUnavailable, "%w", err)
}
