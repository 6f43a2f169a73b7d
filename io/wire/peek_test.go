package wire

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestPeek(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	for name, tc := range map[string]struct {
		act  func(c *net.TCPConn) error
		want PeekState
	}{
		"nothing":      {func(*net.TCPConn) error { return nil }, PeekQuiet},
		"bytes":        {func(c *net.TCPConn) error { _, err := c.Write([]byte("x")); return err }, PeekData},
		"closed":       {func(c *net.TCPConn) error { return c.Close() }, PeekClosed},
		"half closed":  {func(c *net.TCPConn) error { return c.CloseWrite() }, PeekClosed},
		"reset":        {func(c *net.TCPConn) error { _ = c.SetLinger(0); return c.Close() }, PeekClosed},
		"bytes, close": {func(c *net.TCPConn) error { _, _ = c.Write([]byte("x")); return c.Close() }, PeekData},
	} {
		t.Run(name, func(t *testing.T) {
			out, err := net.Dial("tcp", l.Addr().String())
			require.NoError(t, err)
			defer out.Close()
			in, err := l.Accept()
			require.NoError(t, err)
			defer in.Close()
			require.Equal(t, PeekQuiet, Peek(in))
			require.NoError(t, tc.act(out.(*net.TCPConn)))
			time.Sleep(20 * time.Millisecond)
			require.Equal(t, tc.want, Peek(in))
		})
	}
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	require.Equal(t, PeekUnknown, Peek(a))
}
