package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	mn "mustardnotch"
)

func subs(rate, burst float64) []mn.CustomerSpec {
	return []mn.CustomerSpec{{Customer: mn.Customer{ID: "c", Rate: rate, Burst: burst}}}
}

// fleet is some fronts that tell one another what they spent.
type fleet struct {
	clock  *mn.ManualClock
	meters []*Limiter
	vms    []mn.VMID
	// incarnation is that of all fronts.
	incarnation mn.Incarnation
}

func newFleet(count int, rate, burst float64) *fleet {
	f := &fleet{clock: mn.NewManualClock(1_000_000)}
	for i := range count {
		m := New(Tolerance{}, f.clock)
		m.SetRates(subs(rate, burst))
		f.meters = append(f.meters, m)
		f.vms = append(f.vms, mn.VMID(fmt.Sprint("front-", i)))
	}
	f.gossip(func(_, _ int) bool { return true })
	return f
}

func (f *fleet) gossip(linked func(from, to int) bool) {
	for from := range f.meters {
		for to := range f.meters {
			if from != to && linked(from, to) {
				f.meters[to].ReceiveState(mn.FrontState{VM: f.vms[from], Scope: mn.ScopeAll, Incarnation: f.incarnation, Spent: f.meters[from].Spent()})
			}
		}
	}
}

// One customer sends seven times its rate, most of it through one front.
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
			if _, ok := f.meters[front].Take("c", 1000); ok {
				spent += 1000
			}
		}
		f.clock.Advance(100)
		f.gossip(func(_, _ int) bool { return true })
	}
	require.InDelta(t, rate*20+burst, spent, rate*0.5)
}

// While fronts are cut off from one another, each takes the others to spend on
// as before: the sum stays within the platform's bound.
func TestPartitionedFrontsDoNotEachGrantTheFullRate(t *testing.T) {
	const rate, burst = 50_000.0, 50_000.0
	f := newFleet(6, rate, burst)
	run := func(steps int, linked bool) float64 {
		spent := 0.0
		for step := range steps {
			for n := range 35 {
				if _, ok := f.meters[(step+n)%6].Take("c", 1000); ok {
					spent += 1000
				}
			}
			f.clock.Advance(100)
			f.gossip(func(_, _ int) bool { return linked })
		}
		return spent
	}
	run(60, true)
	require.LessOrEqual(t, run(80, false), (rate*8+burst)*1.1)
}

func TestLowerRateAndRefund(t *testing.T) {
	clock := mn.NewManualClock(1_000_000)
	m := New(Tolerance{}, clock)
	m.SetRates(subs(1000, 1000))
	_, ok := m.Take("c", 400)
	require.True(t, ok)
	m.Refund("c", 400)
	require.Zero(t, m.Spent()["c"])
	m.SetRates(subs(10, 10))
	wait, ok := m.Take("c", 10)
	require.True(t, ok, "a level is cut to the burst")
	require.Zero(t, wait)
	wait, ok = m.Take("c", 5)
	require.False(t, ok)
	require.InDelta(t, 500, int64(wait), 2)
	_, ok = m.Take("nobody", 1e9)
	require.True(t, ok, "a customer without a rate has no limit")
}

func TestRequestLargerThanTheBurstPassesWhenFull(t *testing.T) {
	clock := mn.NewManualClock(1_000_000)
	m := New(Tolerance{}, clock)
	m.SetRates(subs(100, 100))
	clock.Advance(mn.Minute)
	_, ok := m.Take("c", 250)
	require.True(t, ok)
	wait, ok := m.Take("c", 1)
	require.False(t, ok)
	require.Greater(t, wait, 1500*mn.Millisecond)
}

// Under any order of requests, time, words and restarts, fronts that hear each
// other every 150 ms keep within rate x window + burst, a tenth over, and what
// they can't yet know of one another.
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
		most := 0
		for range rapid.IntRange(50, 200).Draw(t, "steps") {
			sent := rapid.IntRange(0, 8).Draw(t, "sent")
			most = max(most, sent)
			for range sent {
				i := rapid.IntRange(0, count-1).Draw(t, "front")
				if _, ok := f.meters[i].Take("c", cost); ok {
					spends = append(spends, spend{f.clock.Now(), cost})
				}
			}
			f.clock.Advance(mn.Millis(rapid.IntRange(10, 150).Draw(t, "gap")))
			f.gossip(func(_, _ int) bool { return true })
		}
		const window = 8 * mn.Second
		for _, end := range spends {
			sum := 0.0
			for _, s := range spends {
				if s.at > end.at-window && s.at <= end.at {
					sum += s.cost
				}
			}
			unknown := float64(most) * cost
			require.LessOrEqual(t, sum, (rate*8+burst)*1.1+unknown)
		}
	})
}

// All fronts are killed while a customer sends more than its rate; they know
// nothing of the window before.
func TestRestartOfAllFrontsDoesNotGrantAnotherWindow(t *testing.T) {
	clock := mn.NewManualClock(1_000_000)
	tolerance := Tolerance{Window: 8 * mn.Second, Share: 0.1}
	m := New(tolerance, clock)
	m.SetRates(subs(10_000, 10_000))
	clock.Advance(mn.Minute)
	spent := 0.0
	take := func(span mn.Millis) {
		for range span / 10 {
			for {
				if _, ok := m.Take("c", 100); !ok {
					break
				}
				spent += 100
			}
			clock.Advance(10)
		}
	}
	take(1000)
	m = New(tolerance, clock)
	m.SetRates(subs(10_000, 10_000))
	take(7000)
	require.LessOrEqual(t, spent, (10_000*8+10_000)*1.1)
	require.Greater(t, spent, 10_000*8.0, "customers have their rate all the while")
}

// The platform judges windows of 8 s, and tolerates a tenth over and 1,000 more.
func TestSpendingFollowsThePlatformsWindow(t *testing.T) {
	clock := mn.NewManualClock(1_000_000)
	m := New(Tolerance{Window: 8 * mn.Second, Share: 0.1, Slack: 1000}, clock)
	declared := subs(1000, 1000)
	declared[0].ByToken = true
	m.SetRates(declared)
	clock.Advance(mn.Minute)
	type spend struct {
		at   mn.Millis
		cost float64
	}
	var spends []spend
	total := 0.0
	for range 4000 { // 40 s of a customer that takes what it gets.
		for {
			if _, ok := m.Take("c", 10); !ok {
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
	require.Greater(t, total, 0.9*5*((1000*8+1000)*1.05+500), "nothing is refused that the window has room for, but for a slot")
}

// All fronts are killed while a customer sends five times its rate through all of
// them, and find one another some time after they are back.
func TestRestartedFrontsCountPeerSpendingBeforeFirstExchange(t *testing.T) {
	const rate, burst, cost, count = 500_000.0, 500_000.0, 1000.0, 22
	clock := mn.NewManualClock(1_000_000)
	tolerance := Tolerance{Window: 8 * mn.Second, Share: 0.1}
	f := &fleet{clock: clock}
	start := func(incarnation mn.Incarnation) {
		f.meters, f.vms = nil, nil
		for i := range count {
			m := New(tolerance, clock)
			m.SetRates(subs(rate, burst))
			f.meters, f.vms = append(f.meters, m), append(f.vms, mn.VMID(fmt.Sprint("front-", i)))
		}
		f.incarnation = incarnation
	}
	spent := 0.0
	run := func(span mn.Millis, linked bool) {
		for step := range int(span / 50) {
			for n := range int(5 * rate / cost / 20) {
				if _, ok := f.meters[(step+n)%count].Take("c", cost); ok {
					spent += cost
				}
			}
			clock.Advance(50)
			if step%4 == 3 {
				f.gossip(func(_, _ int) bool { return linked })
			}
		}
	}
	start("1")
	clock.Advance(mn.Minute)
	f.gossip(func(_, _ int) bool { return true })
	run(4000, true)
	start("2")
	run(600, false)
	f.gossip(func(_, _ int) bool { return true })
	run(3400, true)
	t.Logf("spent %.0f of %.0f", spent, (rate*8+burst)*1.1)
	require.LessOrEqual(t, spent, (rate*8+burst)*1.1)
}

// Many fronts hear of one another seldom: whole facts go round every 25 ms times
// the fronts.
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
				m := New(Tolerance{Window: 8 * mn.Second, Share: 0.1}, clock)
				m.SetRates(subs(rate, burst))
				f.meters, f.vms = append(f.meters, m), append(f.vms, mn.VMID(fmt.Sprint("front-", i)))
			}
			f.gossip(func(_, _ int) bool { return true })
			clock.Advance(mn.Minute)
			f.gossip(func(_, _ int) bool { return true })
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
					if _, ok := f.meters[front].Take("c", tt.cost); ok {
						sum += tt.cost
					}
				}
				sums = append(sums, sum)
				total += sum
				clock.Advance(50)
				// Each front speaks to the others at moments of its own.
				for from := range f.meters {
					for to := range f.meters {
						if from != to && (step+from)%11 == 0 {
							f.meters[to].ReceiveState(mn.FrontState{VM: f.vms[from], Scope: mn.ScopeAll, Spent: f.meters[from].Spent()})
						}
					}
				}
			}
			most := 0.0
			for i := range sums {
				window := 0.0
				for _, s := range sums[i:min(len(sums), i+160)] {
					window += s
				}
				most = max(most, window)
			}
			t.Logf("most in a window %.0f of %.0f, in all %.0f", most, (rate*8+burst)*1.1, total)
			require.LessOrEqual(t, most, (rate*8+burst)*1.1)
			require.Greater(t, total, 0.95*rate*steps/20, "of the rate")
		})
	}
}

// What a front says has changed is no sum of what it spent, unless all was heard
// before.
func TestChangesNeedAFullStateFirst(t *testing.T) {
	clock := mn.NewManualClock(1_000_000)
	m := New(Tolerance{}, clock)
	m.SetRates(subs(1000, 1000))
	hear := func(scope mn.StateScope, spent map[mn.CustomerID]float64) {
		m.ReceiveState(mn.FrontState{VM: "other", Scope: scope, Uptime: mn.Hour, Spent: spent})
	}
	hear(mn.ScopeChanges, map[mn.CustomerID]float64{"c": 5_000_000})
	hear(mn.ScopeAll, map[mn.CustomerID]float64{"c": 5_000_100, "d": 7})
	hear(mn.ScopeChanges, map[mn.CustomerID]float64{"c": 5_000_500})
	hear(mn.ScopeChanges, map[mn.CustomerID]float64{"d": 9})
	hear(mn.ScopeAll, map[mn.CustomerID]float64{"c": 5_000_500, "d": 9})
	_, ok := m.Take("c", 600)
	require.True(t, ok)
	_, ok = m.Take("c", 1)
	require.False(t, ok, "400 of 1,000 were spent elsewhere, and 600 here")
}
