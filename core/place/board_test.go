package place

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	mn "mustardnotch"
)

// The sums of other fronts' work, which are kept up to date word by word, are
// those over what each front said last, under any order of words, restarts,
// silence and lists of endpoints.
func TestPeerLoadMatchesLatestStates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := mn.NewManualClock(1_000_000)
		b := newBalancer(clock, "dc-0")
		said := map[mn.VMID]peerState{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				clock.Advance(mn.Millis(rapid.IntRange(1, 2500).Draw(t, "gap")))
			case 1:
				first := rapid.IntRange(0, 8).Draw(t, "first")
				list := engines()[first:]
				list[0].StartedAt = mn.Millis(rapid.IntRange(0, 1).Draw(t, "born"))
				b.SetEndpoints(list)
			default:
				f := mn.FrontState{
					VM:          mn.VMID(fmt.Sprint("front-", rapid.IntRange(0, 3).Draw(t, "front"))),
					Incarnation: mn.Incarnation(fmt.Sprint(rapid.IntRange(0, 1).Draw(t, "incarnation"))),
					Scope:       rapid.SampledFrom([]mn.StateScope{mn.ScopeChanges, mn.ScopeAll}).Draw(t, "scope"),
				}
				for range rapid.IntRange(0, 4).Draw(t, "uses") {
					f.Loads = append(f.Loads, mn.EndpointLoad{
						Endpoint:    mn.EndpointID(fmt.Sprint("e", rapid.IntRange(0, 9).Draw(t, "endpoint"))),
						Requests:    int64(rapid.IntRange(0, 9).Draw(t, "requests")),
						PrefillTime: mn.Millis(rapid.IntRange(0, 500).Draw(t, "prefill")),
					})
				}
				last, ok := said[f.VM]
				if !ok || f.Scope == mn.ScopeAll || last.incarnation != f.Incarnation {
					last = peerState{incarnation: f.Incarnation, loads: map[mn.EndpointID]mn.EndpointLoad{}}
				}
				last.receivedAt = clock.Now()
				for _, u := range f.Loads {
					last.loads[u.Endpoint] = u
				}
				said[f.VM] = last
				b.ReceiveState(f)
			}
			b.expirePeers(clock.Now())
			for id, s := range b.endpoints {
				var requests int64
				var reading float64
				for _, f := range said {
					if clock.Now()-f.receivedAt <= peerStateTTL {
						requests += f.loads[id].Requests
						reading += float64(f.loads[id].PrefillTime)
					}
				}
				r, p := s.totalLoad()
				require.Equal(t, requests, r, "requests at %s", id)
				require.Equal(t, reading, p, "reading at %s", id)
			}
		}
	})
}
