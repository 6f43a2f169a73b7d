package front

import (
	"fmt"
	"net"
	"net/http"
	"strings"
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

// Guards against a caller that waits until its deadline for the end of a body that nobody needs:
// that of a refusal, or of an answer that is withheld.
func TestEndOfUnusedBodyIsNotWaitedFor(t *testing.T) {
	const atOnce = 400 * time.Millisecond // Half of the shortest timeout of the routes.
	const refusal = "HTTP/1.1 503 X\r\nId: ID\r\nNot-Run: 1\r\n"
	const promise = "HTTP/1.1 429 X\r\nId: ID\r\nSeal: s\r\n"
	cases := map[string]struct {
		path, head string
		next       script
		status     int
	}{
		"refusal":                              {"/book/", refusal, nil, 503},
		"refusal, another answers":             {"/book/", refusal, succeed, 200},
		"refusal of a stream, another answers": {"/stream/", refusal, stream(0), 200},
		"promise":                              {"/book/", promise, succeed, 502},
		"promise, idempotent":                  {"/get/", promise, succeed, 200},
		"promise instead of a stream":          {"/stream/", promise, stream(0), 502},
		"unsigned":                             {"/book/", "HTTP/1.1 200 OK\r\nId: ID\r\n", succeed, 502},
	}
	bodies := map[string]string{
		"length":     "Content-Length: 100\r\n\r\na part",
		"chunks":     "Transfer-Encoding: chunked\r\n\r\n6\r\na part\r\n",
		"connection": "\r\na part",
	}
	for name, tc := range cases {
		for framing, body := range bodies {
			t.Run(name+", "+framing, func(t *testing.T) {
				stalled := func(r *http.Request, _ string, c net.Conn) bool {
					fmt.Fprint(c, strings.ReplaceAll(tc.head, "ID", r.Header.Get("Id"))+body)
					return true
				}
				next := tc.next
				if next == nil {
					next = stalled
				}
				b := newSequenceFixture(t, stalled, next)
				begin := time.Now()
				resp, _, err := b.do("POST", tc.path, "p", "Tokens", "100")
				require.NoError(t, err)
				require.Equal(t, tc.status, resp.StatusCode)
				require.Less(t, time.Since(begin), atOnce)
			})
		}
	}
	for framing, body := range bodies {
		t.Run("refusal of a prefill, "+framing, func(t *testing.T) {
			b := newFixture(t, map[string]script{"d1": stream(0), "r1": func(r *http.Request, _ string, c net.Conn) bool {
				fmt.Fprint(c, strings.ReplaceAll(refusal, "ID", r.Header.Get("Id"))+body)
				return true
			}})
			begin := time.Now()
			resp, got, err := b.do("POST", "/stream/", "p", "Tokens", "9000")
			require.NoError(t, err)
			require.Equal(t, 200, resp.StatusCode)
			require.Equal(t, completeStream, got)
			require.Less(t, time.Since(begin), atOnce)
		})
	}
}
