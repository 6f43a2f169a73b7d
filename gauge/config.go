package gauge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	mn "mustardnotch"
	"mustardnotch/core/fresh"
	"mustardnotch/fakes"
	"mustardnotch/gen/apipb"
	"mustardnotch/io/oper"
	"mustardnotch/io/peer"
	"mustardnotch/io/wire"
	"mustardnotch/procs"
)

const (
	// roundPause is the pause between rounds.
	roundPause = 300 * time.Millisecond
	// pollInterval is the time between looks at the offsets of all processes.
	pollInterval = 2 * time.Millisecond
	// maxPropagation bounds the wait until a change holds everywhere.
	maxPropagation = 20 * time.Second
	// streamTokens and tokenMillis keep a stream open for longer than that.
	streamTokens = 4000
	tokenMillis  = 20
)

// propagation measures how long changes take to hold in every process.
type propagation struct {
	cluster *procs.Cluster
	entries []*procs.Node
	client  *oper.Client
	peers   *peer.Client
	out     io.Writer
	rounds  int
}

// Configuration starts three entries and o.Agents model engines, and measures
// over o.Calls rounds how long a new rate, a withdrawn key, and a key withdrawn
// while an entry is cut off from all, take to hold in every process.
func Configuration(ctx context.Context, o Options, out io.Writer) error {
	return procs.WithTemporaryCluster(o.Bin, func(c *procs.Cluster) error { return configuration(ctx, c, o, out) })
}

func configuration(ctx context.Context, c *procs.Cluster, o Options, out io.Writer) error {
	c.UseLinks = true
	s := &propagation{cluster: c, out: out, rounds: o.Calls, peers: peer.NewClient("gauge", wire.NewProbePool(""))}
	if err := s.build(ctx, o.Agents); err != nil {
		return err
	}
	parts := []struct {
		name string
		run  func(ctx context.Context, round int) (time.Duration, error)
	}{
		{"new_rate", s.changeRate},
		{"new_rate_append_lost", s.changeRateAppendLost},
		{"withdrawn_key", s.withdrawKey},
		{"withdrawn_key_entry_cut_off", s.withdrawKeyPartitioned},
	}
	for _, p := range parts {
		if err := s.measure(ctx, p.name, p.run); err != nil {
			return fmt.Errorf("%s: %w", p.name, err)
		}
	}
	return nil
}

func (s *propagation) build(ctx context.Context, agents int) error {
	_, err := s.cluster.Declare(ctx,
		mn.Resource{Customer: &mn.Customer{ID: "voering", Rate: 1e6, Burst: 1e6}},
		mn.Resource{Model: &mn.Model{ID: "taalpers", Version: "1", MaxTokens: streamTokens}},
		mn.Resource{Pool: &mn.Pool{ID: "taalpers", Kind: mn.PoolModel, Model: "taalpers"}},
	)
	if err != nil {
		return err
	}
	for i := range 3 {
		n, err := s.cluster.AddEntry(fmt.Sprintf("entry-%d", i+1), "tiel-a")
		if err != nil {
			return err
		}
		s.entries = append(s.entries, n)
	}
	s.client = oper.NewClient(s.entries[0].OperatorURL(), procs.OperatorToken)
	for i := range agents {
		n, err := s.cluster.AddEngine(fmt.Sprintf("taalpers-%d", i+1), "tiel-a", "taalpers", "taalpers")
		if err != nil {
			return err
		}
		if err := s.cluster.SetFault(n.EndpointURL(), fakes.TokenMillis, tokenMillis); err != nil {
			return err
		}
	}
	return nil
}

func (s *propagation) measure(ctx context.Context, name string, run func(context.Context, int) (time.Duration, error)) error {
	var all []time.Duration
	for i := range s.rounds {
		took, err := run(ctx, i)
		if err != nil {
			return fmt.Errorf("round %d: %w", i+1, err)
		}
		all = append(all, took)
		time.Sleep(roundPause)
	}
	slices.Sort(all)
	_, err := fmt.Fprintf(s.out, "part=%s rounds=%d processes=%d median_ms=%.1f worst_ms=%.1f\n",
		name, len(all), len(s.cluster.Nodes), millis(all[len(all)/2]), millis(all[len(all)-1]))
	return err
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// changeRate changes a rate and waits until every process has folded the change.
func (s *propagation) changeRate(ctx context.Context, round int) (time.Duration, error) {
	current, err := s.client.Get(ctx, mn.KindCustomer, "voering")
	if err != nil {
		return 0, err
	}
	customer := *current[0].Resource.Customer
	customer.Rate = 1e5 + float64(current[0].Version)
	set := mn.Resource{Customer: &customer}
	edit := mn.Edit{Name: set.Name(), Base: current[0].Version, Set: &set}
	start := time.Now()
	resp, err := s.client.Apply(ctx, mn.Change{Edits: []mn.Edit{edit}}, false)
	if err != nil {
		return 0, err
	}
	err = s.awaitOffset(ctx, mn.Offset(resp.Offset))
	return time.Since(start), err
}

func (s *propagation) changeRateAppendLost(ctx context.Context, round int) (time.Duration, error) {
	fault := []string{fakes.AppendDropped, fakes.AppendLost}[round%2]
	if err := s.cluster.SetFault(s.cluster.PlatformURL(), fault, 1); err != nil {
		return 0, err
	}
	return s.changeRate(ctx, round)
}

func (s *propagation) awaitOffset(ctx context.Context, off mn.Offset) error {
	ctx, cancel := context.WithTimeout(ctx, maxPropagation)
	defer cancel()
	var wait sync.WaitGroup
	errs := make([]error, 0, len(s.cluster.Nodes))
	var mu sync.Mutex
	for _, n := range s.cluster.Nodes {
		wait.Go(func() {
			err := s.awaitProcess(ctx, n, off)
			mu.Lock()
			defer mu.Unlock()
			errs = append(errs, err)
		})
	}
	wait.Wait()
	return errors.Join(errs...)
}

func (s *propagation) awaitProcess(ctx context.Context, n *procs.Node, off mn.Offset) error {
	to := mn.Member{VM: n.VM.ID, Addr: n.VM.Addr}
	for ctx.Err() == nil {
		reply, err := s.peers.Status(ctx, to, fresh.ProbeRequest{VM: "gauge"})
		if err == nil && mn.Offset(reply.Status.GetOffset()) >= off {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return fmt.Errorf("%s has not folded offset %d", n.VM.ID, off)
}

// withdrawKey opens a stream of a new key at each entry, withdraws the key, and
// waits until every stream has ended.
func (s *propagation) withdrawKey(ctx context.Context, _ int) (time.Duration, error) {
	return s.withdrawKeyAfter(ctx, func() {})
}

func (s *propagation) withdrawKeyPartitioned(ctx context.Context, _ int) (time.Duration, error) {
	last := s.entries[len(s.entries)-1]
	took, err := s.withdrawKeyAfter(ctx, func() { s.cluster.Isolate(last) })
	s.cluster.Rejoin(last)
	time.Sleep(3 * time.Second)
	return took, err
}

func (s *propagation) withdrawKeyAfter(ctx context.Context, before func()) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, maxPropagation)
	defer cancel()
	name := string(mn.NewRecordID())
	key, off, err := s.client.IssueKey(ctx, name, "voering")
	if err != nil {
		return 0, err
	}
	if err := s.awaitOffset(ctx, off); err != nil {
		return 0, err
	}
	ended := make(chan error, len(s.entries))
	var open sync.WaitGroup
	open.Add(len(s.entries))
	for _, n := range s.entries {
		go func() { ended <- s.awaitStreamEnd(ctx, n, key, &open) }()
	}
	open.Wait()
	before()
	start := time.Now()
	if _, err := s.client.WithdrawKey(ctx, name); err != nil {
		return 0, err
	}
	for range s.entries {
		if err := <-ended; err != nil {
			return 0, err
		}
	}
	return time.Since(start), nil
}

// awaitStreamEnd runs a generation until it is ended for its key's sake. It calls
// open.Done at the first chunk.
func (s *propagation) awaitStreamEnd(ctx context.Context, n *procs.Node, key string, open *sync.WaitGroup) error {
	var once sync.Once
	defer once.Do(open.Done)
	msg := &apipb.GenerateRequest{Model: "taalpers", Prompt: "long ledger", MaxTokens: streamTokens}
	err := s.cluster.CallerClient(n, key).Generate(ctx, msg, func(*apipb.GenerateChunk) error {
		once.Do(open.Done)
		return nil
	})
	switch mn.CodeOf(err) {
	case mn.KeyWithdrawn, mn.NotCurrent:
		return nil
	}
	return fmt.Errorf("stream at %s: want it to be ended by the withdrawal, got %w", n.VM.ID, err)
}
