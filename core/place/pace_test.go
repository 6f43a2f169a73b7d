package place

import (
	"testing"

	"github.com/stretchr/testify/require"

	mn "mustardnotch"
)

func TestPace(t *testing.T) {
	var p pace
	require.EqualValues(t, 1, p.factor(1000), "no report")
	require.EqualValues(t, 1, p.usual())
	p.observe(100, 1000)
	require.InDelta(t, 1, p.factor(1000), 0.01)
	p.observe(250, 1000)
	require.InDelta(t, 2.5, p.factor(1000), 0.1)
	require.InDelta(t, 1.75, p.factor(1000+paceMemory/2), 0.1, "an old report counts for less")
	require.EqualValues(t, 1, p.factor(1000+paceMemory))
	p.observe(1_000_000, 2000)
	require.LessOrEqual(t, p.factor(2000), maxPace)
}

// Guards against engines that are taken for typical though they say that they are not, and
// against believing whatever an endpoint says.
func TestUsualPaceIsTheLowestSaidLately(t *testing.T) {
	var p pace
	for n := range mn.Millis(100) {
		said := int64(160)
		if n%3 == 0 {
			said = 400
		}
		p.observe(said, 1000+10*n)
	}
	require.InDelta(t, 1.6, p.usual(), 0.01)
	require.InDelta(t, 2.5, p.factor(1000+990), 0.1)
	for n := range 3 * usualMemory / 100 {
		p.observe(60, 3000+100*n)
	}
	require.InDelta(t, 0.6, p.usual(), 0.01, "it was moved to another VM")
	for n := range 3 * usualMemory / 100 {
		p.observe(300, 50_000+100*n)
	}
	require.InDelta(t, 3, p.usual(), 0.01, "what was said before is forgotten")
	require.InDelta(t, 1, p.factor(50_000+3*usualMemory-100), 0.05)
	p.observe(1, 100_000)
	require.Equal(t, minUsualPace, p.usual())
	require.LessOrEqual(t, p.factor(100_000), maxPace)
}

// reportPaces has all engines of a balancer say that they are as fast as usual, but slowed down
// by a factor in a seventh of the reports, then as usual again.
func reportPaces(b *Balancer, clock *mn.ManualClock, factor int64) {
	for n := range 700 {
		for i, e := range engines() {
			pace := int64(100)
			if (n+i)%7 == 0 {
				pace *= factor
			}
			b.ObserveReply(e, mn.ReplyInfo{Pace: pace})
		}
	}
	clock.Advance(paceMemory)
}

// Load pattern: one engine is at half of the others' speed, so that its streams pause for longer
// than they may whenever its VM is slowed down, and it is idle while the others are in use.
// Guards against streams that are sent there because it is idle.
func TestStreamsAvoidEnginesThatMayPause(t *testing.T) {
	for name, tt := range map[string]struct {
		factor int64
		avoids bool
	}{
		"VMs are slowed down":     {4, true},
		"VMs are never slowed":    {1, false},
		"VMs are slowed a little": {2, false},
	} {
		t.Run(name, func(t *testing.T) {
			clock := mn.NewManualClock(1_000_000)
			b := newBalancer(clock, "dc-0")
			e := b.engines[pool]
			slow := b.endpoints[chosenTarget(t, b, clock)]
			slow.slowdown = 2
			e.pauseGoal = 2.5 * slow.slowdown * e.model.EventInterval(1)
			reportPaces(b, clock, tt.factor)
			if tt.factor > 1 {
				require.InDelta(t, 1.0/7, e.paces.slowShare, 0.05)
			}
			for _, s := range b.endpoints {
				if s != slow {
					s.requests = 3
				}
			}
			j := job(clock, short(1))
			j.Prompt.MaxOutput = 100
			risk := e.paces.pauseRisk(slow.slowdown*e.model.EventInterval(1), e.pauseGoal)
			require.Equal(t, tt.avoids, risk > 0)
			others := e.paces.pauseRisk(e.model.EventInterval(4), e.pauseGoal)
			require.Zero(t, others, "the others stay within the goal")
			p, c := b.Choose(j, true)
			require.Equal(t, Send, c)
			if tt.avoids {
				require.NotEqual(t, slow.ID, p.Target.ID)
			}
		})
	}
}

// chosenTarget returns the engine that an idle balancer chooses for a short prompt.
func chosenTarget(t *testing.T, b *Balancer, clock *mn.ManualClock) mn.EndpointID {
	t.Helper()
	p, _ := b.Choose(job(clock, short(1)), true)
	require.NotNil(t, p)
	b.Release(p)
	return p.Target.ID
}
