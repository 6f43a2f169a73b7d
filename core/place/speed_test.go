package place

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	mn "mustardnotch"
)

// speedFleet is a number of fronts that observe the prefills of the same engines.
type speedFleet struct {
	clock     *mn.ManualClock
	balancers []*Balancer
	cursors   []Cursor
	prefill   []mn.Endpoint
}

func newSpeedFleet(fronts, prefillEngines int) *speedFleet {
	f := &speedFleet{clock: mn.NewManualClock(1_000_000), cursors: make([]Cursor, fronts)}
	list := engines()
	for i := range prefillEngines {
		e := list[0]
		e.ID, e.Role = mn.EndpointID(fmt.Sprint("prefill-", i)), mn.EnginePrefill
		f.prefill = append(f.prefill, e)
	}
	for range fronts {
		b := newBalancer(f.clock, "dc-0")
		b.SetEndpoints(append(append([]mn.Endpoint(nil), list...), f.prefill...))
		f.balancers = append(f.balancers, b)
	}
	return f
}

// observe has a front observe a prefill.
func (f *speedFleet) observe(front, engine int, slowdown float64) {
	f.balancers[front].endpoints[f.prefill[engine].ID].speed.observe(slowdown, f.clock.Now())
}

// exchange has all fronts send what they observed to all others.
func (f *speedFleet) exchange() {
	for i, b := range f.balancers {
		state := mn.FrontState{VM: mn.VMID(fmt.Sprint("front-", i)), Incarnation: "1", Scope: mn.ScopeChanges}
		b.AddState(&state, &f.cursors[i], false)
		for j, other := range f.balancers {
			if j != i {
				other.ReceiveState(state)
			}
		}
	}
	f.clock.Advance(speedUpdateInterval)
	for _, b := range f.balancers {
		b.updateSpeeds(pool, b.engines[pool], f.clock.Now())
	}
}

func (f *speedFleet) factor(front, engine int) float64 {
	return f.balancers[front].endpoints[f.prefill[engine].ID].speed.factor()
}

// Load pattern: nineteen prefill engines of three speeds get 60 long prompts a second from 30
// fronts, so that a front sees each of them a few times in half a minute, and one in seven prefills
// is slowed down for a moment. Guards against fronts that take all engines for alike.
func TestFrontsLearnSpeedsTogether(t *testing.T) {
	const fronts, engineCount = 30, 19
	random := rand.New(rand.NewPCG(1, 2))
	f := newSpeedFleet(fronts, engineCount)
	speeds := []float64{0.6, 1, 1.6}
	for second := range 20 {
		for range 60 {
			engine := random.IntN(engineCount)
			slowdown := speeds[engine%3] * (0.85 + 0.3*random.Float64())
			if random.IntN(7) == 0 {
				slowdown *= 2.5
			}
			f.observe(random.IntN(fronts), engine, slowdown)
		}
		if second%5 == 4 {
			f.clock.Advance(timingsInterval)
			f.exchange()
		}
	}
	for engine := range engineCount {
		require.InEpsilon(t, speeds[engine%3], f.factor(0, engine), 0.25, "engine %d", engine)
	}
	r := f.balancers[0].SpeedRanges()[pool]
	require.InEpsilon(t, speeds[0], r.Fastest, 0.25)
	require.InEpsilon(t, speeds[2], r.Slowest, 0.25)
	require.EqualValues(t, engineCount-engineCount/3, r.Shared, "those that are not typical")
}

// Load pattern: engines are alike, and a third of the prefills waits behind requests of other
// fronts that nobody knew of, more at some engines than at others. Guards against taking such
// waits for the speed of an engine.
func TestHiddenWaitsAreNoSpeed(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	f := newSpeedFleet(5, 12)
	for range 600 {
		engine := random.IntN(12)
		slowdown := 0.9 + 0.2*random.Float64()
		if random.IntN(100) < 25+engine {
			slowdown += 3 * random.Float64()
		}
		f.observe(random.IntN(5), engine, slowdown)
	}
	f.exchange()
	for engine := range 12 {
		require.EqualValues(t, 1, f.factor(0, engine), "engine %d", engine)
	}
}

// Failure: a front restarts, and old observations lose their meaning. Guards against counting a
// front's observations twice or for ever, and against too much trust in one of them.
func TestSpeedsOfFrontsThatRestartOrFallSilent(t *testing.T) {
	f := newSpeedFleet(2, 3)
	f.observe(0, 2, 4)
	f.exchange()
	require.EqualValues(t, 1, f.factor(1, 2), "one observation proves nothing")
	for range 9 {
		f.observe(0, 2, 2)
		f.observe(0, 1, 1)
	}
	f.clock.Advance(timingsInterval)
	f.exchange()
	require.InEpsilon(t, 2, f.factor(1, 2), 0.2)
	f.balancers[1].ReceiveState(mn.FrontState{VM: "front-0", Incarnation: "2", Scope: mn.ScopeAll})
	f.clock.Advance(speedUpdateInterval)
	f.balancers[1].updateSpeeds(pool, f.balancers[1].engines[pool], f.clock.Now())
	require.EqualValues(t, 1, f.factor(1, 2), "the front has restarted and observed nothing")
	f.clock.Advance(3 * speedSpan)
	f.balancers[0].updateSpeeds(pool, f.balancers[0].engines[pool], f.clock.Now())
	f.clock.Advance(speedSpan)
	f.balancers[0].updateSpeeds(pool, f.balancers[0].engines[pool], f.clock.Now())
	require.EqualValues(t, 1, f.factor(0, 2), "its own observations expire")
}

// Guards against a peer's counts that don't have the expected form.
func TestSpeedCountsOfAnyLength(t *testing.T) {
	var c speedCounts
	c.add(make([]uint32, 10*speedBuckets))
	c.add(nil)
	c.add([]uint32{1})
	require.EqualValues(t, 1, c.median())
	for _, slowdown := range []float64{math.NaN(), math.Inf(-1), -1, 0, 1e-9, 1, 1e9, math.Inf(1)} {
		require.GreaterOrEqual(t, bucketOf(slowdown), 0)
		require.Less(t, bucketOf(slowdown), speedBuckets)
	}
	require.InDelta(t, 1, slowdownOf(bucketOf(1)), 1e-9)
}
