package place

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	mn "mustardnotch"
)

// The peer load of each endpoint is updated incrementally. It must equal the sum over
// the latest state of each front, under any order of updates, restarts, silent fronts
// and lists of endpoints.
func TestPeerLoadMatchesLatestStates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := mn.NewManualClock(1_000_000)
		b := newBalancer(clock, "dc-0")
		latest := map[mn.VMID]peerState{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				clock.Advance(mn.Millis(rapid.IntRange(1, 2500).Draw(t, "gap")))
			case 1:
				first := rapid.IntRange(0, 8).Draw(t, "first")
				list := engines()[first:]
				list[0].StartedAt = mn.Millis(rapid.IntRange(0, 1).Draw(t, "started"))
				b.SetEndpoints(list)
			default:
				f := mn.FrontState{
					VM:          mn.VMID(fmt.Sprint("front-", rapid.IntRange(0, 3).Draw(t, "front"))),
					Incarnation: mn.Incarnation(fmt.Sprint(rapid.IntRange(0, 1).Draw(t, "incarnation"))),
					Scope:       rapid.SampledFrom([]mn.StateScope{mn.ScopeChanges, mn.ScopeAll}).Draw(t, "scope"),
				}
				for range rapid.IntRange(0, 4).Draw(t, "loads") {
					f.Loads = append(f.Loads, mn.EndpointLoad{
						Endpoint:    mn.EndpointID(fmt.Sprint("e", rapid.IntRange(0, 9).Draw(t, "endpoint"))),
						Requests:    int64(rapid.IntRange(0, 9).Draw(t, "requests")),
						PrefillTime: mn.Millis(rapid.IntRange(0, 500).Draw(t, "prefill")),
					})
				}
				last, ok := latest[f.VM]
				if !ok || f.Scope == mn.ScopeAll || last.incarnation != f.Incarnation {
					last = peerState{incarnation: f.Incarnation, loads: map[mn.EndpointID]mn.EndpointLoad{}}
				}
				last.receivedAt = clock.Now()
				for _, l := range f.Loads {
					last.loads[l.Endpoint] = l
				}
				latest[f.VM] = last
				b.ReceiveState(f)
			}
			b.expirePeers(clock.Now())
			for id, s := range b.endpoints {
				var requests int64
				var prefillWork float64
				for _, f := range latest {
					if clock.Now()-f.receivedAt <= peerStateTTL {
						requests += f.loads[id].Requests
						prefillWork += float64(f.loads[id].PrefillTime)
					}
				}
				r, p := s.totalLoad()
				require.Equal(t, requests, r, "requests at %s", id)
				require.Equal(t, prefillWork, p, "prefill work at %s", id)
			}
		}
	})
}
