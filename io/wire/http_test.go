package wire

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	mn "mustardnotch"
)

// heldCall sends a request over a connection on which nobody answers, and returns how the
// server sees the connection end once the caller has given up.
func heldCall(t *testing.T, c *http.Client) error {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	ended := make(chan error, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			ended <- err
			return
		}
		defer conn.Close()
		r := bufio.NewReader(conn)
		if _, err := http.ReadRequest(r); err != nil {
			ended <- err
			return
		}
		_, err = r.ReadByte()
		ended <- err
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.Addr().String()+"/", nil)
	require.NoError(t, err)
	_, err = Fetch(c, req, 1)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	return <-ended
}

// A connection that is closed in the ordinary way goes on delivering what was written to it
// before, for as long as the network takes. Only a reset takes it back.
func TestAbandonedCallIsReset(t *testing.T) {
	require.ErrorIs(t, heldCall(t, NewHTTPClient()), syscall.ECONNRESET)
	require.ErrorIs(t, heldCall(t, NewPlatformClient()), syscall.ECONNRESET)
}

// A process that is stopped closes no connection, so the operating system has to take back
// what was sent.
func TestPlatformCallsAreDroppedWhileUnacknowledged(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	conn, err := NewDialer(mn.Second, platformAckTimeout, "").DialContext(t.Context(), "tcp", l.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	raw, err := conn.(syscall.Conn).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) {
		timeout, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		require.NoError(t, err)
		require.EqualValues(t, platformAckTimeout, timeout)
	}))
}

// A reset must not cost an answer that was read completely.
func TestConnectionThatEndsAfterAnswerIsNoError(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err == nil {
			w.Header().Set("Connection", "close")
			_, err = w.Write(body)
		}
		if err != nil {
			t.Error(err)
		}
	})}
	go s.Serve(l)
	defer s.Close()
	c := NewPlatformClient()
	for range 20 {
		var out int
		require.NoError(t, DoJSON(t.Context(), c, http.MethodPost, "http://"+l.Addr().String()+"/", 7, &out))
		require.Equal(t, 7, out)
	}
}

// Guards against a part of an answer of the platform or of an engine that looks complete: the
// error of a reset goes to the writing of a long request, and the reading of the answer then sees
// the end of the connection.
func TestAnswerResetDuringUploadIsNotComplete(t *testing.T) {
	const (
		tries  = 20
		upload = 12 << 20 // More than the buffers of both sockets.
	)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReaderSize(c, 512)); err == nil {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n12345") // A failure shows as no answer.
				time.Sleep(time.Duration(rand.IntN(int(8 * time.Millisecond))))
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			c.Close()
		}
	}()
	for name, c := range map[string]*http.Client{"peer": NewHTTPClient(), "platform": NewPlatformClient()} {
		for n := range tries {
			req, err := http.NewRequest(http.MethodPost, "http://"+l.Addr().String(), bytes.NewReader(make([]byte, upload)))
			require.NoError(t, err)
			req.GetBody = nil
			body, err := Fetch(c, req, 1000)
			require.Error(t, err, "%s, try %d: %q", name, n, body)
			var number int
			require.Error(t, DoJSON(t.Context(), c, http.MethodPost, "http://"+l.Addr().String(), strings.Repeat("x", upload), &number), "%s, try %d", name, n)
		}
	}
}

// Guards against an answer without a valid status that is taken for a success, or waited for.
func TestAnswerWithoutValidStatusIsAnError(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+99", "-00", "101", "600", "999"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer l.Close()
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() }) // The connection stays open during the call.
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, "HTTP/1.1 "+status+" X\r\nContent-Length: 1\r\n\r\n7") // Likewise.
			}
		}()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		var out int
		err = DoJSON(ctx, NewHTTPClient(), http.MethodPost, "http://"+l.Addr().String(), 1, &out)
		require.Error(t, err, status)
		require.NoError(t, ctx.Err(), "status %s", status)
		require.Zero(t, out)
	}
}

// Guards against an answer whose head was cut and that looks empty or short: answers of the
// platform and of engines.
func TestHeadThatStopsIsNoAnswer(t *testing.T) {
	for _, framing := range []string{"Content-Length: 2\r\n", "Transfer-Encoding: chunked\r\n", ""} {
		head := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" + framing + "\r\n"
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer l.Close()
		go func() {
			for n := range 2 * len(head) {
				c, err := l.Accept()
				if err != nil {
					return
				}
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.WriteString(c, head[:n/2]) // A failure shows as a short head.
				}
				c.Close()
			}
		}()
		c := NewHTTPClient()
		for n := range len(head) {
			req, err := http.NewRequest(http.MethodPost, "http://"+l.Addr().String(), strings.NewReader("{}"))
			require.NoError(t, err)
			req.GetBody = nil
			_, err = Fetch(c, req, 1000)
			require.Error(t, err, "%q", head[:n])
			require.Error(t, DoJSON(t.Context(), c, http.MethodPost, "http://"+l.Addr().String(), 1, nil), "%q", head[:n])
		}
	}
}
