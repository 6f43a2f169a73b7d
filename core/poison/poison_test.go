package poison_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	mn "mustardnotch"
	"mustardnotch/core/poison"
)

func Example() {
	clock := mn.NewSystemClock()
	tracker := poison.New(poison.DefaultConfig(), clock)
	hash := poison.Fingerprint("taalpers", "prompt")
	tracker.Add(mn.CrashRecord{Fingerprint: hash, VM: "vm-1", SeenAt: clock.Wall()})
	fmt.Println(tracker.Check(hash) == nil)
	tracker.Add(mn.CrashRecord{Fingerprint: hash, VM: "vm-2", SeenAt: clock.Wall()})
	fmt.Println(tracker.Check(hash).Code)
	// Output:
	// true
	// MN305
}

func TestTracker(t *testing.T) {
	clock := mn.NewManualClock(1000)
	tracker := poison.New(poison.Config{MaxCrashes: 2, TTL: 100 * mn.Second, MaxSuspects: 3}, clock)
	add := func(f string, vm mn.VMID) { tracker.Add(mn.CrashRecord{Fingerprint: f, VM: vm, SeenAt: clock.Wall()}) }

	add("a", "vm-1")
	add("a", "vm-1")
	require.Equal(t, 1, tracker.Crashes("a"), "one crash reported twice")
	tracker.Clear("a")
	require.Zero(t, tracker.Crashes("a"))

	add("b", "vm-1")
	clock.Advance(2 * mn.Second)
	add("b", "vm-1")
	require.NotNil(t, tracker.Check("b"), "the only endpoint of a pool crashed twice")
	tracker.Clear("b")
	require.Equal(t, 1, tracker.Quarantined())

	for _, f := range []string{"c", "d", "e"} {
		clock.Advance(1)
		add(f, "vm-2")
	}
	require.Zero(t, tracker.Crashes("b"), "the oldest made room")
	require.Equal(t, 1, tracker.Crashes("e"))
	clock.Advance(100 * mn.Second)
	require.Zero(t, tracker.Crashes("e"))
}

// A poison request in batches of innocents crashes two endpoints and no more,
// and no innocent is quarantined, although all of them are retried. Counting
// every request of a crashed batch instead quarantines innocents.
func TestBatchCrashSparesInnocents(t *testing.T) {
	const poisonPrint, endpoints, perBatch = "poison", 4, 8
	random := rand.New(rand.NewPCG(1, 2))
	for range 50 {
		clock := mn.NewManualClock(1000)
		tracker := poison.New(poison.DefaultConfig(), clock)
		wards := make([]*poison.Quarantine, endpoints)
		for i := range wards {
			wards[i] = poison.NewQuarantine(tracker)
		}
		pending := []string{poisonPrint}
		for i := range endpoints*perBatch - 1 {
			pending = append(pending, fmt.Sprint("innocent-", i))
		}
		crashes := 0
		for len(pending) > 0 {
			random.Shuffle(len(pending), func(i, j int) { pending[i], pending[j] = pending[j], pending[i] })
			var again []string
			for i, w := range wards {
				batch := share(pending, i, endpoints)
				crashed, left := runBatch(t, w, tracker, clock, mn.VMID(fmt.Sprint(i)), batch, poisonPrint)
				again = append(again, left...)
				if crashed {
					crashes++
				}
			}
			pending = again
		}
		require.Equal(t, 2, crashes)
		require.Equal(t, 1, tracker.Quarantined())
		require.NotNil(t, tracker.Check(poisonPrint))
	}
}

func share(all []string, i, n int) []string {
	var mine []string
	for j := i; j < len(all); j += n {
		mine = append(mine, all[j])
	}
	return mine
}

// runBatch runs a batch on one endpoint and returns what has to run again.
func runBatch(t *testing.T, w *poison.Quarantine, tracker *poison.Tracker, clock *mn.ManualClock, vm mn.VMID, batch []string, bad string) (crashed bool, again []string) {
	stays := map[string]*poison.Admission{}
	for _, f := range batch {
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond/10)
		s, err := w.Admit(ctx, func() string { return f })
		cancel()
		switch {
		case err == nil:
			stays[f] = s
		case mn.CodeOf(err) != mn.Quarantined:
			again = append(again, f)
		}
	}
	_, crashed = stays[bad]
	if crashed {
		clock.Advance(2 * mn.Second)
		for _, f := range stays[bad].ReportCrash() {
			tracker.Add(mn.CrashRecord{Fingerprint: f, VM: vm, SeenAt: clock.Wall()})
		}
	}
	for f, s := range stays {
		s.End(!crashed)
		if crashed {
			again = append(again, f)
		}
	}
	return crashed, again
}
