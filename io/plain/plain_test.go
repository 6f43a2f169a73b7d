package plain

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	mn "mustardnotch"
)

// serve accepts connections, and calls answer with each one whose first request has been read.
func serve(t *testing.T, answer func(c net.Conn)) (url string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					answer(c)
				}
			}()
		}
	}()
	return "http://" + l.Addr().String()
}

// Guards against an answer that was reset and looks complete, since the error of the reset
// goes to the writing of a long request.
func TestAnswerResetDuringRequestIsNotComplete(t *testing.T) {
	url := serve(t, func(c net.Conn) {
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\nhalf of the answer")
		time.Sleep(20 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	for range 20 {
		_, err := New(url).Call(t.Context(), mn.PlainCall{ID: "1", Body: make([]byte, 32<<20)})
		require.Error(t, err)
	}
}

// Guards against a booking that runs twice because its service answered with a status that was
// taken for a statement that it has not run.
func TestStatusIsNoProofThatCallHasNotRun(t *testing.T) {
	for _, status := range []int{0, 99, 400, 408, 409, 421, 429, 500, 503} {
		for header, want := range map[string]mn.Outcome{
			"": mn.OutcomeUnknown, "X-Outcome: unknown\r\n": mn.OutcomeUnknown, "X-Outcome: not-run\r\n": mn.OutcomeNotRun,
		} {
			url := serve(t, func(c net.Conn) { fmt.Fprintf(c, "HTTP/1.1 %03d X\r\n%sContent-Length: 0\r\n\r\n", status, header) })
			_, err := New(url).Call(t.Context(), mn.PlainCall{ID: "1"})
			require.Error(t, err)
			require.Equal(t, mn.EndpointFailed, mn.CodeOf(err))
			require.Equal(t, want, mn.AsError(err).Outcome, "status %d %q", status, header)
		}
	}
}

// Guards against a success whose head was cut: it must not look like an empty or short answer.
func TestHeadThatStopsIsNoAnswer(t *testing.T) {
	for _, framing := range []string{"Content-Length: 6\r\n", "Transfer-Encoding: chunked\r\n", ""} {
		head := "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n" + framing + "\r\n"
		for n := range len(head) {
			url := serve(t, func(c net.Conn) { fmt.Fprint(c, head[:n]) })
			_, err := New(url).Call(t.Context(), mn.PlainCall{ID: "1"})
			require.Error(t, err, "%q", head[:n])
		}
	}
}

// Guards against an agent that runs out of memory because its service sends bodies or heads
// without end in all of its answers.
func TestAnswersWithoutEndTakeBoundedMemory(t *testing.T) {
	const (
		calls   = 32
		maxHeap = 108 << 20 // half of the memory of a VM beside an endpoint
	)
	more := bytes.Repeat([]byte("A: aaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n"), 2000)
	for name, head := range map[string]string{"body": "HTTP/1.1 200 OK\r\n\r\n", "head": "HTTP/1.1 200 OK\r\n"} {
		t.Run(name, func(t *testing.T) {
			url := serve(t, func(c net.Conn) {
				fmt.Fprint(c, head)
				for {
					if _, err := c.Write(more); err != nil {
						return
					}
				}
			})
			c := New(url)
			runtime.GC()
			var wg sync.WaitGroup
			for range calls {
				wg.Go(func() {
					if _, err := c.Call(t.Context(), mn.PlainCall{ID: "1"}); err == nil {
						t.Error("an answer without end is no success")
					}
				})
			}
			done := make(chan struct{})
			go func() { wg.Wait(); close(done) }()
			peak := uint64(0)
			for running := true; running; {
				select {
				case <-done:
					running = false
				case <-time.After(2 * time.Millisecond):
				}
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				peak = max(peak, m.HeapAlloc)
			}
			t.Logf("peak: %.1f MB", float64(peak)/(1<<20))
			require.Less(t, peak, uint64(maxHeap))
		})
	}
}
