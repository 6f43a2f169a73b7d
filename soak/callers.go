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

// requestKind describes the requests to one route.
type requestKind struct {
	path         string
	method       string
	repeatable   bool
	stream       bool
	promptTokens int64
}

// requestTimeout is how long a caller waits for an answer. It exceeds the timeouts
// of all routes.
const requestTimeout = 3500 * mn.Millisecond

var requestKinds = []requestKind{
	{"/look/x?y=1", http.MethodGet, true, false, 0},
	{"/book/a%2Fb", http.MethodPost, false, false, 0},
	{"/say/it", http.MethodPost, true, true, 200},
	{"/tell/all", http.MethodPost, false, true, 3000},
}

// runCallers runs the callers until ctx is done. Callers send requests one after
// the other with random pauses, those of the hot customer far beyond its rate. A
// caller stays with its front until a request gets no complete answer.
func (c *cluster) runCallers(ctx context.Context) error {
	var wg sync.WaitGroup
	for n := range c.options.Callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.runCaller(ctx, n)
		}()
	}
	wg.Wait()
	return nil
}

func (c *cluster) runCaller(ctx context.Context, n int) {
	r := rand.New(rand.NewPCG(uint64(c.options.Seed), uint64(n+100)))
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	customer := []mn.CustomerID{"a", "b", hotCustomer}[n%3]
	f := c.fronts[r.IntN(len(c.fronts))]
	for i := 0; ctx.Err() == nil; i++ {
		k := requestKinds[r.IntN(len(requestKinds))]
		c.mu.Lock()
		keys := c.keys[customer]
		key := fmt.Sprintf("key-%s-%d", customer, r.IntN(6))
		_, revoked := c.history.RevokedAt[key]
		c.mu.Unlock()
		if len(keys) == 0 || revoked && r.IntN(4) > 0 {
			continue
		}
		req := Request{
			ID: mn.RequestID(fmt.Sprintf("%d-%d-%d", c.options.Seed, n, i)), Customer: customer, Key: key, Method: k.method,
			Target: k.path, Repeatable: k.repeatable, Stream: k.stream, Sent: c.clock.Now(), Front: f.name,
		}
		if k.method == http.MethodPost {
			req.Body = fmt.Sprintf("body %d-%d", n, i)
		}
		for more := 0; !c.sendRequest(ctx, transport, f, k, &req); more++ {
			if r.IntN(2) == 0 {
				f = c.fronts[r.IntN(len(c.fronts))]
			}
			next, ok := req.resumption(more + 1)
			if !ok || more >= maxResumptions {
				break
			}
			c.record(req)
			req = next
			req.Sent, req.Front = c.clock.Now(), f.name
		}
		c.record(req)
		_ = c.clock.Sleep(ctx, mn.Millis(r.IntN(60))) // The loop condition checks ctx.
	}
}

// maxResumptions is how often a caller goes on with a stream that broke off.
const maxResumptions = 2

// resumption returns the request with which a caller goes on with a stream that broke off. It
// reports false if there is nothing to go on with.
func (r *Request) resumption(n int) (Request, bool) {
	events := strings.Count(r.Answer, "\n\n")
	if !r.Stream || !r.Repeatable || r.Status != http.StatusOK || r.Complete {
		return Request{}, false
	}
	id, _, _ := strings.Cut(string(r.ID), "+")
	return Request{
		ID: mn.RequestID(fmt.Sprintf("%s+%d", id, n)), Customer: r.Customer, Key: r.Key, Method: r.Method, Target: r.Target,
		Body: r.Body, Repeatable: true, Stream: true, After: r.After + events,
	}, true
}

// record adds a request that has ended to the history.
func (c *cluster) record(r Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.history.Requests = append(c.history.Requests, r)
}

// sendRequest sends one request and records the answer in out. It reports whether
// a complete answer arrived.
func (c *cluster) sendRequest(ctx context.Context, transport *http.Transport, f *front, k requestKind, out *Request) bool {
	requestCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestTimeout.Duration())
	defer cancel()
	var body io.Reader
	if out.Body != "" {
		body = io.NopCloser(strings.NewReader(out.Body)) // Without GetBody, the transport can't retry.
	}
	req, err := http.NewRequestWithContext(requestCtx, out.Method, fmt.Sprintf("http://%s:%d%s", f.ip, callerPort, out.Target), body)
	if err != nil {
		return false
	}
	req.Host = host
	var prompt *mn.PromptInfo
	if k.promptTokens > 0 {
		prompt = &mn.PromptInfo{Tokens: k.promptTokens, MaxOutput: 10, Segments: []mn.PromptSegment{
			{ID: "ab", Tokens: k.promptTokens / 2}, {ID: string(out.ID), Tokens: k.promptTokens - k.promptTokens/2}}}
	}
	stand.SetCaller(req.Header, out.ID, out.Key, requestTimeout-100, prompt)
	if out.After > 0 {
		stand.SetLastEvent(req.Header, out.After)
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	out.Status, out.Answered = resp.StatusCode, c.clock.Now()
	out.SignedBy, out.Announced = stand.SignedBy(resp.Header), stand.Announced(resp.Header)
	answer, err := io.ReadAll(resp.Body)
	out.Answer, out.Complete = string(answer), err == nil
	return err == nil
}
