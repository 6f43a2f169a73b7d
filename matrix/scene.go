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
	// maxLeaveTime bounds how long a leaving process may take.
	maxLeaveTime = 20 * mn.Second
	// maxWithdrawDelay is how long a withdrawn key may still work.
	maxWithdrawDelay = 5 * mn.Second
	// maxConfigDelay is how long a change may take to be in force everywhere.
	maxConfigDelay = 6 * mn.Second
	// attemptTimeout bounds one try of a request.
	attemptTimeout = 10 * mn.Second
	// maxAttempts bounds how often a caller repeats a booking.
	maxAttempts = 6
)

// booking is one booking with what its caller was told, try by try.
type booking struct {
	idempotencyKey string
	body           string
	done           bool
	// reportedNotRun says that every try ended with "not run".
	reportedNotRun bool
	// attempt numbers the tries that were not answered "not run", from 1.
	attempt int32
}

// scenario is one cell's cluster with its traffic and what came of it.
type scenario struct {
	ctx     context.Context
	cell    string
	clock   mn.Clock
	cluster *procs.Cluster
	http    *http.Client
	rng     *rand.Rand
	// entry and agent are what faults hit; other is another entry.
	entry, otherEntry, agent *procs.Node
	paused                   *procs.Node
	wg                       sync.WaitGroup
	withdrawnAt              atomic.Int64
	versionOrdered           bool
	// plannedOnly says that the cell has planned changes only.
	plannedOnly bool

	mu             sync.Mutex
	bookings       []*booking
	answeredTokens map[string]int64
	counts         map[string]int
	violations     []string
}

// newScenario starts three entries, two engines and two plain services with links.
func newScenario(ctx context.Context, bin, dir, cell string, seed uint64) (*scenario, error) {
	c, err := procs.New(bin, dir)
	if err != nil {
		return nil, err
	}
	s := &scenario{
		ctx: ctx, cell: cell, clock: mn.NewSystemClock(), cluster: c, http: wire.NewHTTPClient(),
		rng:            rand.New(rand.NewPCG(seed, 1)),
		answeredTokens: map[string]int64{}, counts: map[string]int{},
	}
	c.UseLinks = true
	c.ExtraEntrySettings = "[control]\nusage_window = 1s\n"
	if err := s.populate(); err != nil {
		c.Close()
		return nil, err
	}
	return s, nil
}

func (s *scenario) populate() error {
	c := s.cluster
	_, err := c.Declare(s.ctx,
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
		if _, err := c.AddEntry(fmt.Sprintf("entry-%d", i+1), dc); err != nil {
			return err
		}
	}
	for i := range 2 {
		if _, err := c.AddEngine(fmt.Sprintf("taalpers-%d", i+1), dcs[i], modelName, modelName); err != nil {
			return err
		}
		if _, err := c.AddPlainService(fmt.Sprintf("orderbalie-%d", i+1), dcs[i], "orderbalie"); err != nil {
			return err
		}
	}
	s.entry, s.otherEntry = c.Nodes["entry-1"], c.Nodes["entry-2"]
	return s.warmUp()
}

// chooseAgent chooses the agent that faults hit: one of the pool that the step uses.
func (s *scenario) chooseAgent(step string) {
	pool := "taalpers"
	if strings.HasPrefix(step, "booking") {
		pool = "orderbalie"
	}
	s.agent = s.cluster.Nodes[mn.VMID(fmt.Sprintf("%s-%d", pool, 1+s.rng.IntN(2)))]
}

// warmUp slows the endpoints down and waits until every entry serves requests.
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

// generate sends a generation through entry and returns its whole text.
func (s *scenario) generate(ctx context.Context, entry *procs.Node, key, prompt string, tokens int64, onChunk func(*apipb.GenerateChunk)) (string, *apipb.EndMarker, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout.Duration())
	defer cancel()
	var text strings.Builder
	var end *apipb.EndMarker
	err := s.client(entry, key).Generate(ctx, &apipb.GenerateRequest{Model: modelName, Prompt: prompt, MaxTokens: tokens}, func(k *apipb.GenerateChunk) error {
		text.WriteString(k.Text)
		end = k.End
		if onChunk != nil && k.End == nil {
			onChunk(k)
		}
		return nil
	})
	return text.String(), end, err
}

// checkPlannedChange checks that a planned change cuts no request: it may only be refused
// before it ran.
func (s *scenario) checkPlannedChange(what string, e *mn.Error) {
	if s.plannedOnly && e.Outcome != mn.OutcomeNotRun {
		s.recordViolation("planned change", "%s was cut: %v", what, e)
	}
}

// recordGeneration checks an answer and keeps what it has to be billed.
func (s *scenario) recordGeneration(prompt string, tokens int64, text string, end *apipb.EndMarker, err error) {
	if err != nil {
		e := mn.AsError(err)
		s.countOutcome("generation " + e.Code.String() + " " + e.Outcome.String())
		s.checkPlannedChange("generation "+prompt, e)
		return
	}
	s.countOutcome("generation ok")
	if text != wantText(prompt, tokens) || end.OutputTokens != tokens {
		s.recordViolation("whole answer", "prompt %q: got %d bytes and %d tokens, want %d tokens", prompt, len(text), end.OutputTokens, tokens)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answeredTokens["output"] += end.OutputTokens
	s.answeredTokens["prompt"] += end.PromptTokens
}

// book sends a booking with a key of its own until it is done or refused for
// good, through one entry after the other.
func (s *scenario) book(entry *procs.Node, key, body string) *booking {
	b := &booking{idempotencyKey: string(mn.NewRequestID()), reportedNotRun: true, attempt: 1}
	b.body = body + " " + b.idempotencyKey
	s.mu.Lock()
	s.bookings = append(s.bookings, b)
	s.mu.Unlock()
	for i := range maxAttempts {
		if s.attempt(entry, key, b) || s.ctx.Err() != nil {
			return b
		}
		time.Sleep((200 * mn.Millisecond).Duration())
		if i%2 == 0 {
			entry = s.otherEntry
		}
	}
	return b
}

// repeat sends a booking again that may have been done.
func (s *scenario) repeat(entry *procs.Node, key string, b *booking) { s.attempt(entry, key, b) }

// attempt sends b once and says whether its caller needs no further try.
func (s *scenario) attempt(entry *procs.Node, key string, b *booking) bool {
	ctx, cancel := context.WithTimeout(s.ctx, attemptTimeout.Duration())
	defer cancel()
	resp, err := s.client(entry, key).Call(ctx, &apipb.CallRequest{Pool: "orderbalie", Path: "/book", Body: []byte(b.body), IdempotencyKey: b.idempotencyKey, Attempt: b.attempt, DeadlineMs: int64(attemptTimeout)})
	if err == nil {
		s.countOutcome("booking ok")
		s.mu.Lock()
		defer s.mu.Unlock()
		b.done = true
		b.attempt++
		if string(resp.Body) != "done "+b.body {
			s.violations = append(s.violations, fmt.Sprintf("whole answer: booking %s got %q", b.idempotencyKey, resp.Body))
		}
		return true
	}
	e := mn.AsError(err)
	s.countOutcome("booking " + e.Code.String() + " " + e.Outcome.String())
	s.checkPlannedChange("booking "+b.idempotencyKey, e)
	if e.Outcome != mn.OutcomeNotRun {
		s.mu.Lock()
		b.reportedNotRun = false
		b.attempt++
		s.mu.Unlock()
	}
	return e.Code == mn.KeyWithdrawn
}

// startTraffic keeps requests of both customers going through all entries.
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

// watchKey uses the second customer's key over and over, and checks that it
// stops working once it is withdrawn.
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

// view folds the whole control stream.
func (s *scenario) view() (*mn.View, error) {
	f := conf.New()
	batch, err := s.cluster.PlatformClient().Read(s.ctx, mn.ControlStream, 1, 0, 0)
	if err != nil {
		return nil, err
	}
	if err := f.Apply(batch.Entries); err != nil {
		return nil, err
	}
	return f.View(), nil
}

func (s *scenario) resourceVersion(name mn.ResourceName) mn.Offset {
	v, err := s.view()
	if err != nil {
		return 0
	}
	return v.Resources[name].Version
}

// holder returns the node that holds the control lease, nil if none does.
func (s *scenario) holder() (*procs.Node, error) {
	v, err := s.view()
	if err != nil {
		return nil, err
	}
	return s.cluster.Nodes[v.Lease.Holder], nil
}

// appendRecord appends a record, again and again while the log is down.
func (s *scenario) appendRecord(r *mn.Record) error {
	var err error
	for range 100 {
		if _, err = s.cluster.Append(s.ctx, r); err == nil {
			return nil
		}
		time.Sleep((100 * mn.Millisecond).Duration())
	}
	return err
}
