package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	mn "mustardnotch"
)

// Two of five fronts are cut off from the others, and a moment later a customer that has
// sent far less than its rate sends many times its rate, through all of them. Neither side
// knows that the customer is busy at the other one.
func TestCustomerThatBecomesBusyDuringPartition(t *testing.T) {
	const (
		rate, burst, slack = 600_000.0, 600_000.0, 190_000.0
		step               = 25 * mn.Millisecond
		cutAt, healedAt    = 6 * mn.Second, 18 * mn.Second
		end                = 24 * mn.Second
	)
	for _, tt := range []struct {
		name string
		// cost is that of a request, and busy the demand as a multiple of the rate.
		cost, busy float64
		busyAt     mn.Millis
		// weights are the shares of the customer's requests at the fronts.
		weights []float64
	}{
		{"after 0.2 s", 4_000, 5.5, cutAt + 200, []float64{1, 1, 1, 1, 1}},
		{"at the same moment", 4_000, 5.5, cutAt, []float64{1, 1, 1, 1, 1}},
		{"after 3 s", 4_000, 5.5, cutAt + 3000, []float64{1, 1, 1, 1, 1}},
		{"large requests", 17_000, 5.5, cutAt + 200, []float64{1, 1, 1, 1, 1}},
		{"uneven", 4_000, 5.5, cutAt + 200, []float64{3, 1, 2, 1, 1}},
		{"twice the rate", 4_000, 2, cutAt + 200, []float64{1, 1, 1, 1, 1}},
		{"busy before", 4_000, 5.5, cutAt - 2000, []float64{1, 1, 1, 1, 1}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			clock := mn.NewManualClock(1_000_000)
			f := &fleet{clock: clock}
			specs := specs(rate, burst)
			specs[0].ByToken = true
			for i := range tt.weights {
				l := New(Tolerance{Window: 8 * mn.Second, Share: 0.1, Slack: slack}, clock)
				l.SetRates(specs)
				f.limiters, f.vms = append(f.limiters, l), append(f.vms, mn.VMID(fmt.Sprint("front-", i)))
			}
			f.exchange(func(_, _ int) bool { return true })
			clock.Advance(mn.Minute)
			f.exchange(func(_, _ int) bool { return true })
			var cumulative []float64
			sumOfWeights := 0.0
			for _, w := range tt.weights {
				sumOfWeights += w
				cumulative = append(cumulative, sumOfWeights)
			}
			random := rand.New(rand.NewPCG(1, 2))
			var sums []float64 // by step
			due, granted := 0.0, 0.0
			for at := mn.Millis(0); at < end; at += step {
				demand := 0.3
				if at >= tt.busyAt {
					demand = tt.busy
				}
				sum := 0.0
				for due += demand * rate * float64(step) / 1000; due >= tt.cost; due -= tt.cost {
					front, x := 0, random.Float64()*sumOfWeights
					for x > cumulative[front] {
						front++
					}
					if _, ok := f.limiters[front].Take("c", tt.cost); ok {
						sum += tt.cost
					}
				}
				sums = append(sums, sum)
				if at >= tt.busyAt {
					granted += sum
				}
				clock.Advance(step)
				cut := at >= cutAt && at < healedAt
				for from := range f.limiters {
					for to := range f.limiters {
						if from != to && (int(at/step)+from)%5 == 0 && !(cut && (from < 2) != (to < 2)) {
							f.limiters[to].ReceiveState(mn.FrontState{VM: f.vms[from], Scope: mn.ScopeAll, Spent: f.limiters[from].Spent()})
						}
					}
				}
			}
			highest := 0.0
			for i := range sums {
				window := 0.0
				for _, s := range sums[i:min(len(sums), i+int(8*mn.Second/step))] {
					window += s
				}
				highest = max(highest, window)
			}
			allowed := (rate*8+burst)*1.1 + slack
			t.Logf("highest window %.0f of %.0f, granted %.0f while busy", highest, allowed, granted)
			require.LessOrEqual(t, highest, allowed)
			require.Greater(t, granted, 0.8*rate*float64(end-tt.busyAt)/1000, "the customer gets most of its rate")
		})
	}
}

// A front is stopped for some seconds while a customer sends five times its rate. When it
// goes on, the requests that have waited for it come at once, before it hears of what its
// peers have spent meanwhile.
func TestFrontThatWasStoppedDoesNotGrantTheTimeAgain(t *testing.T) {
	const (
		rate, burst, slack, cost = 20_000.0, 20_000.0, 33_000.0, 3_000.0
		count                    = 4
		step                     = 25 * mn.Millisecond
		stoppedAt                = 12 * mn.Second
	)
	for _, stoppedFor := range []mn.Millis{500, 1000, 2000, 3500, 4500} {
		t.Run(fmt.Sprint(stoppedFor, " ms"), func(t *testing.T) {
			clock := mn.NewManualClock(1_000_000)
			f := &fleet{clock: clock}
			specs := specs(rate, burst)
			specs[0].ByToken = true
			for i := range count {
				l := New(Tolerance{Window: 8 * mn.Second, Share: 0.1, Slack: slack}, clock)
				l.SetRates(specs)
				f.limiters, f.vms = append(f.limiters, l), append(f.vms, mn.VMID(fmt.Sprint("front-", i)))
			}
			f.exchange(func(_, _ int) bool { return true })
			clock.Advance(mn.Minute)
			f.exchange(func(_, _ int) bool { return true })
			var sums []float64
			due, waiting := 0.0, 0
			for at := mn.Millis(0); at < 24*mn.Second; at += step {
				sum := 0.0
				stopped := at >= stoppedAt && at < stoppedAt+stoppedFor
				take := func(front int) {
					if _, ok := f.limiters[front].Take("c", cost); ok {
						sum += cost
					}
				}
				for n := 0; due >= cost; due -= cost {
					front := (int(at/step) + n) % count
					n++
					if stopped && front == 0 {
						waiting++
						continue
					}
					take(front)
				}
				if !stopped {
					for ; waiting > 0; waiting-- {
						take(0)
					}
				}
				due += 5 * rate * float64(step) / 1000
				sums = append(sums, sum)
				clock.Advance(step)
				for from := range f.limiters {
					for to := range f.limiters {
						if from != to && (int(at/step)+from)%5 == 0 && !(stopped && (from == 0 || to == 0)) {
							f.limiters[to].ReceiveState(mn.FrontState{VM: f.vms[from], Scope: mn.ScopeAll, Spent: f.limiters[from].Spent()})
						}
					}
				}
			}
			highest := 0.0
			for i := range sums {
				window := 0.0
				for _, s := range sums[i:min(len(sums), i+int(8*mn.Second/step))] {
					window += s
				}
				highest = max(highest, window)
			}
			allowed := (rate*8+burst)*1.1 + slack
			t.Logf("highest window %.0f of %.0f", highest, allowed)
			require.LessOrEqual(t, highest, allowed)
		})
	}
}
