package matrix

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	mn "mustardnotch"
	"mustardnotch/core/conf"
	"mustardnotch/fakes"
	"mustardnotch/gen/apipb"
	"mustardnotch/io/caller"
	"mustardnotch/io/wire"
	"mustardnotch/procs"
)

const (
	mainKey   = "matrix-key-of-voering"
	otherKey  = "matrix-key-of-birligi"
	modelName = "taalpers"
	// maxLeaveTime is the maximum time for a process to exit after it was asked to
	// leave.
	maxLeaveTime = 20 * mn.Second
	// maxWithdrawDelay is the maximum time for which a withdrawn key still works.
	maxWithdrawDelay = 5 * mn.Second
	// maxConfigDelay is the maximum time until every process has applied all changes.
	// It counts from the start of the check, after traffic has ended.
	maxConfigDelay = 6 * mn.Second
	// attemptTimeout is the timeout of one attempt of a request.
	attemptTimeout = 10 * mn.Second
	// maxAttempts is the maximum number of attempts that a caller makes for a booking.
	maxAttempts = 6
)

// booking is one booking and the results that its caller received.
type booking struct {
	idempotencyKey string
	body           string
	done           bool
	// reportedNotRun reports whether every attempt ended with outcome "not run".
	reportedNotRun bool
	// attempt is the number of the next attempt, from 1. An attempt that ends with
	// outcome "not run" doesn't count.
	attempt int32
}

// scenario is the cluster of one cell, its traffic, and the results.
type scenario struct {
	ctx     context.Context
	cell    string
	clock   mn.Clock
	cluster *procs.Cluster
	http    *http.Client
	rng     *rand.Rand
	// entry and agent are the processes that faults affect. otherEntry is the entry
	// that callers switch to.
	entry, otherEntry, agent *procs.Node
	// paused is the process that pauseHolder paused, nil if there is none.
	paused *procs.Node
	wg     sync.WaitGroup
	// withdrawnAt is the time at which the second customer's key was withdrawn, 0 if
	// it was not.
	withdrawnAt atomic.Int64
	// versionOrdered reports whether the step declared version 2 of the model.
	versionOrdered bool
	// plannedOnly reports whether all faults of the cell are planned changes.
	plannedOnly bool

	mu             sync.Mutex
	bookings       []*booking
	receivedTokens map[string]int64 // in complete responses, by "output" and "prompt"
	counts         map[string]int
	violations     []string
}

// newScenario starts three entries, two engines and two plain services, with links
// between them that faults can partition.
func newScenario(ctx context.Context, bin, dir, cell string, seed uint64) (*scenario, error) {
	cluster, err := procs.New(bin, dir)
	if err != nil {
		return nil, err
	}
	s := &scenario{
		ctx: ctx, cell: cell, clock: mn.NewSystemClock(), cluster: cluster, http: wire.NewHTTPClient(),
		rng:            rand.New(rand.NewPCG(seed, 1)),
		receivedTokens: map[string]int64{}, counts: map[string]int{},
	}
	cluster.UseLinks = true
	cluster.ExtraEntrySettings = "[control]\nusage_window = 1s\n"
	if err := s.populate(); err != nil {
		cluster.Close()
		return nil, err
	}
	return s, nil
}

func (s *scenario) populate() error {
	cluster := s.cluster
	_, err := cluster.Declare(s.ctx,
		mn.Resource{Customer: &mn.Customer{ID: "voering", Rate: 1000, Burst: 1000}},
		mn.Resource{Customer: &mn.Customer{ID: "birligi", Rate: 1000, Burst: 1000}},
		mn.Resource{Key: &mn.Key{Name: "voering-1", Hash: mn.HashKey(mainKey), Customer: "voering"}},
		mn.Resource{Key: &mn.Key{Name: "birligi-1", Hash: mn.HashKey(otherKey), Customer: "birligi"}},
		mn.Resource{Model: &mn.Model{ID: modelName, Version: "1", MaxTokens: 4096}},
		mn.Resource{Pool: &mn.Pool{ID: modelName, Kind: mn.PoolModel, Model: modelName, MinEndpoints: 2, MaxEndpoints: 2}},
		mn.Resource{Pool: &mn.Pool{ID: "orderbalie", Kind: mn.PoolPlain, MinEndpoints: 2, MaxEndpoints: 2}},
	)
	if err != nil {
		return err
	}
	dcs := []mn.DataCentre{"tiel-a", "tiel-b", "culemborg"}
	for i, dc := range dcs {
		if _, err := cluster.AddEntry(fmt.Sprintf("entry-%d", i+1), dc); err != nil {
			return err
		}
	}
	for i := range 2 {
		if _, err := cluster.AddEngine(fmt.Sprintf("taalpers-%d", i+1), dcs[i], modelName, modelName); err != nil {
			return err
		}
		if _, err := cluster.AddPlainService(fmt.Sprintf("orderbalie-%d", i+1), dcs[i], "orderbalie"); err != nil {
			return err
		}
	}
	s.entry, s.otherEntry = cluster.Nodes["entry-1"], cluster.Nodes["entry-2"]
	return s.warmUp()
}

// chooseAgent chooses the agent that faults affect, from the pool that the step uses.
func (s *scenario) chooseAgent(step string) {
	pool := "taalpers"
	if strings.HasPrefix(step, "booking") {
		pool = "orderbalie"
	}
	s.agent = s.cluster.Nodes[mn.VMID(fmt.Sprintf("%s-%d", pool, 1+s.rng.IntN(2)))]
}

// warmUp slows the endpoints down, so that faults can be injected in the middle of a
// request, and waits until every entry serves requests.
func (s *scenario) warmUp() error {
	for _, n := range s.cluster.Nodes {
		if n.Endpoint == nil {
			continue
		}
		name, value := fakes.TokenMillis, int64(tokenTime)
		if n.VM.Pool == "orderbalie" {
			name, value = fakes.CallMillis, int64(callTime)
		}
		if err := s.cluster.SetFault(n.EndpointURL(), name, value); err != nil {
			return err
		}
	}
	for _, id := range []mn.VMID{"entry-1", "entry-2", "entry-3"} {
		var err error
		for range 100 {
			var text string
			var end *apipb.EndMarker
			prompt := "warm " + string(id)
			text, end, err = s.generate(s.ctx, s.cluster.Nodes[id], mainKey, prompt, 1, nil)
			if err == nil {
				s.recordGeneration(prompt, 1, text, end, nil)
				break
			}
			time.Sleep((50 * mn.Millisecond).Duration())
		}
		if err != nil {
			return fmt.Errorf("warm up %s: %w", id, err)
		}
	}
	return nil
}

func (s *scenario) recordViolation(rule, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, rule+": "+fmt.Sprintf(format, args...))
}

func (s *scenario) countOutcome(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[name]++
}

func (s *scenario) client(entry *procs.Node, key string) *caller.Client {
	return caller.NewClientHTTP(s.http, entry.CallerURL(), key)
}

// generate sends a generation through entry and returns its complete text.
func (s *scenario) generate(ctx context.Context, entry *procs.Node, key, prompt string, tokens int64, onChunk func(*apipb.GenerateChunk)) (string, *apipb.EndMarker, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout.Duration())
	defer cancel()
	var text strings.Builder
	var end *apipb.EndMarker
	err := s.client(entry, key).Generate(ctx, &apipb.GenerateRequest{Model: modelName, Prompt: prompt, MaxTokens: tokens}, func(chunk *apipb.GenerateChunk) error {
		text.WriteString(chunk.Text)
		end = chunk.End
		if onChunk != nil && chunk.End == nil {
			onChunk(chunk)
		}
		return nil
	})
	return text.String(), end, err
}

// checkPlannedChange checks that a planned change aborts no request. It may only cause
// rejections of requests that did not run.
func (s *scenario) checkPlannedChange(what string, failure *mn.Error) {
	if s.plannedOnly && failure.Outcome != mn.OutcomeNotRun {
		s.recordViolation("planned change", "%s was aborted: %v", what, failure)
	}
}

// recordGeneration checks the result of a generation and adds up the tokens that have
// to be reported as usage.
func (s *scenario) recordGeneration(prompt string, tokens int64, text string, end *apipb.EndMarker, err error) {
	if err != nil {
		failure := mn.AsError(err)
		s.countOutcome("generation " + failure.Code.String() + " " + failure.Outcome.String())
		s.checkPlannedChange("generation "+prompt, failure)
		return
	}
	s.countOutcome("generation ok")
	if text != wantText(prompt, tokens) || end.OutputTokens != tokens {
		s.recordViolation("whole answer", "prompt %q: got %d bytes and %d tokens, want %d tokens", prompt, len(text), end.OutputTokens, tokens)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.receivedTokens["output"] += end.OutputTokens
	s.receivedTokens["prompt"] += end.PromptTokens
}

// book sends a booking with its own idempotency key until it is done, its caller's key
// is withdrawn, the cell is cancelled, or maxAttempts is reached. The first attempt goes
// through entry, later ones through otherEntry.
func (s *scenario) book(entry *procs.Node, key, body string) *booking {
	result := &booking{idempotencyKey: string(mn.NewRequestID()), reportedNotRun: true, attempt: 1}
	result.body = body + " " + result.idempotencyKey
	s.mu.Lock()
	s.bookings = append(s.bookings, result)
	s.mu.Unlock()
	for i := range maxAttempts {
		if s.attempt(entry, key, result) || s.ctx.Err() != nil {
			return result
		}
		time.Sleep((200 * mn.Millisecond).Duration())
		if i%2 == 0 {
			entry = s.otherEntry
		}
	}
	return result
}

// repeat sends a booking again, even if it is already done.
func (s *scenario) repeat(entry *procs.Node, key string, booking *booking) {
	s.attempt(entry, key, booking)
}

// attempt sends booking once and reports whether its caller needs no further attempt.
func (s *scenario) attempt(entry *procs.Node, key string, booking *booking) bool {
	ctx, cancel := context.WithTimeout(s.ctx, attemptTimeout.Duration())
	defer cancel()
	resp, err := s.client(entry, key).Call(ctx, &apipb.CallRequest{Pool: "orderbalie", Path: "/book", Body: []byte(booking.body), IdempotencyKey: booking.idempotencyKey, Attempt: booking.attempt, DeadlineMs: int64(attemptTimeout)})
	if err == nil {
		s.countOutcome("booking ok")
		s.mu.Lock()
		defer s.mu.Unlock()
		booking.done = true
		booking.attempt++
		if string(resp.Body) != "done "+booking.body {
			s.violations = append(s.violations, fmt.Sprintf("whole answer: booking %s got %q", booking.idempotencyKey, resp.Body))
		}
		return true
	}
	failure := mn.AsError(err)
	s.countOutcome("booking " + failure.Code.String() + " " + failure.Outcome.String())
	s.checkPlannedChange("booking "+booking.idempotencyKey, failure)
	if failure.Outcome != mn.OutcomeNotRun {
		s.mu.Lock()
		booking.reportedNotRun = false
		booking.attempt++
		s.mu.Unlock()
	}
	return failure.Code == mn.KeyWithdrawn
}

// startTraffic sends requests until ctx is done: the main customer's through every
// entry, and the other customer's through one.
func (s *scenario) startTraffic(ctx context.Context) {
	entries := []*procs.Node{s.entry, s.otherEntry, s.cluster.Nodes["entry-3"]}
	for i, n := range entries {
		s.wg.Go(func() {
			for k := 0; ctx.Err() == nil; k++ {
				prompt := fmt.Sprintf("side %s %d %d", s.cell, i, k)
				text, end, err := s.generate(s.ctx, n, mainKey, prompt, 10, nil)
				s.recordGeneration(prompt, 10, text, end, err)
				s.book(n, mainKey, fmt.Sprintf("side %d %d", i, k))
			}
		})
	}
	s.wg.Go(func() { s.watchKey(ctx, s.cluster.Nodes["entry-3"]) })
}

// watchKey sends requests with the second customer's key until ctx is done, and checks
// that the key stops working within maxWithdrawDelay after it is withdrawn.
func (s *scenario) watchKey(ctx context.Context, entry *procs.Node) {
	for k := 0; ctx.Err() == nil; k++ {
		prompt := fmt.Sprintf("other %s %d", s.cell, k)
		start := s.clock.Now()
		text, end, err := s.generate(s.ctx, entry, otherKey, prompt, 2, nil)
		at := mn.Millis(s.withdrawnAt.Load())
		if err == nil && at != 0 && start > at+maxWithdrawDelay {
			s.recordViolation("withdrawn key", "served a request sent %d ms after the withdrawal", start-at)
		}
		s.recordGeneration(prompt, 2, text, end, err)
		time.Sleep((50 * mn.Millisecond).Duration())
	}
}

// view returns the state after applying all records of the control stream.
func (s *scenario) view() (*mn.View, error) {
	machine := conf.New()
	batch, err := s.cluster.PlatformClient().Read(s.ctx, mn.ControlStream, 1, 0, 0)
	if err != nil {
		return nil, err
	}
	if err := machine.Apply(batch.Entries); err != nil {
		return nil, err
	}
	return machine.View(), nil
}

func (s *scenario) resourceVersion(name mn.ResourceName) mn.Offset {
	view, err := s.view()
	if err != nil {
		return 0
	}
	return view.Resources[name].Version
}

// holder returns the node that holds the control lease, or nil if there is none.
func (s *scenario) holder() (*procs.Node, error) {
	view, err := s.view()
	if err != nil {
		return nil, err
	}
	return s.cluster.Nodes[view.Lease.Holder], nil
}

// appendRecord appends a record to the control stream. It makes up to 100 attempts,
// because the log may be down.
func (s *scenario) appendRecord(record *mn.Record) error {
	var err error
	for range 100 {
		if _, err = s.cluster.Append(s.ctx, record); err == nil {
			return nil
		}
		time.Sleep((100 * mn.Millisecond).Duration())
	}
	return err
}
