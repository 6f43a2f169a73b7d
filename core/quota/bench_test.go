package quota

import (
	"fmt"
	"testing"

	mn "mustardnotch"
)

// BenchmarkTake charges requests of a customer that all fronts serve, with an update of a peer
// between two requests.
func BenchmarkTake(b *testing.B) {
	for _, fronts := range []int{5, 22, 68, 370} {
		b.Run(fmt.Sprint(fronts, " fronts"), func(b *testing.B) {
			clock := mn.NewManualClock(1_000_000)
			l := New(Tolerance{Window: 8 * mn.Second, Share: 0.1}, clock)
			l.SetRates(specs(1e9, 1e9))
			var vms []mn.VMID
			for n := range fronts {
				vms = append(vms, mn.VMID(fmt.Sprint("front-", n)))
			}
			spent := 0.0
			for n := 0; b.Loop(); n++ {
				clock.Advance(1)
				if _, ok := l.Take("c", 1000); ok {
					spent += 1000
				}
				l.ReceiveState(mn.FrontState{VM: vms[n%fronts], Scope: mn.ScopeAll, Spent: map[mn.CustomerID]float64{"c": spent}})
			}
		})
	}
}
