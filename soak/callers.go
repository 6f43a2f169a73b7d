package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"

	mn "mustardnotch"
	"mustardnotch/platform/stand"
)

// kind is a kind of request.
type kind struct {
	path       string
	method     string
	repeatable bool
	stream     bool
	tokens     int64
}

// patience is how long a caller waits, beyond all timeouts of routes.
const patience = 3500 * mn.Millisecond

var kinds = []kind{
	{"/look/x?y=1", http.MethodGet, true, false, 0},
	{"/book/a%2Fb", http.MethodPost, false, false, 0},
	{"/say/it", http.MethodPost, true, true, 200},
	{"/tell/all", http.MethodPost, false, true, 3000},
}

// callers send requests until ctx is done: some at a pace, and one customer far
// beyond its rate. They go on using connections until the process is gone.
func (c *city) callers(ctx context.Context) error {
	var wg sync.WaitGroup
	for n := range c.o.Callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.caller(ctx, n)
		}()
	}
	wg.Wait()
	return nil
}

func (c *city) caller(ctx context.Context, n int) {
	r := rand.New(rand.NewPCG(uint64(c.o.Seed), uint64(n+100)))
	t := &http.Transport{}
	defer t.CloseIdleConnections()
	customer := []mn.CustomerID{"a", "b", hotCustomer}[n%3]
	f := c.fronts[r.IntN(len(c.fronts))]
	for i := 0; ctx.Err() == nil; i++ {
		k := kinds[r.IntN(len(kinds))]
		c.mu.Lock()
		all := c.keys[customer]
		key := fmt.Sprintf("key-%s-%d", customer, r.IntN(6))
		_, revoked := c.history.RevokedAt[key]
		c.mu.Unlock()
		if len(all) == 0 || revoked && r.IntN(4) > 0 {
			continue
		}
		a := Request{
			ID: mn.RequestID(fmt.Sprintf("%d-%d-%d", c.o.Seed, n, i)), Customer: customer, Key: key, Method: k.method,
			Target: k.path, Repeatable: k.repeatable, Stream: k.stream, Sent: c.clock.Now(),
		}
		if k.method == http.MethodPost {
			a.Body = fmt.Sprintf("body %d", i)
		}
		if !c.ask(ctx, t, f, k, &a) {
			f = c.fronts[r.IntN(len(c.fronts))]
		}
		c.mu.Lock()
		c.history.Requests = append(c.history.Requests, a)
		c.mu.Unlock()
		_ = c.clock.Sleep(ctx, mn.Millis(r.IntN(60))) // The loop looks at ctx.
	}
}

// ask sends one request and notes what came. It returns false if the front could
// not be reached.
func (c *city) ask(ctx context.Context, t *http.Transport, f *front, k kind, a *Request) bool {
	within, cancel := context.WithTimeout(context.WithoutCancel(ctx), patience.Duration())
	defer cancel()
	var body io.Reader
	if a.Body != "" {
		body = io.NopCloser(strings.NewReader(a.Body)) // The transport can't send it again.
	}
	req, err := http.NewRequestWithContext(within, a.Method, fmt.Sprintf("http://%s:%d%s", f.ip, callersPort, a.Target), body)
	if err != nil {
		return false
	}
	req.Host = host
	var prompt *mn.PromptInfo
	if k.tokens > 0 {
		prompt = &mn.PromptInfo{Tokens: k.tokens, MaxOutput: 10, Segments: []mn.PromptSegment{
			{ID: "ab", Tokens: k.tokens / 2}, {ID: string(a.ID), Tokens: k.tokens - k.tokens/2}}}
	}
	stand.SetCaller(req.Header, a.ID, a.Key, patience-100, prompt)
	resp, err := t.RoundTrip(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	a.Status = resp.StatusCode
	all, err := io.ReadAll(resp.Body)
	a.Answer, a.Complete = string(all), err == nil
	return err == nil
}
