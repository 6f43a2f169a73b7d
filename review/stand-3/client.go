package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// call is a request of a client.
type call struct {
	method, path, body string
	// prompt is the value of X-Prompt-Prefix, empty for plain requests.
	prompt   string
	deadline time.Duration
}

// outcome is how a request ended for its client.
type outcome struct {
	id     string
	status int
	body   string
	sealed bool
	err    error
}

// good reports whether the request succeeded.
func (o outcome) good() bool { return o.err == nil && o.status == http.StatusOK && o.sealed }

// denied reports whether the front ended the request with a 4xx of its own other than 408, 421 and
// 429.
func (o outcome) denied() bool {
	return o.status >= 400 && o.status < 500 && !o.sealed && o.status != http.StatusRequestTimeout &&
		o.status != http.StatusMisdirectedRequest && o.status != http.StatusTooManyRequests
}

// client sends requests to one front over kept connections.
type client struct {
	base string
	http *http.Client
}

func newClient(ip string) *client {
	return &client{base: "http://" + ip + ":8360",
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second}}}
}

func (c *client) do(k call) outcome {
	id := fmt.Sprintf("%016x", rand.Uint64())
	ctx, cancel := context.WithTimeout(context.Background(), k.deadline+500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, k.method, c.base+k.path, strings.NewReader(k.body))
	if err != nil {
		return outcome{id: id, err: err}
	}
	req.Host = host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(k.deadline.Milliseconds()))
	if k.prompt != "" {
		req.Header.Set("X-Model", "m")
		req.Header.Set("X-Token-Counts", "120,6")
		req.Header.Set("X-Prompt-Prefix", k.prompt)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return outcome{id: id, err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return outcome{id: id, status: resp.StatusCode, body: string(body), sealed: resp.Header.Get("X-Server-Seal") != "", err: err}
}
