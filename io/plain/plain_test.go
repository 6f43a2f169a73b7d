package plain

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	mn "mustardnotch"
)

// Guards against an answer that was reset and looks complete, since the error of the reset
// goes to the writing of a long request.
func TestAnswerResetDuringRequestIsNotComplete(t *testing.T) {
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
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\nhalf of the answer")
				time.Sleep(20 * time.Millisecond)
				_ = c.(*net.TCPConn).SetLinger(0)
			}()
		}
	}()
	for range 20 {
		_, err := New("http://"+l.Addr().String()).Call(t.Context(), mn.PlainCall{ID: "1", Body: make([]byte, 32<<20)})
		require.Error(t, err)
	}
}
