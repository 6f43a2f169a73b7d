package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	mn "mustardnotch"
)

// quarantines reports whether a front rejects requests with the segment.
func quarantines(f *Front, segment string) bool {
	_, err := f.segments.Admit(nil, []string{"first", segment}, f.segmentRank)
	return err != nil && err.Code == mn.Quarantined
}

// Engines crash with a segment at different fronts. All fronts reject it soon, also one
// that starts later, and one that the store rejects.
func TestDeadlySegmentIsKnownToAllFronts(t *testing.T) {
	c := newTestCluster(t, "a", "b", "c")
	c.eventually(func() bool { return c.fronts["a"].peers.count() == 3 && c.fronts["b"].peers.count() == 3 })
	time.Sleep(500 * time.Millisecond) // The first exchanges.
	for name := range c.fronts {
		c.store.SetDown(name, true)
	}
	crash := func(front string, n int, tried ...string) {
		c.fronts[front].segments.AddCrash(mn.EngineCrash{Endpoint: mn.EndpointID(fmt.Sprint("e-", n)), Segments: []string{fmt.Sprint("other-", n), "deadly"}, Tried: tried})
		c.fronts[front].balancer.RequestUrgentUpdate()
	}
	crash("a", 1)
	crash("b", 2)
	c.eventually(func() bool { return c.fronts["c"].segments.Status().Suspects == 1 })
	crash("c", 3, "deadly")
	crash("a", 4, "deadly")
	for _, f := range c.fronts {
		c.eventually(func() bool { return quarantines(f.Front, "deadly") })
		require.False(t, quarantines(f.Front, "other-1"))
	}
	for name := range c.fronts {
		c.store.SetDown(name, false)
	}
	c.start("d")
	c.eventually(func() bool { return quarantines(c.fronts["d"].Front, "deadly") })
}

// All fronts end at once after a segment was put into quarantine. Those that start
// afterwards reject it without another crash.
func TestDeadlySegmentIsKnownAfterAllFrontsHaveEnded(t *testing.T) {
	c := newTestCluster(t, "a", "b")
	c.eventually(func() bool { return c.fronts["a"].peers.count() == 2 && c.fronts["b"].peers.count() == 2 })
	for n := range 4 {
		crash := mn.EngineCrash{Endpoint: mn.EndpointID(fmt.Sprint("e-", n)), Segments: []string{fmt.Sprint("other-", n), "deadly"}}
		if n >= 2 {
			crash.Tried = []string{"deadly"}
		}
		c.fronts["a"].segments.AddCrash(crash)
	}
	c.eventually(func() bool { return quarantines(c.fronts["b"].Front, "deadly") })
	time.Sleep(storeCrashesInterval.Duration() + 300*time.Millisecond)
	for _, f := range c.fronts {
		f.stop()
	}
	for _, f := range c.fronts {
		require.NoError(t, <-f.done)
	}
	c.start("c")
	c.eventually(func() bool { return quarantines(c.fronts["c"].Front, "deadly") })
	require.False(t, quarantines(c.fronts["c"].Front, "other-1"))
}

// A request has crashed three endpoints while a front was away. The front must reject
// requests with the same content once it is back.
func TestRestartedFrontRejectsPoisonousRequest(t *testing.T) {
	c := newTestCluster(t, "a", "b")
	c.eventually(func() bool { return c.fronts["a"].peers.count() == 2 })
	a := c.fronts["a"]
	for n := range crashThreshold {
		crash := mn.CrashRecord{Fingerprint: "poison", VM: mn.VMID(fmt.Sprint("e-", n)), SeenAt: a.clock.Wall()}
		a.crashTracker.Add(crash)
		a.crashNotices.add(crash)
	}
	c.eventually(func() bool { return c.fronts["b"].crashTracker.Check("poison") != nil })
	time.Sleep(crashNoticeTTL.Duration())
	c.start("c")
	c.eventually(func() bool { return c.fronts["c"].crashTracker.Check("poison") != nil })
}

// All fronts end at once after a request has crashed several endpoints, once short of
// quarantine and once in it. Those that start afterwards go on counting.
func TestPoisonousRequestIsKnownAfterAllFrontsHaveEnded(t *testing.T) {
	for crashes := crashThreshold - 1; crashes <= crashThreshold; crashes++ {
		t.Run(fmt.Sprint(crashes, " crashes"), func(t *testing.T) {
			c := newTestCluster(t, "a", "b")
			c.eventually(func() bool { return c.fronts["a"].peers.count() == 2 && c.fronts["b"].peers.count() == 2 })
			a := c.fronts["a"]
			for n := range crashes {
				crash := mn.CrashRecord{Fingerprint: "poison", VM: mn.VMID(fmt.Sprint("e-", n)), SeenAt: a.clock.Wall()}
				a.crashTracker.Add(crash)
				a.crashNotices.add(crash)
			}
			a.crashTracker.Add(mn.CrashRecord{Fingerprint: "once", VM: "e-1", SeenAt: a.clock.Wall()})
			c.eventually(func() bool { return c.fronts["b"].crashTracker.Crashes("poison") == crashes })
			time.Sleep(storeCrashesInterval.Duration() + 300*time.Millisecond)
			for _, f := range c.fronts {
				f.stop()
			}
			for _, f := range c.fronts {
				require.NoError(t, <-f.done)
			}
			c.start("c")
			c.eventually(func() bool { return c.fronts["c"].crashTracker.Crashes("poison") == crashes })
			require.Equal(t, crashes == crashThreshold, c.fronts["c"].crashTracker.Check("poison") != nil)
			require.Zero(t, c.fronts["c"].crashTracker.Crashes("once"), "one crash is no sign yet")
		})
	}
}
