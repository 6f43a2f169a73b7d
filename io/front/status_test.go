package front

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// withStatus sends the head of an answer with any status, and keeps the connection open.
func withStatus(status string) script {
	return func(r *http.Request, _ string, c net.Conn) bool {
		fmt.Fprintf(c, "HTTP/1.1 %s X\r\nId: %s\r\nSeal: s\r\nContent-Length: 2\r\n\r\nno", status, r.Header.Get("Id"))
		return true
	}
}

// Guards against a caller that waits until its deadline, or gets an answer without a valid status,
// because an endpoint in trouble sent a status that ends no HTTP exchange.
func TestAnswerWithoutValidStatusIsBroken(t *testing.T) {
	const atOnce = 400 * time.Millisecond // Half of the shortest timeout of the routes.
	cases := map[string]struct {
		path string
		// next answers the second request of an idempotent route.
		next   script
		status int
	}{
		"booking":                      {"/book/", succeed, 502},
		"idempotent":                   {"/get/", nil, 502},
		"idempotent, another answers":  {"/get/", succeed, 200},
		"stream":                       {"/stream/", stream(0), 502},
		"resumable stream":             {"/resumable/", nil, 502},
		"resumable, another continues": {"/resumable/", stream(0), 200},
	}
	for _, status := range []string{"000", "001", "099", "+99", "-00", "101", "600", "999"} {
		for name, tc := range cases {
			t.Run(status+" "+name, func(t *testing.T) {
				broken := withStatus(status)
				next := tc.next
				if next == nil {
					next = broken
				}
				b := newSequenceFixture(t, broken, next)
				begin := time.Now()
				resp, _, err := b.do("POST", tc.path, "p", "Tokens", "100")
				require.NoError(t, err)
				require.Equal(t, tc.status, resp.StatusCode)
				require.Less(t, time.Since(begin), atOnce)
				if tc.status != 200 {
					require.Empty(t, resp.Header.Get("Seal"))
				}
			})
		}
		t.Run(status+" prefill", func(t *testing.T) {
			b := newFixture(t, map[string]script{"r1": withStatus(status), "d1": stream(0)})
			begin := time.Now()
			resp, body, err := b.do("POST", "/stream/", "p", "Tokens", "9000")
			require.NoError(t, err)
			require.Equal(t, 200, resp.StatusCode)
			require.Equal(t, completeStream, body)
			require.Less(t, time.Since(begin), atOnce)
			require.Equal(t, "r1", b.requests()[0].endpoint)
		})
	}
}

// Interim answers are no answer, and the one that follows them is.
func TestInterimAnswersAreSkipped(t *testing.T) {
	b := newFixture(t, map[string]script{"p1": func(r *http.Request, body string, c net.Conn) bool {
		fmt.Fprint(c, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 X\r\n\r\nHTTP/1.1 103 X\r\nLink: x\r\n\r\n")
		return succeed(r, body, c)
	}})
	resp, body, err := b.do("POST", "/book/", "p")
	require.NoError(t, err)
	require.Equal(t, 200, resp.StatusCode)
	require.Equal(t, "done p", body)
}
