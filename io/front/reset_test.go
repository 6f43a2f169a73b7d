package front

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardnotch/core/alloc"
)

// resetDuringUpload reads the head of a request only, sends the head of an answer without a
// length and a part of its body, and resets the connection while the request's body is still
// being written.
func resetDuringUpload(c net.Conn, head, part string) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReaderSize(c, 512))
	if err != nil {
		return
	}
	fmt.Fprint(c, strings.ReplaceAll(head, "ID", r.Header.Get("Id"))+"\r\n"+part)
	time.Sleep(time.Duration(rand.IntN(int(8 * time.Millisecond))))
	_ = c.(*net.TCPConn).SetLinger(0)
}

// newResetFixture returns a front whose endpoints answer with a head and a part of a body and then
// reset the connection during the upload, and the number of these answers.
func newResetFixture(t *testing.T, scripts map[string]script, head, part string) (*fixture, *atomic.Int64) {
	b := newFixture(t, scripts)
	resets := new(atomic.Int64)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.onConn = map[string]func(net.Conn){}
	for name, run := range scripts {
		if run == nil {
			b.onConn[name] = func(c net.Conn) {
				resets.Add(1)
				resetDuringUpload(c, head, part)
			}
		}
	}
	b.view.table.Catalog.Limits.MaxBodyBytes = upload
	b.server.RequestMemory = alloc.New(4*upload, 4*upload)
	return b, resets
}

const (
	// upload is the size of a body in bytes, more than the buffers of both sockets hold.
	upload = 12 << 20
	// resetTries is how often a reset meets an upload.
	resetTries   = 12
	headOfReset  = "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\n"
	headOfStream = headOfReset + "Content-Type: text/event-stream\r\n"
)

// Guards against a part of an answer that reaches its caller as a complete one, on each path from
// an endpoint to a caller: the error of a reset goes to the writing of a long request, and the
// reading of the answer then sees the end of the connection.
func TestAnswerResetDuringUploadIsNotComplete(t *testing.T) {
	const half = "half of the answer"
	cases := map[string]struct {
		path       string
		head, part string
		// full is set if answers have taken the memory, so that this one is passed on as it
		// arrives.
		full bool
	}{
		"booking":                 {"/book/", headOfReset, half, false},
		"booking, empty body":     {"/book/", headOfReset, "", false},
		"idempotent":              {"/get/", headOfReset, half, false},
		"caller's error":          {"/book/", strings.Replace(headOfReset, "200", "404", 1), half, false},
		"own failure":             {"/book/", strings.Replace(headOfReset, "200", "500", 1), half, false},
		"passed on as it arrives": {"/book/", headOfReset, strings.Repeat("x", 200<<10), true},
		"stream":                  {"/stream/", headOfStream, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n", false},
		"stream, no events":       {"/stream/", headOfStream, "", false},
		"resumable stream":        {"/resumable/", headOfStream, "id: 1\ndata: x\n\n", false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			for n := range resetTries {
				// Each try has a front that has not seen its endpoints fail.
				b, resets := newResetFixture(t, map[string]script{"p1": nil, "d1": nil}, tc.head, tc.part)
				if tc.full {
					require.True(t, b.memory.Reserve("other", 8<<20))
					require.True(t, b.memory.Reserve("another", 8<<20))
				}
				resp, got, err := b.do("POST", tc.path, strings.Repeat("x", upload), "Tokens", "100")
				require.Positive(t, resets.Load(), "try %d: no answer was reset", n)
				if err != nil {
					continue // The answer has been broken off.
				}
				require.GreaterOrEqual(t, resp.StatusCode, 500, "try %d: a caller got %.100q as a complete answer", n, got)
				require.Empty(t, resp.Header.Get("Seal"), "try %d: a caller got a part of the endpoint's own failure", n)
			}
		})
	}
}

// Guards against a request that goes on from a KV cache whose handle has not arrived completely.
func TestPrefillResetDuringUploadGivesNoHandle(t *testing.T) {
	for n := range resetTries {
		b, resets := newResetFixture(t, map[string]script{"r1": nil, "d1": stream(0)}, headOfReset, "handle-7")
		resp, got, err := b.do("POST", "/stream/", strings.Repeat("x", upload), "Tokens", "9000")
		require.NoError(t, err)
		require.Positive(t, resets.Load(), "try %d: no answer was reset", n)
		require.Equal(t, 200, resp.StatusCode)
		require.Equal(t, completeStream, got)
		for _, r := range b.requests() {
			require.Empty(t, r.header.Get("From"), "try %d", n)
		}
	}
}
