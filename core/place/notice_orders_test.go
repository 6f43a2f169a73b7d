package place

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	mn "mustardnotch"
)

// noticeOrders is the number of orders of events that TestNoticesHoldInAnyOrderOfEvents draws,
// and noticeSeed their seed.
const (
	noticeOrders = 10_000
	noticeSeed   = 31
)

// word is what a run has said of itself.
type word struct {
	leaving     bool
	pausedUntil mn.Millis
}

// Answers, lists, restarts and peers' words come in any order, late or twice, and lists go back
// to earlier ones. The front never sends to a run of an endpoint that has said that it leaves,
// nor to one within its pause, and it does send to all other runs that are listed as ready.
func TestNoticesHoldInAnyOrderOfEvents(t *testing.T) {
	for n := range uint64(noticeOrders) {
		events, violation := drawNoticeOrder(n, false)
		require.Empty(t, violation, "order %d: %v", n, events)
	}
	found := 0
	for n := range uint64(noticeOrders) {
		if _, violation := drawNoticeOrder(n, true); violation != "" {
			found++
		}
	}
	t.Logf("%d of %d orders show that notices are ignored", found, noticeOrders)
	require.Greater(t, found, noticeOrders/2, "orders that show that notices are ignored")
}

// drawNoticeOrder draws an order of events and checks the front after each. It returns the
// events up to the first violation. If ignore is set, answers are not observed.
func drawNoticeOrder(order uint64, ignore bool) (events []string, violation string) {
	r := rand.New(rand.NewPCG(noticeSeed, order))
	clock := mn.NewManualClock(1000)
	b := New(Config{}, clock)
	said := map[runKey]word{}
	var listed map[mn.EndpointID]mn.Endpoint
	endpoint := func() mn.Endpoint {
		id := mn.EndpointID(rune('a' + r.IntN(3)))
		return mn.Endpoint{ID: id, StartedAt: mn.Millis(1 + r.IntN(3)), Pool: "p", Addr: "127.0.0.1:" + fmt.Sprint(int(id[0])), Capacity: 1, State: mn.EndpointReady}
	}
	note := func(format string, args ...any) { events = append(events, fmt.Sprintf(format, args...)) }
	for range 30 {
		switch r.IntN(5) {
		case 0, 1: // An answer of any run, which may be an earlier one, or not be listed.
			e, reply := endpoint(), mn.ReplyInfo{}
			if r.IntN(2) == 0 {
				reply.Leaving = true
			} else {
				reply.Pause = mn.Millis(r.IntN(3000))
			}
			note("answer of %s run %d: leaving %t, pause %d", e.ID, e.StartedAt, reply.Leaving, reply.Pause)
			k := runKey{e.ID, e.StartedAt}
			for range 1 + r.IntN(2) { // It may come twice.
				if !ignore {
					b.ObserveReply(e, reply)
				}
				said[k] = word{said[k].leaving || reply.Leaving, max(said[k].pausedUntil, clock.Now()+reply.Pause)}
			}
		case 2: // A list, which may be an earlier one.
			listed = map[mn.EndpointID]mn.Endpoint{}
			for range r.IntN(4) {
				e := endpoint()
				if r.IntN(5) == 0 {
					e.State = mn.EndpointLeaving
				}
				listed[e.ID] = e
			}
			var list []mn.Endpoint
			for _, e := range listed {
				list = append(list, e)
			}
			note("list %v", listed)
			b.SetEndpoints(list)
		case 3:
			d := mn.Millis(r.IntN(2000))
			note("%d ms later", d)
			clock.Advance(d)
		case 4: // A peer's state says nothing of what endpoints have said.
			e := endpoint()
			note("a peer's load on %s", e.ID)
			b.ReceiveState(mn.FrontState{VM: "peer", Incarnation: "1", Scope: mn.ScopeAll, Loads: []mn.EndpointLoad{{Endpoint: e.ID, Requests: 1}}})
		}
		for _, id := range []mn.EndpointID{"a", "b", "c"} {
			e, ok := listed[id]
			w := said[runKey{id, e.StartedAt}]
			want := ok && e.State == mn.EndpointReady && !w.leaving && clock.Now() >= w.pausedUntil
			if got := b.CheckSend(id) == nil; got != want {
				return events, fmt.Sprintf("%s run %d: sends %t, want %t", id, e.StartedAt, got, want)
			}
		}
	}
	return events, ""
}
