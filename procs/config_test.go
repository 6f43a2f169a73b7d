package procs_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	mn "mustardnotch"
	"mustardnotch/core/fresh"
	"mustardnotch/fakes"
	"mustardnotch/gen/apipb"
	"mustardnotch/io/oper"
	"mustardnotch/procs"
)

// Bounds within which a withdrawn key is no longer accepted and a change is in force
// at all processes.
const (
	withdrawalBound    = 5 * time.Second
	configurationBound = 6 * time.Second
)

// terminationSlack is how much later than the bound a stream may end for its client.
// An entry that was paused until the bound ends the stream only after it resumes.
const terminationSlack = 700 * time.Millisecond

// linkedCluster starts a cluster of entries and model engines with links between all
// processes. The engines take 20 ms a token. Unlike newCluster, it doesn't wait for one
// of clusterSlots.
func linkedCluster(t *testing.T, entries, engines int) *procs.Cluster {
	t.Helper()
	c, err := procs.New(binDir, t.TempDir())
	require.NoError(t, err)
	t.Cleanup(func() {
		c.Close()
		if t.Failed() {
			for _, n := range c.Nodes {
				t.Logf("%s: %s", n.VM.ID, n.Proc.Tail(3000))
			}
		}
	})
	c.UseLinks = true
	declare(t, c)
	for i := range entries {
		_, err := c.AddEntry(fmt.Sprintf("entry-%d", i+1), "tiel-a")
		require.NoError(t, err)
	}
	for i := range engines {
		n, err := c.AddEngine(fmt.Sprintf("taalpers-%d", i+1), "tiel-a", "taalpers", "taalpers")
		require.NoError(t, err)
		require.NoError(t, c.SetFault(n.EndpointURL(), fakes.TokenMillis, 20))
	}
	return c
}

func operatorClient(n *procs.Node) *oper.Client {
	return oper.NewClient(n.OperatorURL(), procs.OperatorToken)
}

// openStream is a generation that runs in the background of a test.
type openStream struct {
	mu     sync.Mutex
	chunks []time.Time
	err    error
	ended  time.Time
	done   chan struct{}
}

// startStream starts a long generation through n and waits for its first chunks.
func startStream(t *testing.T, c *procs.Cluster, n *procs.Node, key string) *openStream {
	t.Helper()
	s := &openStream{done: make(chan struct{})}
	go func() {
		defer close(s.done)
		err := c.CallerClient(n, key).Generate(t.Context(), &apipb.GenerateRequest{Model: "taalpers", Prompt: "long ledger", MaxTokens: 4096}, func(*apipb.GenerateChunk) error {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.chunks = append(s.chunks, time.Now())
			return nil
		})
		s.mu.Lock()
		defer s.mu.Unlock()
		s.err, s.ended = err, time.Now()
	}()
	require.Eventually(t, func() bool { return s.chunksAfter(time.Time{}) > 5 }, 10*time.Second, 10*time.Millisecond, "stream at %s", n.VM.ID)
	return s
}

// chunksAfter returns how many chunks arrived after since.
func (s *openStream) chunksAfter(since time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, at := range s.chunks {
		if at.After(since) {
			n++
		}
	}
	return n
}

// requireTerminated requires the stream to end by limit, plus terminationSlack, with
// one of codes and outcome unknown.
func (s *openStream) requireTerminated(t *testing.T, limit time.Time, codes ...mn.Code) {
	t.Helper()
	select {
	case <-s.done:
	case <-time.After(time.Until(limit) + terminationSlack):
		t.Fatalf("stream is still open more than %s after the key was withdrawn", withdrawalBound)
	}
	require.Contains(t, codes, mn.CodeOf(s.err), "%v", s.err)
	require.Equal(t, mn.OutcomeUnknown, mn.AsError(s.err).Outcome)
}

// TestWithdrawnKeyEndsStreams withdraws a key through one entry while streams with it
// are open at another, which is partitioned, paused or has no log. Guards against
// streams that continue past the bound, and requests with the key that are served
// afterwards. Streams of other customers must continue.
func TestWithdrawnKeyEndsStreams(t *testing.T) {
	tests := []struct {
		name   string
		before func(c *procs.Cluster, n *procs.Node)
		after  func(c *procs.Cluster, n *procs.Node)
		codes  []mn.Code
	}{
		{"no fault", nil, nil, []mn.Code{mn.KeyWithdrawn}},
		{"entry partitioned from the log", func(_ *procs.Cluster, n *procs.Node) { n.PlatformLink.Partition() }, nil, []mn.Code{mn.KeyWithdrawn}},
		{"log down at once", nil, func(c *procs.Cluster, _ *procs.Node) {
			_ = c.SetFault(c.PlatformURL(), fakes.LogDown, 1)
		}, []mn.Code{mn.KeyWithdrawn}},
		{"entry isolated", func(c *procs.Cluster, n *procs.Node) { c.Isolate(n) }, nil, []mn.Code{mn.NotCurrent, mn.OutcomeNotKnown, mn.NoEndpoint}},
		{"entry paused", func(_ *procs.Cluster, n *procs.Node) { _ = n.Proc.Pause() }, func(_ *procs.Cluster, n *procs.Node) {
			time.Sleep(withdrawalBound)
			_ = n.Proc.Resume()
		}, []mn.Code{mn.KeyWithdrawn, mn.NotCurrent}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := linkedCluster(t, 3, 2)
			withdrawing, remote := c.Nodes["entry-1"], c.Nodes["entry-2"]
			otherStream := startStream(t, c, withdrawing, birligiKey)
			streams := []*openStream{startStream(t, c, remote, voeringKey), startStream(t, c, remote, voeringKey)}
			if tt.before != nil {
				tt.before(c, remote)
			}
			_, err := operatorClient(withdrawing).WithdrawKey(t.Context(), "voering-1")
			require.NoError(t, err)
			limit := time.Now().Add(withdrawalBound)
			if tt.after != nil {
				tt.after(c, remote)
			}
			for _, s := range streams {
				s.requireTerminated(t, limit, tt.codes...)
				require.LessOrEqual(t, s.chunksAfter(limit), 1, "chunks after the bound")
			}
			for _, n := range []*procs.Node{withdrawing, remote} {
				_, _, err = generate(t.Context(), c.CallerClient(n, voeringKey), "again", 1)
				require.Contains(t, []mn.Code{mn.KeyWithdrawn, mn.NotCurrent}, mn.CodeOf(err))
				require.Equal(t, mn.OutcomeNotRun, mn.AsError(err).Outcome)
			}
			require.Eventually(t, func() bool { return otherStream.chunksAfter(time.Now().Add(-time.Second)) > 0 }, 2*time.Second, 50*time.Millisecond,
				"the other customer's stream at %s has stopped: %v", withdrawing.VM.ID, otherStream.err)
		})
	}
}

// checkInForce returns an error unless the roster has the given number of processes
// and each is current and has applied the control stream up to off.
func checkInForce(ctx context.Context, client *oper.Client, off mn.Offset, processes int) error {
	return client.Watch(ctx, 0, 1, func(r *apipb.WatchResponse) error {
		if len(r.Processes) != processes {
			return fmt.Errorf("%d processes, want %d", len(r.Processes), processes)
		}
		for _, p := range r.Processes {
			if mn.Offset(p.Offset) < off || p.State != "current" {
				return fmt.Errorf("%s is %s at offset %d, want %d", p.Vm, p.State, p.Offset, off)
			}
		}
		return nil
	})
}

func rateChange(client *oper.Client, t *testing.T, rate float64) mn.Change {
	t.Helper()
	have, err := client.Get(t.Context(), mn.KindCustomer, "voering")
	require.NoError(t, err)
	customer := *have[0].Resource.Customer
	customer.Rate = rate
	set := mn.Resource{Customer: &customer}
	return mn.Change{Edits: []mn.Edit{{Name: set.Name(), Base: have[0].Version, Set: &set}}}
}

// TestAcceptedChangeTakesEffectAndPersists makes changes while appends to the log are
// dropped, succeed without an answer, or are slow. Each accepted change must be in
// force at all processes within the bound, and survive a restart of all processes.
func TestAcceptedChangeTakesEffectAndPersists(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 2, 1)
	client := operatorClient(c.Nodes["entry-2"])
	rate := 10.0
	for _, fault := range []string{"", fakes.AppendDropped, fakes.AppendLost, fakes.LogSlow} {
		if fault != "" {
			value := map[string]int64{fakes.AppendDropped: 2, fakes.AppendLost: 2, fakes.LogSlow: 300}[fault]
			require.NoError(t, c.SetFault(c.PlatformURL(), fault, value))
		}
		rate++
		resp, err := client.Apply(t.Context(), rateChange(client, t, rate), false)
		require.NoError(t, err, fault)
		limit := mn.MillisOf(configurationBound)
		eventually(t, limit, func(ctx context.Context) error {
			return checkInForce(ctx, operatorClient(c.Nodes["entry-1"]), mn.Offset(resp.Offset), 6)
		})
	}
	require.NoError(t, c.SetFault(c.PlatformURL(), fakes.LogSlow, 0))

	var wait sync.WaitGroup
	for _, n := range c.Nodes {
		n.Proc.Kill()
	}
	for _, n := range c.Nodes {
		wait.Go(func() { require.NoError(t, c.Restart(n)) })
	}
	wait.Wait()
	have, err := client.Get(t.Context(), mn.KindCustomer, "voering")
	require.NoError(t, err)
	require.Equal(t, rate, have[0].Resource.Customer.Rate)
}

// TestRacingOperatorsConflict has two operators change the same resource through two
// entries at once. One change must be accepted; the error of the other must name the
// version it was based on and the present one.
func TestRacingOperatorsConflict(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 1, 0)
	clients := []*oper.Client{operatorClient(c.Nodes["entry-1"]), operatorClient(c.Nodes["entry-2"])}
	require.NoError(t, c.SetFault(c.PlatformURL(), fakes.LogSlow, 50))
	for round := range 5 {
		changes := []mn.Change{rateChange(clients[0], t, float64(100+round)), rateChange(clients[0], t, float64(200+round))}
		base := changes[0].Edits[0].Base
		errs := make([]error, 2)
		var wait sync.WaitGroup
		for i := range clients {
			wait.Go(func() { _, errs[i] = clients[i].Apply(t.Context(), changes[i], false) })
		}
		wait.Wait()
		if errs[0] != nil {
			errs[0], errs[1] = errs[1], errs[0]
		}
		require.NoError(t, errs[0])
		// The accepted change must be visible through the other entry at once.
		_, err := clients[1].Apply(t.Context(), rateChange(clients[0], t, float64(300+round)), false)
		require.NoError(t, err)
		require.Equal(t, mn.Conflict, mn.CodeOf(errs[1]), "%v", errs[1])
		require.Contains(t, errs[1].Error(), fmt.Sprintf("based on version %d", base))
		require.Regexp(t, `is at version \d+`, errs[1].Error())
	}
}

// TestEntriesReplacedDuringLogOutage replaces all entries while the log is down. The
// new entry must get the configuration from the agents and serve with it, including
// the withdrawal of a key, and join once the log is back.
func TestEntriesReplacedDuringLogOutage(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 3, 0)
	_, err := operatorClient(c.Nodes["entry-1"]).WithdrawKey(t.Context(), "voering-1")
	require.NoError(t, err)
	require.NoError(t, c.SetFault(c.PlatformURL(), fakes.LogDown, 1))
	for _, name := range []mn.VMID{"entry-1", "entry-2"} {
		c.Nodes[name].Proc.Kill()
		require.NoError(t, c.RemoveVM(name))
	}
	entry, err := c.AddEntry("entry-3", "tiel-b")
	require.NoError(t, err)
	text, _, err := generate(t.Context(), c.CallerClient(entry, birligiKey), "during the outage", 5)
	require.NoError(t, err)
	require.Equal(t, fakes.Output("during the outage", 5), text)
	_, _, err = generate(t.Context(), c.CallerClient(entry, voeringKey), "withdrawn", 5)
	require.Equal(t, mn.KeyWithdrawn, mn.CodeOf(err))

	require.NoError(t, c.SetFault(c.PlatformURL(), fakes.LogDown, 0))
	eventually(t, 10*mn.Second, func(ctx context.Context) error {
		return operatorClient(entry).Watch(ctx, 0, 1, func(r *apipb.WatchResponse) error {
			for _, p := range r.Processes {
				if p.Vm == "entry-3" && p.State == "current" {
					return nil
				}
			}
			return fmt.Errorf("entry-3 has not joined")
		})
	})
}

// TestStartAfterRecordsExpired waits until the log has dropped the records that
// declared the resources, then starts a new entry, and finally restarts all
// processes. Guards against a configuration that is lost with its records.
func TestStartAfterRecordsExpired(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 1, 0)
	require.NoError(t, c.SetFault(c.PlatformURL(), fakes.LogRetention, 30))
	client := operatorClient(c.Nodes["entry-1"])
	// firstOffset returns the offset of the first record that the log still has.
	firstOffset := func() mn.Offset {
		batch, err := c.PlatformClient().Read(t.Context(), mn.ControlStream, 1, 1, 0)
		require.NoError(t, err)
		return batch.First
	}
	rate := 10.0
	for start := firstOffset(); firstOffset() < start+60; rate++ {
		_, err := client.Apply(t.Context(), rateChange(client, t, rate), false)
		require.NoError(t, err)
		time.Sleep(50 * time.Millisecond)
	}
	entry, err := c.AddEntry("entry-3", "tiel-b")
	require.NoError(t, err)
	_, _, err = generate(t.Context(), c.CallerClient(entry, birligiKey), "late start", 1)
	require.NoError(t, err)
	for _, n := range c.Nodes {
		n.Proc.Kill()
	}
	for _, n := range c.Nodes {
		require.NoError(t, c.StartAsync(n))
	}
	eventually(t, 15*mn.Second, func(ctx context.Context) error {
		_, _, err := generate(ctx, c.CallerClient(entry, birligiKey), "all anew", 1)
		return err
	})
	have, err := operatorClient(entry).Get(t.Context(), mn.KindCustomer, "voering")
	require.NoError(t, err)
	require.Equal(t, rate-1, have[0].Resource.Customer.Rate)
}

// TestMinorityRejects isolates an entry from the log and its peers. It must reject
// requests as not run within MaxStaleness, plus 1 s of tolerance, and serve again
// after it has rejoined.
func TestMinorityRejects(t *testing.T) {
	t.Parallel()
	c := linkedCluster(t, 2, 1)
	entry := c.Nodes["entry-1"]
	c.Isolate(entry)
	partitionedAt := time.Now()
	client := c.CallerClient(entry, voeringKey)
	eventually(t, fresh.DefaultParams().MaxStaleness+mn.Second, func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
		defer cancel()
		_, _, err := generate(ctx, client, "isolated", 1)
		if mn.CodeOf(err) != mn.NotCurrent {
			return fmt.Errorf("want code %s, got %w", mn.NotCurrent, err)
		}
		return nil
	})
	t.Logf("rejected %s after the partition", time.Since(partitionedAt).Round(time.Millisecond))
	_, _, err := generate(t.Context(), client, "still isolated", 1)
	require.Equal(t, mn.NotCurrent, mn.CodeOf(err))
	require.Equal(t, mn.OutcomeNotRun, mn.AsError(err).Outcome)
	c.Rejoin(entry)
	eventually(t, 10*mn.Second, func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		_, _, err := generate(ctx, client, "back", 1)
		return err
	})
}

// TestIssuedKeyIsNeverStoredInPlain issues a key, uses it and checks that neither
// process output nor the control stream contains it. It also checks that the key
// stops working when it is withdrawn, and that operators need the right token.
func TestIssuedKeyIsNeverStoredInPlain(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 1, 0)
	entry := c.Nodes["entry-1"]
	key, _, err := operatorClient(entry).IssueKey(t.Context(), "fresh", "voering")
	require.NoError(t, err)
	_, _, err = generate(t.Context(), c.CallerClient(entry, key), "with a new key", 3)
	require.NoError(t, err)
	for _, n := range c.Nodes {
		require.NotContains(t, n.Proc.Tail(1<<20), key)
	}
	batch, err := c.PlatformClient().Read(t.Context(), mn.ControlStream, 1, 1000, 0)
	require.NoError(t, err)
	for _, e := range batch.Entries {
		require.False(t, strings.Contains(string(e.Data), key))
	}
	_, err = operatorClient(entry).WithdrawKey(t.Context(), "fresh")
	require.NoError(t, err)
	_, _, err = generate(t.Context(), c.CallerClient(entry, key), "again", 3)
	require.Equal(t, mn.KeyWithdrawn, mn.CodeOf(err))
	_, err = oper.NewClient(entry.OperatorURL(), "not the token").Get(t.Context(), "", "")
	require.Equal(t, mn.Unauthenticated, mn.CodeOf(err))
}
