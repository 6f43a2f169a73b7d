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
	// leaveLimit bounds how long a leaving process may take.
	leaveLimit = 20 * mn.Second
	// withdrawLimit is how long a withdrawn key may still work.
	withdrawLimit = 5 * mn.Second
	// configLimit is how long a change may take to be in force everywhere.
	configLimit = 6 * mn.Second
	// callLimit bounds one try of a request.
	callLimit = 10 * mn.Second
	// tries bounds how often a caller repeats a booking.
	tries = 6
)

// booking is one booking with what its caller was told, try by try.
type booking struct {
	key  string
	body string
	done bool
	// sure says that every try ended with "not run".
	sure bool
	// attempt numbers the tries that were not answered "not run", from 1.
	attempt int32
}

// scene is one cell's cluster with its traffic and what came of it.
type scene struct {
	ctx     context.Context
	cell    string
	clock   mn.Clock
	cluster *procs.Cluster
	http    *http.Client
	rng     *rand.Rand
	// entry and agent are what faults hit; other is another entry.
	entry, other, agent *procs.Node
	paused              *procs.Node
	wg                  sync.WaitGroup
	withdrawn           atomic.Int64
	ordered             bool
	// planned says that the cell has planned changes only.
	planned bool

	mu       sync.Mutex
	bookings []*booking
	answered map[string]int64
	counts   map[string]int
	broken   []string
}

// build starts three entries, two engines and two plain services with links.
func build(ctx context.Context, bin, dir, cell string, seed uint64) (*scene, error) {
	c, err := procs.New(bin, dir)
	if err != nil {
		return nil, err
	}
	s := &scene{
		ctx: ctx, cell: cell, clock: mn.NewSystemClock(), cluster: c, http: wire.NewHTTPClient(),
		rng:      rand.New(rand.NewPCG(seed, 1)),
		answered: map[string]int64{}, counts: map[string]int{},
	}
	c.UseLinks = true
	c.ExtraEntrySettings = "[control]\nusage_window = 1s\n"
	if err := s.populate(); err != nil {
		c.Close()
		return nil, err
	}
	return s, nil
}

func (s *scene) populate() error {
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
	s.entry, s.other = c.Nodes["entry-1"], c.Nodes["entry-2"]
	return s.warm()
}

// aim chooses the agent that faults hit: one of the pool that the step uses.
func (s *scene) aim(step string) {
	pool := "taalpers"
	if strings.HasPrefix(step, "booking") {
		pool = "orderbalie"
	}
	s.agent = s.cluster.Nodes[mn.VMID(fmt.Sprintf("%s-%d", pool, 1+s.rng.IntN(2)))]
}

// warm slows the endpoints down and waits until every entry serves requests.
func (s *scene) warm() error {
	for _, n := range s.cluster.Nodes {
		if n.Endpoint == nil {
			continue
		}
		name, value := fakes.TokenMillis, int64(tokenSpan)
		if n.VM.Pool == "orderbalie" {
			name, value = fakes.CallMillis, int64(callSpan)
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
				s.noteGeneration(prompt, 1, text, end, nil)
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

func (s *scene) fail(rule, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = append(s.broken, rule+": "+fmt.Sprintf(format, args...))
}

func (s *scene) count(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[name]++
}

func (s *scene) client(entry *procs.Node, key string) *caller.Client {
	return caller.NewClientHTTP(s.http, entry.CallerURL(), key)
}

// generate sends a generation through entry and returns its whole text.
func (s *scene) generate(ctx context.Context, entry *procs.Node, key, prompt string, tokens int64, each func(*apipb.GenerateChunk)) (string, *apipb.EndMarker, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit.Duration())
	defer cancel()
	var text strings.Builder
	var end *apipb.EndMarker
	err := s.client(entry, key).Generate(ctx, &apipb.GenerateRequest{Model: modelName, Prompt: prompt, MaxTokens: tokens}, func(k *apipb.GenerateChunk) error {
		text.WriteString(k.Text)
		end = k.End
		if each != nil && k.End == nil {
			each(k)
		}
		return nil
	})
	return text.String(), end, err
}

// noteCut checks that a planned change cuts no request: it may only be refused
// before it ran.
func (s *scene) noteCut(what string, e *mn.Error) {
	if s.planned && e.Outcome != mn.OutcomeNotRun {
		s.fail("planned change", "%s was cut: %v", what, e)
	}
}

// noteGeneration checks an answer and keeps what it has to be billed.
func (s *scene) noteGeneration(prompt string, tokens int64, text string, end *apipb.EndMarker, err error) {
	if err != nil {
		e := mn.AsError(err)
		s.count("generation " + e.Code.String() + " " + e.Outcome.String())
		s.noteCut("generation "+prompt, e)
		return
	}
	s.count("generation ok")
	if text != want(prompt, tokens) || end.OutputTokens != tokens {
		s.fail("whole answer", "prompt %q: got %d bytes and %d tokens, want %d tokens", prompt, len(text), end.OutputTokens, tokens)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answered["output"] += end.OutputTokens
	s.answered["prompt"] += end.PromptTokens
}

// book sends a booking with a key of its own until it is done or refused for
// good, through one entry after the other.
func (s *scene) book(entry *procs.Node, key, body string) *booking {
	b := &booking{key: string(mn.NewRequestID()), sure: true, attempt: 1}
	b.body = body + " " + b.key
	s.mu.Lock()
	s.bookings = append(s.bookings, b)
	s.mu.Unlock()
	for i := range tries {
		if s.try(entry, key, b) || s.ctx.Err() != nil {
			return b
		}
		time.Sleep((200 * mn.Millisecond).Duration())
		if i%2 == 0 {
			entry = s.other
		}
	}
	return b
}

// repeat sends a booking again that may have been done.
func (s *scene) repeat(entry *procs.Node, key string, b *booking) { s.try(entry, key, b) }

// try sends b once and says whether its caller needs no further try.
func (s *scene) try(entry *procs.Node, key string, b *booking) bool {
	ctx, cancel := context.WithTimeout(s.ctx, callLimit.Duration())
	defer cancel()
	resp, err := s.client(entry, key).Call(ctx, &apipb.CallRequest{Pool: "orderbalie", Path: "/book", Body: []byte(b.body), IdempotencyKey: b.key, Attempt: b.attempt, DeadlineMs: int64(callLimit)})
	if err == nil {
		s.count("booking ok")
		s.mu.Lock()
		defer s.mu.Unlock()
		b.done = true
		b.attempt++
		if string(resp.Body) != "done "+b.body {
			s.broken = append(s.broken, fmt.Sprintf("whole answer: booking %s got %q", b.key, resp.Body))
		}
		return true
	}
	e := mn.AsError(err)
	s.count("booking " + e.Code.String() + " " + e.Outcome.String())
	s.noteCut("booking "+b.key, e)
	if e.Outcome != mn.OutcomeNotRun {
		s.mu.Lock()
		b.sure = false
		b.attempt++
		s.mu.Unlock()
	}
	return e.Code == mn.KeyWithdrawn
}

// traffic keeps requests of both customers going through all entries.
func (s *scene) traffic(ctx context.Context) {
	entries := []*procs.Node{s.entry, s.other, s.cluster.Nodes["entry-3"]}
	for i, n := range entries {
		s.wg.Go(func() {
			for k := 0; ctx.Err() == nil; k++ {
				prompt := fmt.Sprintf("side %s %d %d", s.cell, i, k)
				text, end, err := s.generate(s.ctx, n, mainKey, prompt, 10, nil)
				s.noteGeneration(prompt, 10, text, end, err)
				s.book(n, mainKey, fmt.Sprintf("side %d %d", i, k))
			}
		})
	}
	s.wg.Go(func() { s.watchKey(ctx, s.cluster.Nodes["entry-3"]) })
}

// watchKey uses the second customer's key over and over, and checks that it
// stops working once it is withdrawn.
func (s *scene) watchKey(ctx context.Context, entry *procs.Node) {
	for k := 0; ctx.Err() == nil; k++ {
		prompt := fmt.Sprintf("other %s %d", s.cell, k)
		begun := s.clock.Now()
		text, end, err := s.generate(s.ctx, entry, otherKey, prompt, 2, nil)
		at := mn.Millis(s.withdrawn.Load())
		if err == nil && at != 0 && begun > at+withdrawLimit {
			s.fail("withdrawn key", "served a request sent %d ms after the withdrawal", begun-at)
		}
		s.noteGeneration(prompt, 2, text, end, err)
		time.Sleep((50 * mn.Millisecond).Duration())
	}
}

// view folds the whole control stream.
func (s *scene) view() (*mn.View, error) {
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

func (s *scene) resourceVersion(name mn.ResourceName) mn.Offset {
	v, err := s.view()
	if err != nil {
		return 0
	}
	return v.Resources[name].Version
}

// holder returns the node that holds the control lease, nil if none does.
func (s *scene) holder() (*procs.Node, error) {
	v, err := s.view()
	if err != nil {
		return nil, err
	}
	return s.cluster.Nodes[v.Lease.Holder], nil
}

// append appends a record, again and again while the log is down.
func (s *scene) append(r *mn.Record) error {
	var err error
	for range 100 {
		if _, err = s.cluster.Append(s.ctx, r); err == nil {
			return nil
		}
		time.Sleep((100 * mn.Millisecond).Duration())
	}
	return err
}
