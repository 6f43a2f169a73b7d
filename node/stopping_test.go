package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	mn "mustardnotch"
)

// Guards against requests that a stopping front takes late and whose connections end without
// an answer with its process, among them requests that may run once. Forms differ in when the
// connection, the head and the body come. The front is asked to stop at 0; it takes new
// connections for 1.5 s, and has to end within 3 s.
func TestLateRequestsOfStoppingFrontAreAnswered(t *testing.T) {
	type step struct {
		// at is when the text is sent, relative to the stop.
		at   mn.Millis
		text string
	}
	request := func(path, header string) string {
		return "POST " + path + " HTTP/1.1\r\nHost: h\r\nId: ID\r\nKey: k\r\n" + header + "\r\n"
	}
	const length = "Content-Length: 4\r\n"
	cases := map[string]struct {
		connect mn.Millis
		steps   []step
		status  int
	}{
		"whole request on an old connection":      {-100, []step{{1900, request("/slow/", length) + "body"}}, 503},
		"body long after the head":                {-100, []step{{-50, request("/slow/", length)}, {1900, "body"}}, 503},
		"body in pieces":                          {500, []step{{600, request("/slow/", length) + "b"}, {1200, "o"}, {1800, "d"}, {2100, "y"}}, 503},
		"connection just before the listener":     {1400, []step{{2000, request("/slow/", length) + "body"}}, 503},
		"head in pieces":                          {1000, []step{{1100, "POST /slow/ HTTP/1.1\r\nHost: h\r\nId: "}, {2000, "ID\r\nKey: k\r\n" + length + "\r\nbody"}}, 503},
		"booking late":                            {-100, []step{{1900, request("/book/", length) + "body"}}, 503},
		"body that never ends":                    {-100, []step{{600, request("/slow/", length) + "b"}}, 503},
		"request that runs longer than the grace": {-100, []step{{1300, request("/slow/", length) + "body"}}, 502},
		"booking that runs longer than the grace": {-100, []step{{-50, request("/book/", length) + "body"}}, 502},
		"short request in the time left":          {-100, []step{{1550, request("/quick/", length) + "body"}}, 200},
		"request before the listener closes":      {1200, []step{{1250, request("/a/", length) + "body"}}, 200},
	}
	c := newTestCluster(t)
	c.catalog.Routes = append(c.catalog.Routes,
		mn.Route{Name: "quick", Host: "h", Prefix: "/quick/", Kind: mn.RouteIdempotent, Shares: []mn.PoolShare{{Pool: "p"}}, Timeout: 200, Attempts: 1},
		mn.Route{Name: "slow", Host: "h", Prefix: "/slow/", Kind: mn.RouteIdempotent, Shares: []mn.PoolShare{{Pool: "p"}}, Timeout: 5000, Attempts: 1},
		mn.Route{Name: "book", Host: "h", Prefix: "/book/", Kind: mn.RouteAtMostOnce, Shares: []mn.PoolShare{{Pool: "p"}}, Timeout: 5000, Attempts: 1})
	c.write()
	c.start("a")
	f := c.fronts["a"]
	time.Sleep(100 * time.Millisecond)
	stopAt := time.Now().Add(500 * time.Millisecond)
	at := func(ms mn.Millis) { time.Sleep(time.Until(stopAt.Add(ms.Duration()))) }
	results := map[string]*result{}
	var wait sync.WaitGroup
	for name, tc := range cases {
		id := strings.ReplaceAll(name, " ", "-")
		r := &result{}
		results[name] = r
		wait.Go(func() {
			at(tc.connect)
			conn, err := net.Dial("tcp", f.conf().CallerAddr)
			if err != nil {
				r.err = err
				return
			}
			defer conn.Close()
			_ = conn.SetDeadline(stopAt.Add(f.conf().GracePeriod.Duration())) // A failure shows in the answer.
			for _, s := range tc.steps {
				at(s.at)
				_, _ = io.WriteString(conn, strings.ReplaceAll(s.text, "ID", id)) // likewise
			}
			r.read(conn)
			_, r.ran = c.arrived.Load(id)
		})
	}
	at(0)
	f.stop()
	select {
	case err := <-f.done:
		require.NoError(t, err)
		require.Less(t, time.Since(stopAt), f.conf().GracePeriod.Duration())
	case <-time.After(5 * time.Second):
		t.Fatal("the front did not exit within its grace period")
	}
	wait.Wait()
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := results[name]
			require.NoError(t, r.err, "the connection ended without a whole answer")
			t.Logf("status %d, ran %t", r.status, r.ran)
			if r.status == http.StatusServiceUnavailable {
				require.False(t, r.ran, "a refusal says that the request has not run")
				require.NotEmpty(t, r.retryAfter)
			}
			if r.status == http.StatusGatewayTimeout {
				r.status = http.StatusBadGateway // The deadline is the end of the front; both say that the outcome is unknown.
			}
			require.Equal(t, tc.status, r.status)
		})
	}
}

func TestLeaveTimes(t *testing.T) {
	for grace, want := range map[mn.Millis][2]mn.Millis{
		30_000: {29_000, 29_300},
		8000:   {7000, 7300},
		3600:   {3000, 3200},
		900:    {750, 800},
	} {
		endAt, exitAt := leaveTimes(100, grace)
		require.Equal(t, want, [2]mn.Millis{endAt - 100, exitAt - 100}, "grace period of %d ms", grace)
		require.GreaterOrEqual(t, endAt-100, grace*5/6)
	}
}

// result is what a caller got.
type result struct {
	status     int
	retryAfter string
	ran        bool
	err        error
}

func (r *result) read(conn net.Conn) {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		r.err = err
		return
	}
	r.status, r.retryAfter = resp.StatusCode, resp.Header.Get("Retry-After")
	_, r.err = io.ReadAll(resp.Body)
}
