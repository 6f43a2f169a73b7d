package procs_test

import (
	"context"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	mn "mustardnotch"
	"mustardnotch/fakes"
	"mustardnotch/gen/apipb"
	"mustardnotch/io/caller"
	"mustardnotch/procs"
)

const (
	bookings        = 60
	bookingInterval = 50 * time.Millisecond
	bookingRunTime  = 150 // ms, the unit of fakes.CallMillis
	bookingTimeout  = 20 * time.Second
)

// retryingClient returns a client of entry-1 to entry-N, where N is the parameter
// entries. It tries them in order, starting with the one at index first.
func retryingClient(c *procs.Cluster, key string, first, entries int) *caller.RetryingClient {
	var bases []string
	for i := range entries {
		bases = append(bases, c.Nodes[mn.VMID(fmt.Sprintf("entry-%d", (first+i)%entries+1))].CallerURL())
	}
	return caller.NewRetryingClient(bases, key, mn.NewSystemClock())
}

// bookingRuns returns how often each booking ran at all plain services together, by
// the quoted body.
func bookingRuns(t *testing.T, c *procs.Cluster) map[string]int {
	t.Helper()
	runs := map[string]int{}
	for _, n := range c.Nodes {
		if n.VM.Pool != "orderbalie" {
			continue
		}
		data, err := os.ReadFile(n.RunsFile)
		require.NoError(t, err)
		for _, line := range strings.Split(strings.TrimSpace(string(data)), "\n") {
			if line != "" {
				runs[line[strings.LastIndex(line, "\t")+1:]]++
			}
		}
	}
	return runs
}

// bookingResult is the result of one booking for its caller.
type bookingResult struct {
	body string
	err  error
}

// sendBookings sends bookings at a constant rate through all entries.
func sendBookings(ctx context.Context, c *procs.Cluster) []bookingResult {
	var mu sync.Mutex
	var results []bookingResult
	var wg sync.WaitGroup
	for i := range bookings {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, bookingTimeout)
			defer cancel()
			body := fmt.Sprintf("reel %d", i)
			_, err := retryingClient(c, voeringKey, i, 3).Call(ctx, &apipb.CallRequest{Pool: "orderbalie", Path: "book", Body: []byte(body)})
			mu.Lock()
			defer mu.Unlock()
			results = append(results, bookingResult{body, err})
		})
		time.Sleep(bookingInterval)
	}
	wg.Wait()
	return results
}

// TestBookings sends bookings while a process on their path fails. It guards against
// a booking that runs twice, one that was answered but never ran, and one reported
// as not run that did run. maxUnknown limits the errors with an unknown outcome.
func TestBookings(t *testing.T) {
	for name, fault := range map[string]struct {
		inject     func(t *testing.T, c *procs.Cluster)
		maxUnknown int
	}{
		"no fault": {func(*testing.T, *procs.Cluster) {}, 0},
		"entry killed": {func(t *testing.T, c *procs.Cluster) {
			c.Nodes["entry-1"].Proc.Kill()
		}, 0},
		"agent killed and restarted": {func(t *testing.T, c *procs.Cluster) {
			c.Nodes["orderbalie-1"].Proc.Kill()
			time.Sleep(300 * time.Millisecond)
			require.NoError(t, c.Restart(c.Nodes["orderbalie-1"]))
		}, 8},
		"endpoint killed and restarted": {func(t *testing.T, c *procs.Cluster) {
			c.Nodes["orderbalie-1"].Endpoint.Kill()
			time.Sleep(300 * time.Millisecond)
			require.NoError(t, c.StartEndpoint(c.Nodes["orderbalie-1"]))
		}, 8},
		"endpoint crashes before a run": {func(t *testing.T, c *procs.Cluster) {
			crashEndpoint(t, c, fakes.CrashBefore)
		}, 8},
		"endpoint crashes after a run": {func(t *testing.T, c *procs.Cluster) {
			crashEndpoint(t, c, fakes.CrashAfter)
		}, 8},
		"answers lost": {func(t *testing.T, c *procs.Cluster) {
			require.NoError(t, c.SetFault(c.Nodes["orderbalie-1"].EndpointURL(), fakes.AnswerLost, 2))
		}, 2},
		"agent paused": {func(t *testing.T, c *procs.Cluster) {
			pauseAndResume(t, c.Nodes["orderbalie-1"].Proc)
		}, 0},
		"entry paused": {func(t *testing.T, c *procs.Cluster) {
			pauseAndResume(t, c.Nodes["entry-1"].Proc)
		}, 0},
		"endpoint paused": {func(t *testing.T, c *procs.Cluster) {
			pauseAndResume(t, c.Nodes["orderbalie-1"].Endpoint)
		}, 0},
		"log down, agent leaves and is replaced": {func(t *testing.T, c *procs.Cluster) {
			require.NoError(t, c.SetFault(c.PlatformURL(), fakes.LogDown, 1))
			time.Sleep(500 * time.Millisecond)
			require.NoError(t, c.SetFault(c.PlatformURL(), fakes.LogDown, 0))
			replaceAgent(t, c, "orderbalie-1")
		}, 0},
		"log down for six seconds, entry killed": {func(t *testing.T, c *procs.Cluster) {
			require.NoError(t, c.SetFault(c.PlatformURL(), fakes.LogDown, 1))
			time.Sleep(500 * time.Millisecond)
			c.Nodes["entry-1"].Proc.Kill()
			time.Sleep(5500 * time.Millisecond)
			require.NoError(t, c.SetFault(c.PlatformURL(), fakes.LogDown, 0))
		}, 0},
		"agents leave in turn": {func(t *testing.T, c *procs.Cluster) {
			replaceAgent(t, c, "orderbalie-1")
			replaceAgent(t, c, "orderbalie-2")
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 3, 0, 3)
			for _, n := range c.Nodes {
				if n.VM.Pool == "orderbalie" {
					require.NoError(t, c.SetFault(n.EndpointURL(), fakes.CallMillis, bookingRunTime))
				}
			}
			eventually(t, 6*mn.Second, func(ctx context.Context) error {
				_, err := retryingClient(c, voeringKey, 0, 3).Call(ctx, &apipb.CallRequest{Pool: "orderbalie", Path: "book", Body: []byte("warm")})
				return err
			})
			done := make(chan []bookingResult)
			go func() { done <- sendBookings(t.Context(), c) }()
			time.Sleep(bookings / 3 * bookingInterval)
			fault.inject(t, c)
			results := <-done
			checkBookings(t, bookingRuns(t, c), results, fault.maxUnknown)
		})
	}
}

func checkBookings(t *testing.T, runs map[string]int, results []bookingResult, maxUnknown int) {
	t.Helper()
	for body, n := range runs {
		require.Equal(t, 1, n, body)
	}
	unknown, notRun := 0, 0
	for _, b := range results {
		quoted := fmt.Sprintf("%q", b.body)
		switch {
		case b.err == nil:
			require.Equal(t, 1, runs[quoted], "%s was answered", b.body)
		case mn.AsError(b.err).Outcome == mn.OutcomeNotRun:
			notRun++
			t.Logf("not run: %v", b.err)
			require.Zero(t, runs[quoted], "%s: %v", b.body, b.err)
		default:
			unknown++
			t.Logf("unknown: %v", b.err)
		}
	}
	t.Logf("%d bookings: %d unknown, %d not run", len(results), unknown, notRun)
	require.LessOrEqual(t, unknown, maxUnknown)
	require.LessOrEqual(t, notRun, 0)
}

func crashEndpoint(t *testing.T, c *procs.Cluster, fault string) {
	n := c.Nodes["orderbalie-1"]
	require.NoError(t, c.SetFault(n.EndpointURL(), fault, 1))
	require.Eventually(t, func() bool { return !n.Endpoint.Running() }, 5*time.Second, 10*time.Millisecond)
	time.Sleep(300 * time.Millisecond)
	require.NoError(t, c.StartEndpoint(n))
}

// pauseAndResume pauses p for 7 s, longer than the attempt timeout of retrying clients.
func pauseAndResume(t *testing.T, p *procs.Proc) {
	require.NoError(t, p.Pause())
	time.Sleep(7 * time.Second)
	require.NoError(t, p.Resume())
}

// replaceAgent shuts an agent down gracefully and restarts it.
func replaceAgent(t *testing.T, c *procs.Cluster, vm mn.VMID) {
	n := c.Nodes[vm]
	require.NoError(t, n.Proc.Terminate())
	code, err := n.Proc.Wait(10 * mn.Second)
	require.NoError(t, err)
	require.Zero(t, code)
	require.NoError(t, c.Restart(n))
}
