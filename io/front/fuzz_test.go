package front

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// FuzzAnswers has an endpoint answer with arbitrary bytes. A caller may get a
// success only with the complete body of a signed, successful answer to its own
// request.
func FuzzAnswers(f *testing.F) {
	for _, raw := range []string{
		"HTTP/1.1 200 OK\r\nId: id-1\r\nSeal: s\r\nContent-Length: 2\r\n\r\nhi",
		"HTTP/1.1 200 OK\r\nId: id-1\r\nContent-Length: 2\r\n\r\nhi",
		"HTTP/1.1 200 OK\r\nId: other\r\nSeal: s\r\nContent-Length: 2\r\n\r\nhiHTTP/1.1 200 OK\r\nId: id-1\r\nSeal: s\r\nContent-Length: 2\r\n\r\nho",
		"HTTP/1.1 200 OK\r\nId: id-1\r\nSeal: s\r\nContent-Length: 5\r\n\r\nhi",
		"HTTP/1.1 200 OK\r\nId: id-1\r\nSeal: s\r\n\r\nto the end",
		"HTTP/1.1 200 OK\r\nId: id-1\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: id-1\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 X\r\nId: id-1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: id-1\r\nSeal: s\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nhi!",
		"HTTP/1.0 200 OK\r\nId: id-1\r\nSeal: s\r\nContent-Encoding: gzip\r\n\r\nhi",
		"HTTP/0.0 200 \nSeAl:00\n\n", "HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 2\r\n\r\nhi",
		"HTTP/1.1 204 No\r\nId: id-1\r\nSeal: s\r\n\r\n", "\x00\x01", "",
	} {
		f.Add([]byte(raw))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		b := newFixture(t, map[string]script{"p1": func(_ *http.Request, _ string, c net.Conn) bool {
			_, _ = c.Write(raw) // The front may have closed the connection.
			return false
		}})
		resp, body, err := b.do("GET", "/get/x", "")
		if err != nil || resp.StatusCode >= 300 {
			return
		}
		own := ownAnswers(raw)
		require.True(t, slices.Contains(own, body), "a caller got %d %q, the complete answers to its request are %q", resp.StatusCode, body, own)
	})
}

// ownAnswers returns the bodies of the complete, signed and successful answers to
// id-1 in raw, as net/http parses them.
func ownAnswers(raw []byte) (own []string) {
	r := bufio.NewReader(bytes.NewReader(raw))
	for {
		a, err := http.ReadResponse(r, &http.Request{Method: "GET"})
		if err != nil {
			return own
		}
		body, err := io.ReadAll(a.Body)
		if err != nil {
			return own
		}
		if a.StatusCode >= 200 && a.StatusCode < 300 && a.Header.Get("Id") == "id-1" && a.Header.Get("Seal") != "" {
			own = append(own, string(body))
		}
	}
}

// FuzzCallers sends arbitrary bytes to a front. Endpoints may get only requests that
// the caller sent, each unchanged and no more often than it was sent, and never the
// caller's key.
func FuzzCallers(f *testing.F) {
	for _, raw := range []string{
		"GET /get/x HTTP/1.1\r\nHost: h\r\nId: id-1\r\nKey: k\r\n\r\n",
		"POST /book/x HTTP/1.1\r\nHost: h\r\nId: id-1\r\nKey: k\r\nContent-Length: 2\r\n\r\nhiGET /get/y HTTP/1.1\r\nHost: h\r\nId: id-2\r\nKey: k\r\n\r\n",
		"POST /book/x HTTP/1.1\r\nHost: h\r\nId: id-1\r\nKey: k\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
		"POST /book/x HTTP/1.1\r\nHost: h\r\nId: id-1\r\nKey: k\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /get/z HTTP/1.1\r\n\r\n",
		"POST /book/x HTTP/1.1\r\nHost: h\r\nId: id-1\r\nKey: k\r\nContent-Length: 9\r\n\r\nhi",
		"GET /get/../book/x HTTP/1.1\r\nHost: h\r\nId: id-1\r\nKey: k\r\nExpect: 100-continue\r\n\r\n",
		"GET http://h/get/%2e%2e?a=b&c HTTP/1.1\r\nHost: other\r\nId: id-1\r\nKey: k\r\nConnection: Key\r\n\r\n",
		"GET /get/x HTTP/1.1\r\nHost: h\r\nId: id-1\r\n id-2\r\nKey: k\r\nUpgrade: h2c\r\n\r\n", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "",
	} {
		f.Add([]byte(raw))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		b := newFixture(t, map[string]script{"p1": func(r *http.Request, _ string, c net.Conn) bool {
			return answer(c, r, 200, "ok", "Seal", "s")
		}})
		c, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
		require.NoError(t, err)
		defer c.Close()
		require.NoError(t, c.SetDeadline(time.Now().Add(250*time.Millisecond)))
		// The front closes the connection after this last request, unless it parses
		// the request as part of an earlier one.
		raw = append(slices.Clone(raw), "GET /get/last HTTP/1.1\r\nHost: h\r\nId: last\r\nKey: k\r\nConnection: close\r\n\r\n"...)
		_, _ = c.Write(raw)           // The front may have closed the connection.
		_, _ = io.Copy(io.Discard, c) // The answers are not checked here.
		sent := sentRequests(raw)
		for _, s := range b.requests() {
			at := slices.IndexFunc(sent, func(q received) bool {
				return q.method == s.method && q.target == s.target && q.body == s.body && q.header.Get("Id") == s.header.Get("Id")
			})
			require.GreaterOrEqual(t, at, 0, "an endpoint got %s %q %q, the caller sent %v", s.method, s.target, s.body, sent)
			sent = slices.Delete(sent, at, at+1)
			require.Empty(t, s.header.Values("Key"))
		}
	})
}

// sentRequests returns the complete requests in raw, as net/http parses them.
func sentRequests(raw []byte) (sent []received) {
	r := bufio.NewReader(bytes.NewReader(raw))
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return sent
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return sent
		}
		sent = append(sent, received{method: q.Method, target: q.URL.RequestURI(), body: string(body), header: q.Header})
	}
}
