package front

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	mn "mustardnotch"
	"mustardnotch/core/alloc"
	"mustardnotch/core/duty"
	"mustardnotch/core/leave"
	"mustardnotch/core/paths"
	"mustardnotch/core/place"
	"mustardnotch/core/poison"
	"mustardnotch/core/quota"
	"mustardnotch/core/retry"
	"mustardnotch/core/stats"
	"mustardnotch/io/back"
)

// testDialect carries the fields in plain headers.
type testDialect struct{}

func (testDialect) ParseRequest(h http.Header) (mn.RequestInfo, error) {
	e := mn.RequestInfo{ID: mn.RequestID(h.Get("Id")), Key: h.Get("Key"), LastEvent: h.Get("Last")}
	if e.ID == "" {
		return e, errors.New("header Id is missing")
	}
	if v := h.Get("Within"); v != "" {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil {
			return e, err
		}
		e.Timeout = mn.Millis(n)
	}
	if v := h.Get("Tokens"); v != "" {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil {
			return e, err
		}
		e.Prompt = &mn.PromptInfo{Tokens: n, MaxOutput: 10, Segments: []mn.PromptSegment{{ID: "a", Tokens: n / 2}, {ID: string(e.ID), Tokens: n - n/2}}}
		if v := h.Get("Segments"); v != "" {
			e.Prompt.Segments = nil
			for _, id := range strings.Split(v, ",") {
				e.Prompt.Segments = append(e.Prompt.Segments, mn.PromptSegment{ID: id, Tokens: n / int64(1+strings.Count(v, ","))})
			}
		}
	}
	return e, nil
}

func (testDialect) OutgoingHeader(h http.Header, d mn.Dispatch) http.Header {
	out := http.Header{"Segments": h["Segments"], "Id": h["Id"], "Customer": {string(d.Customer)}, "Endpoint": {string(d.Endpoint)}}
	out.Set("Within", strconv.FormatInt(int64(d.Timeout), 10))
	if d.PrefillOnly {
		out.Set("Prefill", "1")
	}
	if d.KVSource != nil {
		out.Set("From", d.KVSource.Handle)
	}
	if d.LastEvent != "" {
		out.Set("Last", d.LastEvent)
	}
	return out
}

func (testDialect) ParseReply(status int, h http.Header) mn.ReplyInfo {
	r := mn.ReplyInfo{ID: mn.RequestID(h.Get("Id")), Signed: h.Get("Seal") != "", NotRun: h.Get("Not-Run") != "" || status == 421, Leaving: h.Get("Leaving") != ""}
	if v, err := strconv.Atoi(h.Get("Pause")); err == nil {
		r.Pause = mn.Millis(v)
	}
	return r
}

func (testDialect) ParseHandle(body []byte) (string, error) {
	if len(body) == 0 {
		return "", errors.New("no handle")
	}
	return string(body), nil
}

func (testDialect) ReleasePath(handle string) string { return "/release/" + handle }

func (testDialect) CachedPath() string { return "/kept" }

func (testDialect) ParseCached([]byte) ([]mn.PromptSegment, error) { return nil, nil }

func (testDialect) EventID(event []byte) string {
	_, id, _ := strings.Cut(string(event), "id: ")
	id, _, _ = strings.Cut(id, "\n")
	return id
}

// maxKeyAge is the age of a catalog from which on a test's front rejects its keys.
const maxKeyAge = 5 * mn.Second

// view is a configuration that a test sets.
type view struct {
	table   *paths.Table
	age     mn.Millis
	listAge mn.Millis
	// unconfirmed is the result of ConfirmList.
	unconfirmed *mn.Error
}

func (v *view) Table() (*paths.Table, mn.Millis) { return v.table, v.age }
func (v *view) KeysFresh(age mn.Millis) bool     { return age < maxKeyAge }
func (v *view) ListAge() mn.Millis               { return v.listAge }

func (v *view) ConfirmList(context.Context) *mn.Error { return v.unconfirmed }

// received is a request as an endpoint received it.
type received struct {
	endpoint, method, target, body string
	header                         http.Header
}

// fixture is a front with scripted endpoints.
type fixture struct {
	t        *testing.T
	url      string
	view     *view
	server   *Server
	clock    mn.SystemClock
	memory   *alloc.Budget
	mu       sync.Mutex
	received []received
	// endpoints is the list of endpoints at the start.
	endpoints map[string]mn.Endpoint
	// listeners are those of the endpoints by name.
	listeners map[string]net.Listener
	// onConn holds what takes the connections to an endpoint instead of its script. It is
	// guarded by mu.
	onConn map[string]func(c net.Conn)
}

// observer tells a balancer what endpoints say of themselves.
type observer struct{ balancer *place.Balancer }

func (o observer) ObserveReply(e mn.Endpoint, r mn.ReplyInfo) { o.balancer.ObserveReply(e, r) }

// script answers a request at an endpoint by writing to the connection. It returns
// false to close the connection.
type script func(r *http.Request, body string, c net.Conn) bool

// newFixture returns a front with an endpoint for each script. Names that start with d
// and r are decode and prefill endpoints of pool model, other names are endpoints of
// pool plain.
func newFixture(t *testing.T, scripts map[string]script) *fixture {
	t.Helper()
	clock := mn.NewSystemClock()
	b := &fixture{t: t, clock: clock, memory: alloc.New(16<<20, 8<<20), endpoints: map[string]mn.Endpoint{}, listeners: map[string]net.Listener{}, view: &view{table: paths.New(&mn.Catalog{
		Routes: []mn.Route{
			{Name: "get", Host: "h", Prefix: "/get/", Kind: mn.RouteIdempotent, Shares: []mn.PoolShare{{Pool: "plain"}}, Timeout: 800, LatencyGoal: 150, Attempts: 2},
			{Name: "book", Host: "h", Prefix: "/book/", Kind: mn.RouteAtMostOnce, Shares: []mn.PoolShare{{Pool: "plain"}}, Timeout: 800, LatencyGoal: 150, Attempts: 2},
			{Name: "open", Host: "h", Prefix: "/open/", Kind: mn.RouteAtMostOnce, Shares: []mn.PoolShare{{Pool: "plain"}}, Timeout: 800, Attempts: 1, Open: true},
			{Name: "resumable", Host: "h", Prefix: "/resumable/", Kind: mn.RouteStream, Shares: []mn.PoolShare{{Pool: "model"}}, Timeout: 2000, LatencyGoal: 500, Attempts: 2, Resumable: true},
			{Name: "stream", Host: "h", Prefix: "/stream/", Kind: mn.RouteStream, Shares: []mn.PoolShare{{Pool: "model"}}, Timeout: 2000, LatencyGoal: 500, Attempts: 2},
		},
		Pools:     map[mn.PoolID]mn.PoolSpec{"model": {Engine: &mn.EngineSpec{Capacity: 8, KVTokens: 100_000, KVBytesPerToken: 1000, LinkMbps: 1000}}},
		Customers: []mn.CustomerSpec{{Customer: mn.Customer{ID: "cust", Rate: 1000, Burst: 1000}, Keys: []mn.KeyHash{mn.HashKey("k")}}},
		Limits:    mn.CallerLimits{MaxBodyBytes: 1000},
	})}}
	balancer := place.New(place.Config{}, clock)
	balancer.SetPools(b.view.table.Catalog.Pools)
	var endpoints []mn.Endpoint
	for name, s := range scripts {
		e := mn.Endpoint{ID: mn.EndpointID(name), Pool: "plain", Addr: b.listen(name, s), Capacity: 6, State: mn.EndpointReady}
		switch name[0] {
		case 'd':
			e.Pool, e.Role = "model", mn.EngineDecode
		case 'r':
			e.Pool, e.Role = "model", mn.EnginePrefill
		}
		endpoints = append(endpoints, e)
		b.endpoints[name] = e
	}
	balancer.SetEndpoints(endpoints)
	limiter := quota.New(quota.Tolerance{}, clock)
	limiter.SetRates(b.view.table.Catalog.Customers)
	log := logrus.New()
	log.SetOutput(io.Discard)
	b.server = New(Config{
		Clock: clock, Dialect: testDialect{}, View: b.view, Queues: place.NewQueues(balancer, clock), Balancer: balancer, Limiter: limiter,
		RetryBudgets: retry.NewPoolBudgets(retry.PoolBudgetsConfig{Ratio: 0.1, Slack: 10, Window: 10 * mn.Second, Fronts: func() int { return 1 }}, clock),
		CrashTracker: poison.New(poison.Config{CrashThreshold: 3, TTL: mn.Minute, MaxSuspects: 100}, clock), Runs: duty.NewRunCounter(5*mn.Second, 10*mn.Second, clock), Back: back.New(clock, "", b.memory, observer{balancer}),
		Stats: stats.New(), Log: logrus.NewEntry(log), ApplyWithin: 2 * mn.Second, Departure: leave.New(), RequestMemory: alloc.New(16<<20, 8<<20),
		Segments: poison.NewSegmentTracker(clock), SegmentRank: func(string) int { return 0 },
		OnCrash: func(mn.CrashRecord) {}, MaxIdleConns: func(mn.PoolID) int { return 4 },
	})
	s := httptest.NewUnstartedServer(b.server)
	s.Config.ConnContext = ConnContext
	s.Start()
	t.Cleanup(s.Close)
	b.url = s.URL
	return b
}

func (b *fixture) listen(name string, s script) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b.t, err)
	b.t.Cleanup(func() { l.Close() })
	b.listeners[name] = l
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go b.serve(name, s, c)
		}
	}()
	return l.Addr().String()
}

func (b *fixture) serve(name string, s script, c net.Conn) {
	defer c.Close()
	b.mu.Lock()
	take := b.onConn[name]
	b.mu.Unlock()
	if take != nil {
		take(c)
		return
	}
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		b.mu.Lock()
		b.received = append(b.received, received{name, r.Method, r.RequestURI, string(body), r.Header})
		b.mu.Unlock()
		if !s(r, string(body), c) {
			return
		}
	}
}

// requests returns the requests that the endpoints received.
func (b *fixture) requests() []received {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]received(nil), b.received...)
}

func (b *fixture) do(method, path, body string, header ...string) (*http.Response, string, error) {
	b.t.Helper()
	ctx, cancel := context.WithTimeout(b.t.Context(), 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, b.url+path, strings.NewReader(body))
	require.NoError(b.t, err)
	req.Host = "h"
	req.Header.Set("Id", "id-1")
	req.Header.Set("Key", "k")
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	all, err := io.ReadAll(resp.Body)
	return resp, string(all), err
}

func answer(c net.Conn, r *http.Request, status int, body string, header ...string) bool {
	fmt.Fprintf(c, "HTTP/1.1 %d X\r\nId: %s\r\n", status, r.Header.Get("Id"))
	for i := 0; i < len(header); i += 2 {
		fmt.Fprintf(c, "%s: %s\r\n", header[i], header[i+1])
	}
	fmt.Fprintf(c, "Content-Length: %d\r\n\r\n%s", len(body), body)
	return true
}

func succeed(r *http.Request, body string, c net.Conn) bool {
	return answer(c, r, 200, "done "+body, "Seal", "s", "X-Own", "1")
}

func refuse(r *http.Request, _ string, c net.Conn) bool {
	return answer(c, r, 503, "", "Not-Run", "1")
}

func closeConn(*http.Request, string, net.Conn) bool { return false }

func TestPlainRequestPassesThroughUnchanged(t *testing.T) {
	b := newFixture(t, map[string]script{"p1": succeed})
	resp, body, err := b.do("POST", "/book/a%2Fb?x=%20&y", "payload", "Within", "700")
	require.NoError(t, err)
	require.Equal(t, 200, resp.StatusCode)
	require.Equal(t, "done payload", body)
	require.Equal(t, "1", resp.Header.Get("X-Own"))
	got := b.requests()
	require.Len(t, got, 1)
	require.Equal(t, "/book/a%2Fb?x=%20&y", got[0].target)
	require.Equal(t, "payload", got[0].body)
	require.Equal(t, "cust", got[0].header.Get("Customer"))
	require.Empty(t, got[0].header.Get("Key"))
	within, err := strconv.Atoi(got[0].header.Get("Within"))
	require.NoError(t, err)
	require.LessOrEqual(t, within, 700)
	require.Greater(t, within, 500)
}

func TestFrontErrors(t *testing.T) {
	cases := map[string]struct {
		path   string
		body   string
		header []string
		change func(v *view)
		status int
	}{
		"no route":                            {"/none/", "", nil, nil, 404},
		"no route in an old configuration":    {"/none/", "", nil, func(v *view) { v.age = 2500 }, 503},
		"no such key":                         {"/book/", "", []string{"Key", "x"}, nil, 401},
		"no such key in an old configuration": {"/book/", "", []string{"Key", "x"}, func(v *view) { v.age = 2500 }, 503},
		"keys may have been withdrawn":        {"/book/", "", nil, func(v *view) { v.age = maxKeyAge }, 503},
		"open route needs no key":             {"/open/", "", []string{"Key", ""}, func(v *view) { v.age = maxKeyAge }, 200},
		"no id":                               {"/book/", "", []string{"Id", ""}, nil, 400},
		"body over the limit":                 {"/book/", strings.Repeat("x", 1001), nil, nil, 413},
		"no configuration":                    {"/book/", "", nil, func(v *view) { v.table = nil }, 503},
		"no time left":                        {"/book/", "", []string{"Within", "20"}, nil, 503},
		"list of endpoints too old": {"/book/", "", nil, func(v *view) {
			v.unconfirmed = mn.Errorf(mn.NotCurrent, "list is old").WithRetryAfter(100)
		}, 503},
		"no endpoint in the pool": {"/resumable/", "", []string{"Tokens", "10"}, nil, 503},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b := newFixture(t, map[string]script{"p1": succeed})
			if tc.change != nil {
				tc.change(b.view)
			}
			resp, _, err := b.do("POST", tc.path, tc.body, tc.header...)
			require.NoError(t, err)
			require.Equal(t, tc.status, resp.StatusCode)
			if tc.status != 200 {
				require.Empty(t, b.requests(), "nothing reached an endpoint")
			}
		})
	}
}

func TestRateLimitAndRefund(t *testing.T) {
	b := newFixture(t, map[string]script{"p1": refuse})
	_, _, err := b.do("POST", "/book/", "")
	require.NoError(t, err)
	require.Zero(t, b.server.Limiter.Spent()["cust"], "a request that did not run is refunded")
	b.server.Limiter.SetRates([]mn.CustomerSpec{{Customer: mn.Customer{ID: "cust", Rate: 0.001, Burst: 1}}})
	_, ok := b.server.Limiter.Take("cust", 1)
	require.True(t, ok)
	resp, _, err := b.do("POST", "/book/", "")
	require.NoError(t, err)
	require.Equal(t, 429, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
}

// A request is sent again only if its route and the kind of failure allow it, and
// the caller gets the status that matches the outcome.
func TestRetries(t *testing.T) {
	fails := func(r *http.Request, _ string, c net.Conn) bool { return answer(c, r, 500, "own failure", "Seal", "s") }
	unsigned := func(r *http.Request, _ string, c net.Conn) bool { return answer(c, r, 200, "unsigned") }
	truncated := func(r *http.Request, _ string, c net.Conn) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: %s\r\nSeal: s\r\nContent-Length: 50\r\n\r\nhalf", r.Header.Get("Id"))
		return false
	}
	cases := map[string]struct {
		script script
		path   string
		sent   int
		status int
	}{
		"idempotent, answer lost":           {closeConn, "/get/", 2, 502},
		"idempotent, answer truncated":      {truncated, "/get/", 2, 502},
		"idempotent, failure":               {fails, "/get/", 2, 500},
		"idempotent, unsigned":              {unsigned, "/get/", 2, 502},
		"booking, answer lost":              {closeConn, "/book/", 1, 502},
		"booking, answer truncated":         {truncated, "/book/", 1, 502},
		"booking, failure":                  {fails, "/book/", 1, 500},
		"booking, unsigned":                 {unsigned, "/book/", 1, 502},
		"booking, refuse by every endpoint": {refuse, "/book/", 2, 503},
		"booking, misdirected":              {func(r *http.Request, _ string, c net.Conn) bool { return answer(c, r, 421, "") }, "/book/", 2, 503},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b := newFixture(t, map[string]script{"p1": tc.script, "p2": tc.script})
			resp, body, err := b.do("POST", tc.path, "")
			require.NoError(t, err)
			require.Equal(t, tc.status, resp.StatusCode, body)
			require.Len(t, b.requests(), tc.sent)
		})
	}
}

func TestIdempotentRequestAvoidsSilentEndpoint(t *testing.T) {
	silent := func(*http.Request, string, net.Conn) bool { time.Sleep(2 * time.Second); return false }
	b := newFixture(t, map[string]script{"p1": silent, "p2": succeed, "p3": succeed, "p4": succeed})
	for range 8 {
		begin := time.Now()
		resp, _, err := b.do("GET", "/get/", "")
		require.NoError(t, err)
		require.Equal(t, 200, resp.StatusCode)
		require.Less(t, time.Since(begin), 750*time.Millisecond)
	}
}

func TestRouteTimeout(t *testing.T) {
	silent := func(*http.Request, string, net.Conn) bool { time.Sleep(2 * time.Second); return false }
	b := newFixture(t, map[string]script{"p1": silent})
	begin := time.Now()
	resp, _, err := b.do("POST", "/book/", "")
	require.NoError(t, err)
	require.Equal(t, 504, resp.StatusCode, "the request may have run")
	require.InDelta(t, 800, time.Since(begin).Milliseconds(), 150)
}

func streamHead(c net.Conn, r *http.Request) {
	fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
}

func chunk(c net.Conn, s string) { fmt.Fprintf(c, "%x\r\n%s\r\n", len(s), s) }

// stream sends the events after the request's last event up to event 4. Unless
// truncateAfter is 0, it closes the connection in the middle of the event after
// truncateAfter.
func stream(truncateAfter int) script {
	return func(r *http.Request, _ string, c net.Conn) bool {
		streamHead(c, r)
		last, _ := strconv.Atoi(r.Header.Get("Last")) // Empty is 0.
		for i := last + 1; i <= 4; i++ {
			if truncateAfter > 0 && i > truncateAfter {
				chunk(c, fmt.Sprintf("id: %d\nda", i))
				return false
			}
			chunk(c, fmt.Sprintf("id: %d\ndata: x\n\n", i))
		}
		fmt.Fprint(c, "0\r\n\r\n")
		return true
	}
}

const completeStream = "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\nid: 4\ndata: x\n\n"

func TestStreams(t *testing.T) {
	t.Run("complete", func(t *testing.T) {
		b := newFixture(t, map[string]script{"d1": stream(0)})
		resp, body, err := b.do("POST", "/stream/", "p", "Tokens", "100")
		require.NoError(t, err)
		require.Equal(t, completeStream, body)
		require.Equal(t, "text/event-stream", resp.Header.Get("Content-Type"))
	})
	t.Run("resumed at another endpoint after the last complete event", func(t *testing.T) {
		b := newFixture(t, map[string]script{"d1": stream(2), "d2": stream(2)})
		_, body, err := b.do("POST", "/resumable/", "p", "Tokens", "100")
		// The second endpoint resumes after event 2 and fails in the next event.
		require.Error(t, err, "a truncated answer must not look complete")
		require.Equal(t, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n", body)
		require.Equal(t, "2", b.requests()[1].header.Get("Last"))
	})
	t.Run("not resumable", func(t *testing.T) {
		b := newFixture(t, map[string]script{"d1": stream(2), "d2": stream(0)})
		for range 4 {
			sent := len(b.requests())
			_, body, err := b.do("POST", "/stream/", "p", "Tokens", "100")
			require.Len(t, b.requests(), sent+1, "the request is sent once")
			if err == nil {
				require.Equal(t, completeStream, body)
			}
		}
	})
}

// An endpoint sends bytes that are no event until the front closes. The front must not
// collect them, and the answer must not look complete.
func TestEventWithoutEndIsCutOff(t *testing.T) {
	var taken atomic.Int64
	closed := make(chan struct{})
	b := newFixture(t, map[string]script{"d1": func(r *http.Request, _ string, c net.Conn) bool {
		defer close(closed)
		streamHead(c, r)
		chunk(c, "id: 1\ndata: x\n\n")
		for text := strings.Repeat("x", 64<<10); taken.Load() < 64<<20; taken.Add(int64(len(text))) {
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text); err != nil {
				return false
			}
		}
		return false
	}})
	begin := time.Now()
	_, body, err := b.do("POST", "/stream/", "p", "Tokens", "100")
	require.Error(t, err, "a truncated answer must not look complete")
	require.Equal(t, "id: 1\ndata: x\n\n", body)
	require.Less(t, time.Since(begin), 1500*time.Millisecond, "it ends before the route's timeout")
	<-closed
	require.Less(t, taken.Load(), int64(maxEvent+8<<20), "bytes taken, with the buffers of both sockets")
}

// A slow but sound stream is complete; a stalled one that sends a byte now and then ends
// with the route's time, and does not look complete.
func TestSlowStreamIsCompleteAndStalledStreamEnds(t *testing.T) {
	b := newFixture(t, map[string]script{"d1": func(r *http.Request, _ string, c net.Conn) bool {
		streamHead(c, r)
		for i := range 4 {
			time.Sleep(400 * time.Millisecond)
			chunk(c, fmt.Sprintf("id: %d\ndata: x\n\n", i+1))
		}
		fmt.Fprint(c, "0\r\n\r\n")
		return true
	}})
	_, body, err := b.do("POST", "/stream/", "p", "Tokens", "100")
	require.NoError(t, err)
	require.Equal(t, completeStream, body)

	b = newFixture(t, map[string]script{"d1": func(r *http.Request, _ string, c net.Conn) bool {
		streamHead(c, r)
		chunk(c, "id: 1\ndata: x\n\n")
		for range 200 {
			time.Sleep(50 * time.Millisecond)
			if _, err := io.WriteString(c, "1\r\nx\r\n"); err != nil {
				return false
			}
		}
		return false
	}})
	begin := time.Now()
	_, body, err = b.do("POST", "/stream/", "p", "Tokens", "100")
	require.Error(t, err, "a truncated answer must not look complete")
	require.Equal(t, "id: 1\ndata: x\n\n", body)
	require.Less(t, time.Since(begin), 2500*time.Millisecond, "the route allows 2 s")
}

func TestEventsAreForwardedImmediately(t *testing.T) {
	b := newFixture(t, map[string]script{"d1": func(r *http.Request, _ string, c net.Conn) bool {
		streamHead(c, r)
		chunk(c, "id: 1\ndata: x\n\n")
		time.Sleep(300 * time.Millisecond)
		chunk(c, "id: 2\ndata: x\n\n")
		fmt.Fprint(c, "0\r\n\r\n")
		return true
	}})
	req, err := http.NewRequestWithContext(t.Context(), "POST", b.url+"/resumable/", strings.NewReader("p"))
	require.NoError(t, err)
	req.Host, req.Header = "h", http.Header{"Id": {"1"}, "Key": {"k"}, "Tokens": {"50"}}
	begin := time.Now()
	resp, err := http.DefaultTransport.RoundTrip(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	buf := make([]byte, 100)
	n, err := resp.Body.Read(buf)
	require.NoError(t, err)
	require.Equal(t, "id: 1\ndata: x\n\n", string(buf[:n]))
	require.Less(t, time.Since(begin), 200*time.Millisecond)
}

func TestLongPromptIsPrefilledSeparately(t *testing.T) {
	b := newFixture(t, map[string]script{
		"r1": func(r *http.Request, _ string, c net.Conn) bool { return answer(c, r, 200, "handle-7") },
		"d1": stream(0),
	})
	_, body, err := b.do("POST", "/stream/", "p", "Tokens", "9000")
	require.NoError(t, err)
	require.Equal(t, completeStream, body)
	got := b.requests()
	require.Len(t, got, 2)
	require.Equal(t, "r1", got[0].endpoint)
	require.Equal(t, "1", got[0].header.Get("Prefill"))
	require.Equal(t, "d1", got[1].endpoint)
	require.Equal(t, "handle-7", got[1].header.Get("From"))
	require.Empty(t, got[1].header.Get("Prefill"))
}

func TestUnfetchedHandleIsReleased(t *testing.T) {
	b := newFixture(t, map[string]script{
		"r1": func(r *http.Request, _ string, c net.Conn) bool { return answer(c, r, 200, "handle-7") },
		"d1": refuse,
	})
	resp, _, err := b.do("POST", "/stream/", "p", "Tokens", "9000")
	require.NoError(t, err)
	require.Equal(t, 503, resp.StatusCode)
	require.Eventually(t, func() bool {
		for _, s := range b.requests() {
			if s.method == http.MethodDelete && s.target == "/release/handle-7" {
				return true
			}
		}
		return false
	}, time.Second, 5*time.Millisecond)
}

func TestCallerDisconnectEndsRun(t *testing.T) {
	ended := make(chan struct{})
	b := newFixture(t, map[string]script{"d1": func(r *http.Request, _ string, c net.Conn) bool {
		streamHead(c, r)
		chunk(c, "id: 1\ndata: x\n\n")
		var one [1]byte
		_, _ = c.Read(one[:]) // Returns when the front closes the connection.
		close(ended)
		return false
	}})
	ctx, cancel := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, "POST", b.url+"/resumable/", strings.NewReader("p"))
	require.NoError(t, err)
	req.Host, req.Header = "h", http.Header{"Id": {"1"}, "Key": {"k"}, "Tokens": {"50"}}
	resp, err := http.DefaultTransport.RoundTrip(req)
	require.NoError(t, err)
	cancel()
	resp.Body.Close()
	select {
	case <-ended:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the endpoint's connection is still open half a second after the caller left")
	}
}

// Usage includes every request that started to run, also if the caller left or the
// answer was lost before the front saw the start.
func TestRunsWithoutAnswerAreCounted(t *testing.T) {
	slow := func(*http.Request, string, net.Conn) bool { time.Sleep(2 * time.Second); return false }
	cases := map[string]struct {
		script      script
		path        string
		header      []string
		leavesAfter time.Duration
		want        int64
	}{
		"answer lost":                    {closeConn, "/book/", nil, 0, 1},
		"shed":                           {refuse, "/book/", nil, 0, 0},
		"caller leaves before the start": {slow, "/stream/", []string{"Tokens", "300"}, 15 * time.Millisecond, 0},
		"caller leaves after the start":  {slow, "/stream/", []string{"Tokens", "300"}, 400 * time.Millisecond, 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b := newFixture(t, map[string]script{"p1": tc.script, "d1": tc.script})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if tc.leavesAfter > 0 {
				time.AfterFunc(tc.leavesAfter, cancel)
			}
			req, err := http.NewRequestWithContext(ctx, "POST", b.url+tc.path, strings.NewReader("p"))
			require.NoError(t, err)
			req.Host, req.Header = "h", http.Header{"Id": {"1"}, "Key": {"k"}}
			for i := 0; i < len(tc.header); i += 2 {
				req.Header.Set(tc.header[i], tc.header[i+1])
			}
			if resp, err := http.DefaultTransport.RoundTrip(req); err == nil {
				resp.Body.Close()
			}
			var got int64
			for range 20 {
				got = 0
				for _, n := range b.server.Runs.Own() {
					got += n.Count
				}
				time.Sleep(10 * time.Millisecond)
			}
			require.Equal(t, tc.want, got)
		})
	}
}
