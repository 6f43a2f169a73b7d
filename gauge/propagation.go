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
	// pollInterval is the time between two queries of a process's offset.
	pollInterval = 2 * time.Millisecond
	// maxPropagation is the maximum time to wait until every process applies a change.
	maxPropagation = 20 * time.Second
	// streamTokens and tokenMillis keep a stream open for longer than maxPropagation.
	streamTokens = 4000
	tokenMillis  = 20
)

// propagation measures how long changes take until every process applies them.
type propagation struct {
	cluster *procs.Cluster
	entries []*procs.Node
	client  *oper.Client
	peers   *peer.Client
	out     io.Writer
	rounds  int
}

// Configuration starts three entries and options.Agents model engines. In
// options.Calls rounds each, it measures how long it takes until every process applies
// a new rate, a new rate while an append fails, a withdrawn key, and a key withdrawn
// while one entry is partitioned from all other processes and the platform.
func Configuration(ctx context.Context, options Options, out io.Writer) error {
	return procs.WithTemporaryCluster(options.Bin, func(cluster *procs.Cluster) error { return configuration(ctx, cluster, options, out) })
}

func configuration(ctx context.Context, cluster *procs.Cluster, options Options, out io.Writer) error {
	cluster.UseLinks = true
	measurement := &propagation{cluster: cluster, out: out, rounds: options.Calls, peers: peer.NewClient("gauge", wire.NewProbePool(""))}
	if err := measurement.build(ctx, options.Agents); err != nil {
		return err
	}
	parts := []struct {
		name string
		run  func(ctx context.Context, round int) (time.Duration, error)
	}{
		{"new_rate", measurement.changeRate},
		{"new_rate_append_lost", measurement.changeRateAppendLost},
		{"withdrawn_key", measurement.withdrawKey},
		{"withdrawn_key_entry_cut_off", measurement.withdrawKeyPartitioned},
	}
	for _, p := range parts {
		if err := measurement.measure(ctx, p.name, p.run); err != nil {
			return fmt.Errorf("%s: %w", p.name, err)
		}
	}
	return nil
}

func (p *propagation) build(ctx context.Context, agents int) error {
	_, err := p.cluster.Declare(ctx,
		mn.Resource{Customer: &mn.Customer{ID: "voering", Rate: 1e6, Burst: 1e6}},
		mn.Resource{Model: &mn.Model{ID: "taalpers", Version: "1", MaxTokens: streamTokens}},
		mn.Resource{Pool: &mn.Pool{ID: "taalpers", Kind: mn.PoolModel, Model: "taalpers"}},
	)
	if err != nil {
		return err
	}
	for i := range 3 {
		n, err := p.cluster.AddEntry(fmt.Sprintf("entry-%d", i+1), "tiel-a")
		if err != nil {
			return err
		}
		p.entries = append(p.entries, n)
	}
	p.client = oper.NewClient(p.entries[0].OperatorURL(), procs.OperatorToken)
	for i := range agents {
		n, err := p.cluster.AddEngine(fmt.Sprintf("taalpers-%d", i+1), "tiel-a", "taalpers", "taalpers")
		if err != nil {
			return err
		}
		if err := p.cluster.SetFault(n.EndpointURL(), fakes.TokenMillis, tokenMillis); err != nil {
			return err
		}
	}
	return nil
}

func (p *propagation) measure(ctx context.Context, name string, run func(context.Context, int) (time.Duration, error)) error {
	var durations []time.Duration
	for i := range p.rounds {
		took, err := run(ctx, i)
		if err != nil {
			return fmt.Errorf("round %d: %w", i+1, err)
		}
		durations = append(durations, took)
		time.Sleep(roundPause)
	}
	slices.Sort(durations)
	_, err := fmt.Fprintf(p.out, "part=%s rounds=%d processes=%d median_ms=%.1f worst_ms=%.1f\n",
		name, len(durations), len(p.cluster.Nodes), millis(durations[len(durations)/2]), millis(durations[len(durations)-1]))
	return err
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// changeRate changes a customer's rate and waits until every process has applied the
// change.
func (p *propagation) changeRate(ctx context.Context, round int) (time.Duration, error) {
	current, err := p.client.Get(ctx, mn.KindCustomer, "voering")
	if err != nil {
		return 0, err
	}
	customer := *current[0].Resource.Customer
	customer.Rate = 1e5 + float64(current[0].Version)
	set := mn.Resource{Customer: &customer}
	edit := mn.Edit{Name: set.Name(), Base: current[0].Version, Set: &set}
	start := time.Now()
	resp, err := p.client.Apply(ctx, mn.Change{Edits: []mn.Edit{edit}}, false)
	if err != nil {
		return 0, err
	}
	err = p.awaitOffset(ctx, mn.Offset(resp.Offset))
	return time.Since(start), err
}

// changeRateAppendLost calls changeRate while the platform fails the next append. By
// turns, that append is dropped or takes effect without a response.
func (p *propagation) changeRateAppendLost(ctx context.Context, round int) (time.Duration, error) {
	fault := []string{fakes.AppendDropped, fakes.AppendLost}[round%2]
	if err := p.cluster.SetFault(p.cluster.PlatformURL(), fault, 1); err != nil {
		return 0, err
	}
	return p.changeRate(ctx, round)
}

func (p *propagation) awaitOffset(ctx context.Context, offset mn.Offset) error {
	ctx, cancel := context.WithTimeout(ctx, maxPropagation)
	defer cancel()
	var probes sync.WaitGroup
	errs := make([]error, 0, len(p.cluster.Nodes))
	var mu sync.Mutex
	for _, n := range p.cluster.Nodes {
		probes.Go(func() {
			err := p.awaitProcess(ctx, n, offset)
			mu.Lock()
			defer mu.Unlock()
			errs = append(errs, err)
		})
	}
	probes.Wait()
	return errors.Join(errs...)
}

func (p *propagation) awaitProcess(ctx context.Context, n *procs.Node, offset mn.Offset) error {
	to := mn.Member{VM: n.VM.ID, Addr: n.VM.Addr}
	for ctx.Err() == nil {
		reply, err := p.peers.Status(ctx, to, fresh.ProbeRequest{VM: "gauge"})
		if err == nil && mn.Offset(reply.Status.GetOffset()) >= offset {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return fmt.Errorf("%s has not applied offset %d", n.VM.ID, offset)
}

// withdrawKey opens a stream of a new key at each entry, withdraws the key, and
// waits until every stream has ended.
func (p *propagation) withdrawKey(ctx context.Context, _ int) (time.Duration, error) {
	return p.withdrawKeyAfter(ctx, func() {})
}

// withdrawKeyPartitioned does the same as withdrawKey while the last entry is
// partitioned.
func (p *propagation) withdrawKeyPartitioned(ctx context.Context, _ int) (time.Duration, error) {
	last := p.entries[len(p.entries)-1]
	took, err := p.withdrawKeyAfter(ctx, func() { p.cluster.Isolate(last) })
	p.cluster.Rejoin(last)
	// Lets the entry's configuration become current again: in the next round, a
	// stream that the entry rejects as not current would count as ended.
	time.Sleep(3 * time.Second)
	return took, err
}

// withdrawKeyAfter implements withdrawKey. When all streams are open, it calls prepare
// and then withdraws the key.
func (p *propagation) withdrawKeyAfter(ctx context.Context, prepare func()) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, maxPropagation)
	defer cancel()
	name := string(mn.NewRecordID())
	key, offset, err := p.client.IssueKey(ctx, name, "voering")
	if err != nil {
		return 0, err
	}
	if err := p.awaitOffset(ctx, offset); err != nil {
		return 0, err
	}
	ended := make(chan error, len(p.entries))
	var opened sync.WaitGroup
	opened.Add(len(p.entries))
	for _, n := range p.entries {
		go func() { ended <- p.awaitStreamEnd(ctx, n, key, &opened) }()
	}
	opened.Wait()
	prepare()
	start := time.Now()
	if _, err := p.client.WithdrawKey(ctx, name); err != nil {
		return 0, err
	}
	for range p.entries {
		if err := <-ended; err != nil {
			return 0, err
		}
	}
	return time.Since(start), nil
}

// awaitStreamEnd runs a generation until the entry ends it, because the key was
// withdrawn or because the entry's configuration is no longer current. It calls
// opened.Done at the first chunk, or when the generation ends without one.
func (p *propagation) awaitStreamEnd(ctx context.Context, n *procs.Node, key string, opened *sync.WaitGroup) error {
	var once sync.Once
	defer once.Do(opened.Done)
	request := &apipb.GenerateRequest{Model: "taalpers", Prompt: "long ledger", MaxTokens: streamTokens}
	err := p.cluster.CallerClient(n, key).Generate(ctx, request, func(*apipb.GenerateChunk) error {
		once.Do(opened.Done)
		return nil
	})
	switch mn.CodeOf(err) {
	case mn.KeyWithdrawn, mn.NotCurrent:
		return nil
	}
	return fmt.Errorf("stream at %s was not ended by the key's withdrawal: %w", n.VM.ID, err)
}
