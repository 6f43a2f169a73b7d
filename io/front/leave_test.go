package front

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	mn "mustardnotch"
)

// An endpoint leaves, or its entry goes, while another one prefills the prompt for it.
func TestEndpointThatLeftDuringPrefillGetsNoRequest(t *testing.T) {
	for _, entryStays := range []bool{true, false} {
		t.Run(fmt.Sprint("entry stays: ", entryStays), func(t *testing.T) {
			var b *fixture
			b = newFixture(t, map[string]script{
				"r1": func(r *http.Request, _ string, c net.Conn) bool {
					if r.Method == http.MethodDelete {
						return answer(c, r, 200, "")
					}
					list := []mn.Endpoint{b.endpoints["r1"]}
					if left := b.endpoints["d1"]; entryStays {
						left.State = mn.EndpointLeaving
						list = append(list, left)
					}
					b.server.Balancer.SetEndpoints(list)
					return answer(c, r, 200, "handle-1")
				},
				"d1": succeed,
			})
			resp, _, err := b.do("POST", "/stream/", "", "Tokens", "17000")
			require.NoError(t, err)
			require.Equal(t, 503, resp.StatusCode)
			for _, r := range b.requests() {
				require.Equal(t, "r1", r.endpoint)
			}
		})
	}
}
