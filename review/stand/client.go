//go:build review

package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// request is a client's request and its answer.
type request struct {
	sent   time.Time
	id     string
	key    string
	path   string
	front  string
	status int
	answer string
	sealed bool
	// retryAfter is when the client may come back.
	retryAfter time.Duration
}

// client sends requests on connections that it keeps, and repeats none.
type client struct {
	http *http.Client

	mu   sync.Mutex
	sent []request
}

func newClient() *client {
	return &client{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200, DisableCompression: true}, Timeout: 2 * time.Second}}
}

// get sends an idempotent request and records it.
func (c *client) get(f *front, path, key string) request {
	return c.send(f, http.MethodGet, path, key, "")
}

// send sends one request and records it.
func (c *client) send(f *front, method, path, key, body string) request {
	q := request{id: fmt.Sprintf("%016x", rand.Uint64()), key: key, path: path, front: f.name}
	r, err := http.NewRequest(method, "http://"+f.addr+path, strings.NewReader(body))
	if err != nil {
		panic(err) // The path is constant.
	}
	r.Host = host
	r.Header.Set("X-Request-Id", q.id)
	r.Header.Set("X-Deadline-Ms", "1000")
	r.Header.Set("Authorization", "Bearer "+key)
	q.sent = time.Now()
	if resp, err := c.http.Do(r); err == nil {
		b, readErr := io.ReadAll(resp.Body)
		resp.Body.Close()
		if readErr == nil {
			q.status, q.answer, q.sealed = resp.StatusCode, string(b), resp.Header.Get("X-Server-Seal") != ""
		}
		if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
			q.retryAfter = time.Duration(s * float64(time.Second))
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent = append(c.sent, q)
	return q
}

// all returns the requests sent so far.
func (c *client) all() []request {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]request(nil), c.sent...)
}

// list writes all requests to the record, with their answers and where they ran.
func (w *world) list(title string, c *client) {
	runs, _ := w.fleet.all()
	byID := map[string][]string{}
	for _, r := range runs {
		byID[r.id] = append(byID[r.id], fmt.Sprintf("%s at %.3f", r.runner, r.at.Sub(w.started).Seconds()))
	}
	fmt.Fprintf(w.record, "\n%s: sent at (s), id, front, path, key, status (0 is none), runs\n", title)
	for _, q := range c.all() {
		fmt.Fprintf(w.record, "%.3f %s %s %s %s %d %s\n", q.sent.Sub(w.started).Seconds(), q.id, q.front, q.path, q.key, q.status, strings.Join(byID[q.id], ", "))
	}
	fmt.Fprintln(w.record)
}
