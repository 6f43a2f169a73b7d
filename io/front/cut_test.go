package front

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// cutAt sends the first n bytes of a text that names the request, and closes the connection.
func cutAt(text string, n int) script {
	return func(r *http.Request, _ string, c net.Conn) bool {
		text := strings.ReplaceAll(text, "ID", r.Header.Get("Id"))
		fmt.Fprint(c, text[:min(n, len(text))])
		return false
	}
}

// Guards against a handle from an answer to a prefill that stopped in its head, or in its body
// if something marks its end: the request would go on from a KV cache that is not there.
func TestCutAnswerToPrefillGivesNoHandle(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\n"
	for name, text := range map[string]string{
		"length":     head + "Content-Length: 8\r\n\r\nhandle-1",
		"chunks":     head + "Transfer-Encoding: chunked\r\n\r\n8\r\nhandle-1\r\n0\r\n\r\n",
		"connection": head + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			whole := len(strings.ReplaceAll(text, "ID", "id-1"))
			for n := range whole {
				b := newFixture(t, map[string]script{"d1": stream(0), "r1": cutAt(text, n)})
				_, body, err := b.do("POST", "/stream/", strings.Repeat("p", 20), "Tokens", "20000")
				if err == nil && strings.HasPrefix(body, "id:") {
					require.Equal(t, completeStream, body, "cut after %d bytes", n)
				}
				require.Equal(t, "r1", b.requests()[0].endpoint)
				for _, r := range b.requests() {
					require.Empty(t, r.header.Get("From"), "cut after %d bytes: %q", n, text[:min(n, len(text))])
				}
			}
		})
	}
}
