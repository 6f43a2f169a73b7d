package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	mn "mustardnotch"
)

func specs(rate, burst float64) []mn.CustomerSpec {
	return []mn.CustomerSpec{{Customer: mn.Customer{ID: "c", Rate: rate, Burst: burst}}}
}

// fleet is a number of fronts that exchange what they spent.
type fleet struct {
	clock    *mn.ManualClock
	limiters []*Limiter
	vms      []mn.VMID
	// incarnation is the incarnation of all fronts.
	incarnation mn.Incarnation
}

func newFleet(count int, rate, burst float64) *fleet {
	f := &fleet{clock: mn.NewManualClock(1_000_000)}
	for i := range count {
		l := New(Tolerance{}, f.clock)
		l.SetRates(specs(rate, burst))
		f.limiters = append(f.limiters, l)
		f.vms = append(f.vms, mn.VMID(fmt.Sprint("front-", i)))
	}
	f.exchange(func(_, _ int) bool { return true })
	return f
}

func (f *fleet) exchange(linked func(from, to int) bool) {
	for from := range f.limiters {
		for to := range f.limiters {
			if from != to && linked(from, to) {
				f.limiters[to].ReceiveState(mn.FrontState{VM: f.vms[from], Scope: mn.ScopeAll, Incarnation: f.incarnation, Spent: f.limiters[from].Spent()})
			}
		}
	}
}

// One customer sends seven times its rate, most of it through one front. It must get
// its rate once, not once at each front.
func TestBusyCustomerGetsItsRateOnce(t *testing.T) {
	const rate, burst = 50_000.0, 50_000.0
	f := newFleet(6, rate, burst)
	spent := 0.0
	for step := range 200 { // 20 s in steps of 100 ms.
		for n := range 35 {
			front := 0
			if n%3 == 0 {
				front = (step + n) % 6
			}
			if _, ok := f.limiters[front].Take("c", 1000); ok {
				spent += 1000
			}
		}
		f.clock.Advance(100)
		f.exchange(func(_, _ int) bool { return true })
	}
	require.InDelta(t, rate*20+burst, spent, rate*0.5)
}

// While fronts are partitioned from one another, each assumes that its peers go on
// spending as before. Otherwise each would grant the full rate and the sum would
// exceed the platform's bound.
func TestPartitionedFrontsDoNotEachGrantTheFullRate(t *testing.T) {
	const rate, burst = 50_000.0, 50_000.0
	f := newFleet(6, rate, burst)
	run := func(steps int, linked bool) float64 {
		spent := 0.0
		for step := range steps {
			for n := range 35 {
				if _, ok := f.limiters[(step+n)%6].Take("c", 1000); ok {
					spent += 1000
				}
			}
			f.clock.Advance(100)
			f.exchange(func(_, _ int) bool { return linked })
		}
		return spent
	}
	run(60, true)
	require.LessOrEqual(t, run(80, false), (rate*8+burst)*1.1)
}

func TestLowerRateAndRefund(t *testing.T) {
	clock := mn.NewManualClock(1_000_000)
	l := New(Tolerance{}, clock)
	l.SetRates(specs(1000, 1000))
	_, ok := l.Take("c", 400)
	require.True(t, ok)
	l.Refund("c", 400)
	require.Zero(t, l.Spent()["c"])
	l.SetRates(specs(10, 10))
	wait, ok := l.Take("c", 10)
	require.True(t, ok, "a lower burst caps the level")
	require.Zero(t, wait)
	wait, ok = l.Take("c", 5)
	require.False(t, ok)
	require.InDelta(t, 500, int64(wait), 2)
	_, ok = l.Take("nobody", 1e9)
	require.True(t, ok, "a customer without a rate has no limit")
}

func TestRequestLargerThanTheBurstPassesWhenFull(t *testing.T) {
	clock := mn.NewManualClock(1_000_000)
	l := New(Tolerance{}, clock)
	l.SetRates(specs(100, 100))
	clock.Advance(mn.Minute)
	_, ok := l.Take("c", 250)
	require.True(t, ok)
	wait, ok := l.Take("c", 1)
	require.False(t, ok)
	require.Greater(t, wait, 1500*mn.Millisecond)
}

// Under any order of requests and time steps, fronts that exchange their state after
// each step of up to 150 ms stay within rate x window + burst, plus a tenth, plus what
// they can't know of one another yet.
func TestSumOverAnyWindow(t *testing.T) {
	const rate, burst, cost = 10_000.0, 10_000.0, 500.0
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 6).Draw(t, "fronts")
		f := newFleet(count, rate, burst)
		type spend struct {
			at   mn.Millis
			cost float64
		}
		var spends []spend
		maxSent := 0
		for range rapid.IntRange(50, 200).Draw(t, "steps") {
			sent := rapid.IntRange(0, 8).Draw(t, "sent")
			maxSent = max(maxSent, sent)
			for range sent {
				i := rapid.IntRange(0, count-1).Draw(t, "front")
				if _, ok := f.limiters[i].Take("c", cost); ok {
					spends = append(spends, spend{f.clock.Now(), cost})
				}
			}
			f.clock.Advance(mn.Millis(rapid.IntRange(10, 150).Draw(t, "gap")))
			f.exchange(func(_, _ int) bool { return true })
		}
		const window = 8 * mn.Second
		for _, end := range spends {
			sum := 0.0
			for _, s := range spends {
				if s.at > end.at-window && s.at <= end.at {
					sum += s.cost
				}
			}
			unknown := float64(maxSent) * cost
			require.LessOrEqual(t, sum, (rate*8+burst)*1.1+unknown)
		}
	})
}

// All fronts are killed and restarted while a customer sends more than its rate. They
// know nothing of what was spent before, and must not grant another window's worth.
func TestRestartOfAllFrontsDoesNotGrantAnotherWindow(t *testing.T) {
	clock := mn.NewManualClock(1_000_000)
	tolerance := Tolerance{Window: 8 * mn.Second, Share: 0.1}
	l := New(tolerance, clock)
	l.SetRates(specs(10_000, 10_000))
	clock.Advance(mn.Minute)
	spent := 0.0
	take := func(duration mn.Millis) {
		for range duration / 10 {
			for {
				if _, ok := l.Take("c", 100); !ok {
					break
				}
				spent += 100
			}
			clock.Advance(10)
		}
	}
	take(1000)
	l = New(tolerance, clock)
	l.SetRates(specs(10_000, 10_000))
	take(7000)
	require.LessOrEqual(t, spent, (10_000*8+10_000)*1.1)
	require.Greater(t, spent, 10_000*8.0, "customers get their rate throughout")
}

// The platform checks windows of 8 s and tolerates a tenth over the limit and 1,000
// tokens more. A customer that takes what it gets must stay within that, and must get
// nearly all that the window allows.
func TestSpendingFollowsThePlatformsWindow(t *testing.T) {
	clock := mn.NewManualClock(1_000_000)
	l := New(Tolerance{Window: 8 * mn.Second, Share: 0.1, Slack: 1000}, clock)
	declared := specs(1000, 1000)
	declared[0].ByToken = true
	l.SetRates(declared)
	clock.Advance(mn.Minute)
	type spend struct {
		at   mn.Millis
		cost float64
	}
	var spends []spend
	total := 0.0
	for range 4000 { // 40 s in steps of 10 ms.
		for {
			if _, ok := l.Take("c", 10); !ok {
				break
			}
			total += 10
			spends = append(spends, spend{clock.Now(), 10})
		}
		clock.Advance(10)
	}
	for i, end := range spends {
		sum := 0.0
		for _, s := range spends[:i+1] {
			if s.at > end.at-8*mn.Second {
				sum += s.cost
			}
		}
		require.LessOrEqual(t, sum, (1000*8+1000)*1.05+500)
	}
	require.Greater(t, total, 0.9*5*((1000*8+1000)*1.05+500), "no request is rejected that the window has room for, except for one bucket of the sum")
}

// All fronts are killed while a customer sends five times its rate through all of
// them, and exchange their state only 600 ms after the restart. What peers spent in
// between must count then.
func TestRestartedFrontsCountPeerSpendingBeforeFirstExchange(t *testing.T) {
	const rate, burst, cost, count = 500_000.0, 500_000.0, 1000.0, 22
	clock := mn.NewManualClock(1_000_000)
	tolerance := Tolerance{Window: 8 * mn.Second, Share: 0.1}
	f := &fleet{clock: clock}
	start := func(incarnation mn.Incarnation) {
		f.limiters, f.vms = nil, nil
		for i := range count {
			l := New(tolerance, clock)
			l.SetRates(specs(rate, burst))
			f.limiters, f.vms = append(f.limiters, l), append(f.vms, mn.VMID(fmt.Sprint("front-", i)))
		}
		f.incarnation = incarnation
	}
	spent := 0.0
	run := func(duration mn.Millis, linked bool) {
		for step := range int(duration / 50) {
			for n := range int(5 * rate / cost / 20) {
				if _, ok := f.limiters[(step+n)%count].Take("c", cost); ok {
					spent += cost
				}
			}
			clock.Advance(50)
			if step%4 == 3 {
				f.exchange(func(_, _ int) bool { return linked })
			}
		}
	}
	start("1")
	clock.Advance(mn.Minute)
	f.exchange(func(_, _ int) bool { return true })
	run(4000, true)
	start("2")
	run(600, false)
	f.exchange(func(_, _ int) bool { return true })
	run(3400, true)
	t.Logf("spent %.0f of %.0f", spent, (rate*8+burst)*1.1)
	require.LessOrEqual(t, spent, (rate*8+burst)*1.1)
}

// With many fronts, updates are rare: each front sends its complete state to each peer
// once in 25 ms times the number of fronts. The fronts must not all spend what a bucket
// gains between two updates.
func TestManyFrontsStayWithinTheWindow(t *testing.T) {
	const rate, burst, count, steps = 500_000.0, 500_000.0, 22, 600 // steps of 50 ms
	for _, tt := range []struct {
		name         string
		cost, demand float64
		skewed       bool
	}{
		{"small requests, five times the rate", 1_000, 5, false},
		{"large requests, five times the rate", 17_000, 5, false},
		{"large requests, 1.2 times the rate", 17_000, 1.2, false},
		{"small requests, five times the rate, half of them at one front", 1_000, 5, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			clock := mn.NewManualClock(1_000_000)
			f := &fleet{clock: clock}
			for i := range count {
				l := New(Tolerance{Window: 8 * mn.Second, Share: 0.1}, clock)
				l.SetRates(specs(rate, burst))
				f.limiters, f.vms = append(f.limiters, l), append(f.vms, mn.VMID(fmt.Sprint("front-", i)))
			}
			f.exchange(func(_, _ int) bool { return true })
			clock.Advance(mn.Minute)
			f.exchange(func(_, _ int) bool { return true })
			random := rand.New(rand.NewPCG(1, 2))
			var sums []float64 // by step
			total, due := 0.0, 0.0
			for step := range steps {
				sum := 0.0
				for due += tt.demand * rate / 20; due >= tt.cost; due -= tt.cost {
					front := random.IntN(count)
					if tt.skewed && random.IntN(2) == 0 {
						front = 0
					}
					if _, ok := f.limiters[front].Take("c", tt.cost); ok {
						sum += tt.cost
					}
				}
				sums = append(sums, sum)
				total += sum
				clock.Advance(50)
				// Fronts send their state at different times.
				for from := range f.limiters {
					for to := range f.limiters {
						if from != to && (step+from)%11 == 0 {
							f.limiters[to].ReceiveState(mn.FrontState{VM: f.vms[from], Scope: mn.ScopeAll, Spent: f.limiters[from].Spent()})
						}
					}
				}
			}
			highest := 0.0
			for i := range sums {
				window := 0.0
				for _, s := range sums[i:min(len(sums), i+160)] {
					window += s
				}
				highest = max(highest, window)
			}
			t.Logf("highest window %.0f of %.0f, total %.0f", highest, (rate*8+burst)*1.1, total)
			require.LessOrEqual(t, highest, (rate*8+burst)*1.1)
			require.Greater(t, total, 0.95*rate*steps/20, "the customer gets almost its full rate")
		})
	}
}

// Changes of a front can't be applied before its complete state was received: they
// would count its total since its start as recent spending.
func TestChangesNeedAFullStateFirst(t *testing.T) {
	clock := mn.NewManualClock(1_000_000)
	l := New(Tolerance{}, clock)
	l.SetRates(specs(1000, 1000))
	receive := func(scope mn.StateScope, spent map[mn.CustomerID]float64) {
		l.ReceiveState(mn.FrontState{VM: "other", Scope: scope, Uptime: mn.Hour, Spent: spent})
	}
	receive(mn.ScopeChanges, map[mn.CustomerID]float64{"c": 5_000_000})
	receive(mn.ScopeAll, map[mn.CustomerID]float64{"c": 5_000_100, "d": 7})
	receive(mn.ScopeChanges, map[mn.CustomerID]float64{"c": 5_000_500})
	receive(mn.ScopeChanges, map[mn.CustomerID]float64{"d": 9})
	receive(mn.ScopeAll, map[mn.CustomerID]float64{"c": 5_000_500, "d": 9})
	_, ok := l.Take("c", 600)
	require.True(t, ok)
	_, ok = l.Take("c", 1)
	require.False(t, ok, "400 of 1,000 were spent elsewhere, and 600 here")
}
