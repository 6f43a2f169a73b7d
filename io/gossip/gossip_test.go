package gossip

import (
	"context"
	"fmt"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	mn "mustardnotch"
)

// host is a front with many customers and run counts.
type host struct {
	incarnation mn.Incarnation
	spent       map[mn.CustomerID]float64
	runs        []mn.RunCount
	received    []mn.FrontState
	// sentSize is the encoded size of the state that was last returned.
	sentSize int
}

func (h *host) State(c *Cursor, scope mn.StateScope) mn.FrontState {
	f := mn.FrontState{VM: "front-kutahya-1", Incarnation: h.incarnation, Addr: "10.5.64.44:8320", DataCentre: "kutahya", Scope: scope}
	if scope >= mn.ScopeChanges {
		spent := map[mn.CustomerID]float64{}
		for k, v := range h.spent {
			spent[k] = v
		}
		f.Spent, f.Runs = c.SpentChanges(spent), c.RunChanges(h.runs)
	}
	h.sentSize = proto.Size(encode(f))
	return f
}

func (h *host) ReceiveState(f mn.FrontState, _ mn.Millis)     { h.received = append(h.received, f) }
func (h *host) CatalogItem() mn.Item                          { return mn.Item{} }
func (h *host) CachedPrompts() []mn.PrefilledPrompt           { return nil }
func (h *host) Endpoints() (list []mn.Endpoint, at mn.Millis) { return nil, -1 }

func newHost(incarnation mn.Incarnation) *host {
	h := &host{incarnation: incarnation, spent: map[mn.CustomerID]float64{}}
	for i := range 16 {
		c := mn.CustomerID(fmt.Sprint("customer-", i))
		h.spent[c] = 1e6
		for w := range int64(7) {
			h.runs = append(h.runs, mn.RunCount{Window: 355_612_218 + w, Customer: c, Count: 200})
		}
	}
	return h
}

func serve(t *testing.T, h *host) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	mux := drpcmux.New()
	require.NoError(t, NewServer(h).Register(mux))
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(stop)
	go func() { _ = drpcserver.New(mux).Serve(ctx, l) }() // Ends with the test.
	return l.Addr().String()
}

// Among many fronts, most bytes of an exchange were data that the peer already had.
// A front sends only changes, unless the peer may have lost what was sent before.
func TestOnlyChangesAreSent(t *testing.T) {
	clock := mn.NewManualClock(1_000_000)
	self, peer := newHost("1"), newHost("a")
	addr := mn.Front{VM: "peer", Addr: serve(t, peer), DataCentre: "kutahya"}
	c := NewClient(self, clock, "127.0.0.1:0")
	defer c.Close()
	var cursor Cursor
	require.NoError(t, c.Exchange(t.Context(), addr, &cursor))
	require.Equal(t, mn.ScopeAll, peer.received[0].Scope, "the first exchange sends the full state")
	require.Len(t, peer.received[0].Runs, 16*7)
	require.Len(t, self.received[0].Spent, 16, "the answer is the peer's full state")
	fullSize := self.sentSize

	self.spent["customer-3"]++
	self.runs[5].Count++
	clock.Advance(500)
	require.NoError(t, c.Exchange(t.Context(), addr, &cursor))
	require.Equal(t, map[mn.CustomerID]float64{"customer-3": 1e6 + 1}, peer.received[1].Spent)
	require.Equal(t, self.runs[5:6], peer.received[1].Runs)
	require.Less(t, self.sentSize, fullSize/10)

	require.NoError(t, c.Exchange(t.Context(), addr, &cursor))
	require.Empty(t, peer.received[2].Spent)

	peer.incarnation = "b"
	require.NoError(t, c.Exchange(t.Context(), addr, &cursor), "the answer shows that the peer restarted")
	require.NoError(t, c.Exchange(t.Context(), addr, &cursor))
	require.Equal(t, mn.ScopeAll, peer.received[4].Scope, "a restarted peer gets the full state")

	clock.Advance(fullExchangeInterval)
	require.NoError(t, c.Exchange(t.Context(), addr, &cursor))
	require.Equal(t, mn.ScopeAll, peer.received[5].Scope)

	ended, stop := context.WithCancel(t.Context())
	stop()
	require.Error(t, c.Exchange(ended, addr, &cursor))
	require.NoError(t, c.Exchange(t.Context(), addr, &cursor))
	require.Equal(t, mn.ScopeAll, peer.received[len(peer.received)-1].Scope, "a failed exchange is followed by the full state")
}

// Guards against states that lose what the recipient can't do without: an incarnation comes back
// as it was, and an answer has the address at which it was asked for.
func TestIncarnationsAndAddressesOfAnswers(t *testing.T) {
	for _, i := range []mn.Incarnation{mn.NewIncarnation(), "a", "", "F094B932-150F-4DBC-86E0-12366F6BA4F7"} {
		require.Equal(t, i, decodeIncarnation(encodeIncarnation(i)))
	}
	self, peer := newHost("1"), newHost(mn.NewIncarnation())
	p := mn.Front{VM: "front-kutahya-1", Addr: serve(t, peer), DataCentre: "afyon"}
	c := NewClient(self, mn.NewManualClock(1_000_000), "127.0.0.1:0")
	defer c.Close()
	var cursor Cursor
	require.NoError(t, c.Exchange(t.Context(), p, &cursor))
	require.NoError(t, c.Exchange(t.Context(), p, &cursor))
	require.Equal(t, p.VM, cursor.Peer)
	for _, answer := range self.received {
		require.Equal(t, p.Addr, answer.Addr)
		require.Equal(t, p.DataCentre, answer.DataCentre)
		require.Equal(t, peer.incarnation, answer.Incarnation)
	}
	require.NotEmpty(t, peer.received[0].Addr, "a full state tells the address")
	require.Empty(t, peer.received[1].Addr)
}
