package front

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	mn "mustardnotch"
)

// sentTo returns how many requests an endpoint received.
func (b *fixture) sentTo(endpoint string) int {
	n := 0
	for _, r := range b.requests() {
		if r.endpoint == endpoint {
			n++
		}
	}
	return n
}

// list puts the fixture's list of endpoints in force again, as an old list of a peer would
// be.
func (b *fixture) list(change func(*mn.Endpoint)) {
	var endpoints []mn.Endpoint
	for _, e := range b.endpoints {
		change(&e)
		endpoints = append(endpoints, e)
	}
	b.server.Balancer.SetEndpoints(endpoints)
}

// An endpoint says in its answers that it leaves, while the list of endpoints, its own and
// that of peers, says that it is ready. From then on it gets no requests from this front,
// until it has started again.
func TestEndpointThatAnnouncesItsEndGetsNoRequests(t *testing.T) {
	leaving := map[string]script{
		"in a success": func(r *http.Request, _ string, c net.Conn) bool {
			return answer(c, r, 200, "own", "Seal", "s", "Leaving", "1")
		},
		"in a refusal": func(r *http.Request, _ string, c net.Conn) bool {
			return answer(c, r, 503, "", "Not-Run", "1", "Leaving", "1")
		},
		"in a failure": func(r *http.Request, _ string, c net.Conn) bool {
			return answer(c, r, 500, "", "Seal", "s", "Leaving", "1")
		},
	}
	for name, s := range leaving {
		t.Run(name, func(t *testing.T) {
			b := newFixture(t, map[string]script{"p1": s})
			_, _, err := b.do("GET", "/get/", "")
			require.NoError(t, err)
			require.Equal(t, 1, b.sentTo("p1"))
			for range 5 {
				b.list(func(*mn.Endpoint) {})
				resp, _, err := b.do("GET", "/get/", "")
				require.NoError(t, err)
				require.Equal(t, 503, resp.StatusCode)
			}
			require.Equal(t, 1, b.sentTo("p1"))

			// Its entry is lost for a while, and comes back.
			b.server.Balancer.SetEndpoints(nil)
			b.list(func(*mn.Endpoint) {})
			_, _, err = b.do("GET", "/get/", "")
			require.NoError(t, err)
			require.Equal(t, 1, b.sentTo("p1"))

			b.list(func(e *mn.Endpoint) { e.StartedAt++ })
			_, _, err = b.do("GET", "/get/", "")
			require.NoError(t, err)
			require.Equal(t, 2, b.sentTo("p1"), "it has started again")
		})
	}
}

// The address of an endpoint belongs to another one by now, which leaves.
func TestAnnouncementOfAnotherEndpointIsIgnored(t *testing.T) {
	b := newFixture(t, map[string]script{"p1": func(r *http.Request, _ string, c net.Conn) bool {
		return answer(c, r, 421, "", "Leaving", "1", "Pause", "60000")
	}})
	_, _, err := b.do("POST", "/book/", "")
	require.NoError(t, err)
	require.Nil(t, b.server.Balancer.CheckSend("p1"))
}

// A decode endpoint announces its end while a prompt for it is prefilled elsewhere.
func TestEndpointThatAnnouncesItsEndDuringPrefill(t *testing.T) {
	prefilling, announced := make(chan struct{}), make(chan struct{})
	b := newFixture(t, map[string]script{
		"r1": func(r *http.Request, _ string, c net.Conn) bool {
			if r.Method == http.MethodPost {
				close(prefilling)
				<-announced
			}
			return answer(c, r, 200, "handle-7")
		},
		"d1": stream(0),
	})
	go func() {
		<-prefilling
		b.server.Balancer.ObserveReply(b.endpoints["d1"], mn.ReplyInfo{Leaving: true})
		close(announced)
	}()
	resp, _, err := b.do("POST", "/stream/", "p", "Tokens", "9000")
	require.NoError(t, err)
	require.Equal(t, 503, resp.StatusCode)
	require.Zero(t, b.sentTo("d1"))
}

// An endpoint refuses a request and asks for a pause. It gets none for so long, however
// many callers come, and the others are told when to come back.
func TestEndpointThatAsksForPauseGetsNoRequests(t *testing.T) {
	const pause = 600 * mn.Millisecond
	busy := true
	b := newFixture(t, map[string]script{"p1": func(r *http.Request, body string, c net.Conn) bool {
		if busy {
			return answer(c, r, 503, "", "Not-Run", "1", "Pause", fmt.Sprint(int64(pause)))
		}
		return succeed(r, body, c)
	}})
	begin := time.Now()
	for time.Since(begin) < (pause - 50).Duration() {
		b.list(func(*mn.Endpoint) {})
		sent := time.Now()
		resp, _, err := b.do("POST", "/book/", "", "Within", "5000")
		require.NoError(t, err)
		require.Equal(t, 503, resp.StatusCode)
		require.Less(t, time.Since(sent), 100*time.Millisecond, "a request that can't be served is rejected at once")
		after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		require.NoError(t, err)
		left := pause.Duration().Seconds() - time.Since(begin).Seconds()
		require.Greater(t, after, min(left, 0.2)-0.02, "its caller would be refused again")
		time.Sleep(20 * time.Millisecond)
	}
	require.Equal(t, 1, b.sentTo("p1"))
	busy = false
	time.Sleep(time.Until(begin.Add((pause + 50).Duration())))
	resp, _, err := b.do("POST", "/book/", "")
	require.NoError(t, err)
	require.Equal(t, 200, resp.StatusCode)
}

// Another endpoint takes the requests of one that pauses.
func TestOtherEndpointServesDuringPause(t *testing.T) {
	b := newFixture(t, map[string]script{
		"p1": func(r *http.Request, _ string, c net.Conn) bool {
			return answer(c, r, 503, "", "Not-Run", "1", "Pause", "5000")
		},
		"p2": succeed,
	})
	for range 20 {
		resp, _, err := b.do("POST", "/book/", "")
		require.NoError(t, err)
		require.Equal(t, 200, resp.StatusCode)
	}
	require.LessOrEqual(t, b.sentTo("p1"), 1)
	require.Equal(t, 20, b.sentTo("p2"))
}
