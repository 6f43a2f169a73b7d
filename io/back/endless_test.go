package back

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	mn "mustardnotch"
)

// Endpoints in trouble send bytes that are no answer until the caller closes. A call
// must end long before its deadline, and must not take in more than a small amount.
func TestBytesWithoutEndInHeadsAreCutOff(t *testing.T) {
	const maxTaken = 8 << 20 // includes the buffers of both sockets
	tests := map[string]struct{ begin, endless string }{
		"no line end":            {"", "x"},
		"status line":            {"HTTP/1.1 200 ", "O"},
		"header line":            {"HTTP/1.1 200 OK\r\nA: ", "a"},
		"headers":                {"HTTP/1.1 200 OK\r\n", "A: a\r\n"},
		"interim answers":        {"", "HTTP/1.1 103 Early Hints\r\nA: a\r\n\r\n"},
		"answers to others":      {"", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1\r\n\r\nx"},
		"body of another answer": {"HTTP/1.1 200 OK\r\nId: other\r\n\r\n", "x"},
		"trailer":                {"HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: a\r\n"},
		"chunk extension":        {"HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n1;", "a"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var taken atomic.Int64
			closed := make(chan struct{})
			e := newEndpoint(t, func(_ int64, c net.Conn, br *bufio.Reader) {
				defer close(closed)
				if _, err := http.ReadRequest(br); err != nil {
					return
				}
				text := tt.begin + strings.Repeat(tt.endless, 1+(64<<10)/len(tt.endless))
				for {
					n, err := io.WriteString(c, text)
					if taken.Add(int64(n)) > 4*maxTaken || err != nil {
						return
					}
					text = strings.Repeat(tt.endless, 1+(64<<10)/len(tt.endless))
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			begin := time.Now()
			_, err := newClient(mn.NewSystemClock()).Do(ctx, dialect{}, &Call{ID: "r", To: mn.Endpoint{Addr: e.addr}, Method: "GET", Target: "/", Host: "h", Header: http.Header{}, MaxIdleTime: mn.Second})
			require.Error(t, err)
			require.Less(t, time.Since(begin), 5*time.Second)
			<-closed
			require.LessOrEqual(t, taken.Load(), int64(maxTaken))
		})
	}
}
