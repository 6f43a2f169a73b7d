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
	tracker := poison.New(poison.Config{CrashThreshold: 2, TTL: 100 * mn.Second, MaxSuspects: 3}, clock)
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
	require.Zero(t, tracker.Crashes("b"), "the oldest suspect was evicted")
	require.Equal(t, 1, tracker.Crashes("e"))
	clock.Advance(100 * mn.Second)
	require.Zero(t, tracker.Crashes("e"))
}

// Peers repeat their records for seconds, and send them all to a front that has started.
func TestClearedSuspectStaysCleared(t *testing.T) {
	clock := mn.NewManualClock(1000)
	config := poison.Config{CrashThreshold: 3, TTL: 100 * mn.Second, MaxSuspects: 3}
	tracker, started := poison.New(config, clock), poison.New(config, clock)
	for n := range 3 {
		sound := mn.CrashRecord{Fingerprint: "sound", VM: mn.VMID(fmt.Sprint("vm-", n)), SeenAt: clock.Wall()}
		tracker.Add(sound)
		tracker.Add(mn.CrashRecord{Fingerprint: "poison", VM: sound.VM, SeenAt: sound.SeenAt})
		clock.Advance(10)
		if n < 2 {
			tracker.Clear("sound")
			tracker.Add(sound)
		}
	}
	require.Equal(t, 1, tracker.Crashes("sound"))
	require.Len(t, tracker.Records(100), 3)
	for _, r := range tracker.Records(100) {
		started.Add(r)
	}
	require.NotNil(t, started.Check("poison"))
	require.Zero(t, started.Crashes("sound"))
}

// A poison request runs in batches with harmless ones, and all requests of a crashed
// batch are retried. It must crash exactly two endpoints, and no harmless request may be
// quarantined, as would happen if every request of a crashed batch counted each time.
func TestOnlyTheCulpritOfABatchIsQuarantined(t *testing.T) {
	const culprit, endpoints, perBatch = "poison", 4, 8
	random := rand.New(rand.NewPCG(1, 2))
	for range 50 {
		clock := mn.NewManualClock(1000)
		tracker := poison.New(poison.DefaultConfig(), clock)
		quarantines := make([]*poison.Quarantine, endpoints)
		for i := range quarantines {
			quarantines[i] = poison.NewQuarantine(tracker)
		}
		pending := []string{culprit}
		for i := range endpoints*perBatch - 1 {
			pending = append(pending, fmt.Sprint("harmless-", i))
		}
		crashes := 0
		for len(pending) > 0 {
			random.Shuffle(len(pending), func(i, j int) { pending[i], pending[j] = pending[j], pending[i] })
			var again []string
			for i, q := range quarantines {
				batch := share(pending, i, endpoints)
				crashed, unfinished := runBatch(t, q, tracker, clock, mn.VMID(fmt.Sprint(i)), batch, culprit)
				again = append(again, unfinished...)
				if crashed {
					crashes++
				}
			}
			pending = again
		}
		require.Equal(t, 2, crashes)
		require.Equal(t, 1, tracker.Quarantined())
		require.NotNil(t, tracker.Check(culprit))
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
func runBatch(t *testing.T, q *poison.Quarantine, tracker *poison.Tracker, clock *mn.ManualClock, vm mn.VMID, batch []string, culprit string) (crashed bool, again []string) {
	admitted := map[string]*poison.Admission{}
	for _, f := range batch {
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond/10)
		a, err := q.Admit(ctx, func() string { return f })
		cancel()
		switch {
		case err == nil:
			admitted[f] = a
		case mn.CodeOf(err) != mn.Quarantined:
			again = append(again, f)
		}
	}
	_, crashed = admitted[culprit]
	if crashed {
		clock.Advance(2 * mn.Second)
		for _, f := range admitted[culprit].TakeSuspects() {
			tracker.Add(mn.CrashRecord{Fingerprint: f, VM: vm, SeenAt: clock.Wall()})
		}
	}
	for f, a := range admitted {
		a.End(!crashed)
		if crashed {
			again = append(again, f)
		}
	}
	return crashed, again
}
