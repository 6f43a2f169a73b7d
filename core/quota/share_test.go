package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	mn "mustardnotch"
)

// A customer stays within its rate. However many fronts serve it, and however seldom they
// hear of each other, it must not be rejected.
func TestCustomerWithinItsRateIsNotRejected(t *testing.T) {
	const rate, burst, cost = 600_000.0, 600_000.0, 17_000.0
	const step = 50 * mn.Millisecond
	for _, tt := range []struct {
		fronts int
		// interval is the time between two updates of a peer, or the longest one if they are
		// irregular, since urgent ones come in between.
		interval  mn.Millis
		irregular bool
	}{{5, 150, false}, {22, 550, false}, {68, 1000, false}, {5, 150, true}, {22, 550, true}, {68, 1000, true}} {
		for _, demand := range []float64{0.7, 0.95} {
			t.Run(fmt.Sprintf("%d fronts, irregular %t, %.2f of the rate", tt.fronts, tt.irregular, demand), func(t *testing.T) {
				clock := mn.NewManualClock(1_000_000)
				f := &fleet{clock: clock}
				random := rand.New(rand.NewPCG(1, 2))
				var weights []float64
				sumOfWeights := 0.0
				for i := range tt.fronts {
					l := New(Tolerance{Window: 8 * mn.Second, Share: 0.1}, clock)
					l.SetRates(specs(rate, burst))
					f.limiters, f.vms = append(f.limiters, l), append(f.vms, mn.VMID(fmt.Sprint("front-", i)))
					weights = append(weights, 0.5+random.Float64())
					sumOfWeights += weights[i]
				}
				f.exchange(func(_, _ int) bool { return true })
				clock.Advance(mn.Minute)
				f.exchange(func(_, _ int) bool { return true })
				asked, granted, due := 0.0, 0.0, 0.0
				every := int(tt.interval / step)
				for at := range 600 {
					for due += demand * rate * float64(step) / 1000; due >= cost; due -= cost {
						front, x := 0, random.Float64()*sumOfWeights
						for ; x > weights[front] && front < tt.fronts-1; front++ {
							x -= weights[front]
						}
						asked += cost
						if _, ok := f.limiters[front].Take("c", cost); ok {
							granted += cost
						}
					}
					clock.Advance(step)
					for from := range f.limiters {
						for to := range f.limiters {
							if from != to && ((at+from)%every == 0 || tt.irregular && random.IntN(every) == 0) {
								f.limiters[to].ReceiveState(mn.FrontState{VM: f.vms[from], Scope: mn.ScopeAll, Spent: f.limiters[from].Spent()})
							}
						}
					}
				}
				t.Logf("granted %.4f of what was asked", granted/asked)
				require.Greater(t, granted/asked, 0.99)
			})
		}
	}
}
