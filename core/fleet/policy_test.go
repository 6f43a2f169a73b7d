package fleet_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	mn "mustardnotch"
	"mustardnotch/core/fleet"
)

// TestEvaluateClosedForm compares Evaluate with results in closed form: the served
// share is the capacity divided by the load.
func TestEvaluateClosedForm(t *testing.T) {
	tests := []struct {
		counts          fleet.RoleCounts
		loads           fleet.CustomerLoads
		goodput, served float64
	}{
		{fleet.RoleCounts{Prefill: 3, Decode: 9}, fleet.CustomerLoads{"a": {Prefill: 3, Decode: 9}}, 12, 1},
		{fleet.RoleCounts{Prefill: 3, Decode: 9}, fleet.CustomerLoads{"a": {Prefill: 6, Decode: 6}}, 6, 0.5},
		{fleet.RoleCounts{Mixed: 10}, fleet.CustomerLoads{"a": {Prefill: 4, Decode: 12}}, 8, 0.5},
		{fleet.RoleCounts{Prefill: 4, Decode: 4}, fleet.CustomerLoads{"a": {Prefill: 1, Decode: 1}, "b": {Prefill: 9, Decode: 3}}, 6, 1.0 / 3},
		{fleet.RoleCounts{}, fleet.CustomerLoads{}, 0, 1},
		{fleet.RoleCounts{Decode: 2}, fleet.CustomerLoads{"a": {Prefill: 1, Decode: 1}}, 0, 0},
	}
	for _, tt := range tests {
		s := tt.counts.Evaluate(tt.loads, 0.8)
		require.InDelta(t, tt.goodput, s.Goodput, 1e-6, "%+v", tt)
		require.InDelta(t, tt.served, s.WorstShare, 1e-6, "%+v", tt)
	}
}

// fakePool is a pool whose engines are out of service for five seconds at a role
// change.
type fakePool struct {
	engines   []fleet.EngineInfo
	awayUntil map[mn.VMID]mn.Millis
	changes   map[mn.VMID]int
}

func newPool(prefill, decode, mixed int) *fakePool {
	p := &fakePool{awayUntil: map[mn.VMID]mn.Millis{}, changes: map[mn.VMID]int{}}
	add := func(n int, r mn.EngineRole) {
		for range n {
			p.engines = append(p.engines, fleet.EngineInfo{VM: mn.VMID(fmt.Sprint("vm", len(p.engines))), Role: r})
		}
	}
	add(prefill, mn.EnginePrefill)
	add(decode, mn.EngineDecode)
	add(mixed, mn.EngineMixed)
	return p
}

func (p *fakePool) serving(now mn.Millis) (fleet.RoleCounts, []fleet.EngineInfo) {
	var s fleet.RoleCounts
	var inService []fleet.EngineInfo
	for _, e := range p.engines {
		if now < p.awayUntil[e.VM] {
			continue
		}
		inService = append(inService, e)
		switch e.Role {
		case mn.EnginePrefill:
			s.Prefill++
		case mn.EngineDecode:
			s.Decode++
		default:
			s.Mixed++
		}
	}
	return s, inService
}

func (p *fakePool) order(now mn.Millis, c fleet.RoleChange) {
	for i := range p.engines {
		if p.engines[i].VM == c.VM {
			p.engines[i].Role = c.To
			p.awayUntil[c.VM] = now + 5*mn.Second
			p.changes[c.VM]++
		}
	}
}

// run serves ten minutes of load in which the prefill share moves from 1/4 to 3/4
// within two minutes. It returns the means of the goodput and of the share of the
// worst-served customer. If roles is nil, no engine changes its role.
func (p *fakePool) run(roles *fleet.RolePolicy) (goodput, worst float64) {
	random := rand.New(rand.NewPCG(1, 2))
	forecasts := map[mn.CustomerID]*fleet.Forecast{}
	shares := map[mn.CustomerID]float64{}
	const steps = 600
	for s := range steps {
		now := mn.Millis(s) * mn.Second
		share := 0.25 + 0.5*math.Min(math.Max(float64(s-120)/120, 0), 1)
		loads, ahead := fleet.CustomerLoads{}, fleet.CustomerLoads{}
		for c, size := range map[mn.CustomerID]float64{"bank": 5, "notary": 4, "tax": 1, "press": 0.5, "floor": 0.5} {
			noise := 0.9 + 0.2*random.Float64()
			loads[c] = fleet.Load{Prefill: size * share * noise, Decode: size * (1 - share) * noise}
			if forecasts[c] == nil {
				forecasts[c] = &fleet.Forecast{Level: 0.2, Trend: 0.05}
			}
			forecasts[c].Add(now, loads[c])
			ahead[c] = forecasts[c].Predict(20 * mn.Second)
		}
		counts, inService := p.serving(now)
		level := counts.Evaluate(loads, 0.8)
		goodput += level.Goodput / steps
		for c := range loads {
			shares[c] += level.WorstShare / steps
		}
		if roles == nil || len(inService) < len(p.engines) {
			continue
		}
		if c, ok := roles.Next(inService, ahead); ok {
			p.order(now, c)
			roles.RecordChange(c, ahead)
		}
	}
	worst = 1
	for _, level := range shares {
		worst = min(worst, level)
	}
	return goodput, worst
}

// TestRolePolicyFollowsLoad compares the policy with static roles under a load that
// shifts from decode to prefill. The policy has to give more goodput and a higher
// share for the worst-served customer. An engine may change its role once at the
// start and once for the shift.
func TestRolePolicyFollowsLoad(t *testing.T) {
	for name, newTestPool := range map[string]func() *fakePool{
		"dedicated": func() *fakePool { return newPool(3, 9, 0) },
		"mixed":     func() *fakePool { return newPool(0, 0, 12) },
	} {
		static, staticWorst := newTestPool().run(nil)
		p := newTestPool()
		settings := fleet.DefaultRoleSettings()
		settings.MixedEfficiency = 0.8
		goodput, worst := p.run(fleet.NewRolePolicy(settings))
		total := 0
		for vm, n := range p.changes {
			require.LessOrEqual(t, n, 2, "%s: at most one change at the start and one for the shift", vm)
			total += n
		}
		t.Logf("%s: goodput %.2f against %.2f, worst share %.2f against %.2f, %d changes", name, goodput, static, worst, staticWorst, total)
		require.Greater(t, goodput, static*1.02)
		require.Greater(t, worst, staticWorst)
	}
}

// TestNoFlapping guards against role and size changes that follow noise. Under a
// steady load with noise, no role and hardly any size changes.
func TestNoFlapping(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	roles := fleet.NewRolePolicy(fleet.DefaultRoleSettings())
	sizer := fleet.NewSizer(fleet.DefaultSizeSettings())
	p := newPool(6, 6, 0)
	current, orders := int64(8), 0
	for s := range 3600 {
		noise := 0.8 + 0.4*random.Float64()
		_, inService := p.serving(0)
		_, ok := roles.Next(inService, fleet.CustomerLoads{"a": {Prefill: 5 * noise, Decode: 5 * (2 - noise)}})
		require.False(t, ok)
		target := sizer.Target(mn.Millis(s)*mn.Second, 5.9*noise, current, 2, 20)
		if target != current {
			orders++
			current = target
		}
	}
	require.LessOrEqual(t, orders, 4)
	require.LessOrEqual(t, current, int64(10))
}

// TestSizeFollowsDemand checks that the size never falls below the load, and that
// the pool runs fewer endpoints on average than one of the fixed size for the peak.
func TestSizeFollowsDemand(t *testing.T) {
	sizer := fleet.NewSizer(fleet.DefaultSizeSettings())
	current, orders, short := int64(2), 0, 0
	var paid, fixed float64
	for s := range 7200 {
		load := 6 + 5*math.Sin(2*math.Pi*float64(s)/3600)
		target := sizer.Target(mn.Millis(s)*mn.Second, load, current, 2, 20)
		if target != current {
			orders++
			current = target
		}
		if float64(current) < load {
			short++
		}
		paid += float64(current)
		fixed += math.Ceil(11 / 0.75)
	}
	t.Logf("%.0f engine-seconds against %.0f, %d orders", paid, fixed, orders)
	require.Zero(t, short)
	require.Less(t, paid, 0.8*fixed)
	require.Less(t, orders, 64)
}

// TestSizeKeepsDeclaredBounds checks that bounds on the size apply immediately,
// whatever the load was before.
func TestSizeKeepsDeclaredBounds(t *testing.T) {
	sizer := fleet.NewSizer(fleet.DefaultSizeSettings())
	require.EqualValues(t, 12, sizer.Target(0, 9, 4, 2, 20))
	require.EqualValues(t, 5, sizer.Target(mn.Second, 9, 12, 2, 5))
	require.EqualValues(t, 7, sizer.Target(2*mn.Second, 0, 5, 7, 20))
}

func TestSpread(t *testing.T) {
	tests := []struct {
		total         int64
		demand        map[mn.DataCentre]float64
		current, want map[mn.DataCentre]int64
	}{
		{4, map[mn.DataCentre]float64{"a": 3, "b": 1}, map[mn.DataCentre]int64{"a": 2, "b": 2}, map[mn.DataCentre]int64{"a": 2, "b": 2}},
		{6, map[mn.DataCentre]float64{"a": 4, "b": 1}, map[mn.DataCentre]int64{"a": 2, "b": 2}, map[mn.DataCentre]int64{"a": 4, "b": 2}},
		{2, map[mn.DataCentre]float64{"a": 4, "b": 1}, map[mn.DataCentre]int64{"a": 2, "b": 2}, map[mn.DataCentre]int64{"a": 1, "b": 1}},
		{4, map[mn.DataCentre]float64{"a": 0, "b": 0}, nil, map[mn.DataCentre]int64{"a": 2, "b": 2}},
		{3, nil, nil, map[mn.DataCentre]int64{}},
	}
	for _, tt := range tests {
		require.Equal(t, tt.want, fleet.Spread(tt.total, tt.demand, tt.current), "%+v", tt)
	}
}
