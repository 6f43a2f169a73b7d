package node

import (
	"context"
	"sync"

	mn "mustardnotch"
	"mustardnotch/core/route"
	"mustardnotch/core/sched"
	"mustardnotch/gen/meshpb"
)

const (
	// pollInterval is the span between looks at the engine's load.
	pollInterval = 200 * mn.Millisecond
	// keptEvents bounds the cache events kept for entries.
	keptEvents = 2048
	// eventsPerReport bounds the cache events in one load report.
	eventsPerReport = 128
	// cachedBlocks bounds the blocks remembered of the engine's prefix cache.
	cachedBlocks = 1 << 14
)

// queued puts a queue in front of an agent's endpoint and reports its load. It
// is the agent's [mn.Scheduler] and, with an engine, its [mn.Engine].
type queued struct {
	mn.Engine
	clock  mn.Clock
	queue  *sched.Queue
	cached *route.PrefixIndex
	demand *demands

	mu      sync.Mutex
	jobs    map[mn.RequestID]*job
	load    mn.EngineLoad
	state   mn.EngineState
	polled  mn.Millis
	events  []*meshpb.CachedPrefix
	dropped int64 // events dropped from the front of events
	gap     int64 // number of the first event after the last gap
	after   int64 // sequence of the engine's last event
}

// job is a request at the endpoint.
type job struct {
	grant  *sched.Grant
	prompt sched.Tokens // tokens that the engine prefilled
}

// newQueued returns a queue in front of e, which is nil for a plain service.
func newQueued(clock mn.Clock, e mn.Engine, running int64) *queued {
	limits := sched.DefaultLimits()
	limits.Running = int(running)
	return &queued{
		Engine: e,
		clock:  clock,
		queue:  sched.New(clock, limits),
		cached: route.NewPrefixIndex(cachedBlocks),
		demand: newDemands(clock),
		jobs:   make(map[mn.RequestID]*job),
	}
}

// Acquire implements [mn.Scheduler].
func (q *queued) Acquire(ctx context.Context, w mn.Work) (func(int64), error) {
	j := &job{}
	if !w.Prefilled && w.Prompt != "" {
		j.prompt = sched.Tokens(max(promptTokens(w.Prompt)-q.cached.Tokens(w.Prompt), 1))
	}
	q.demand.arrive(w.Customer, int64(j.prompt), w.MaxTokens)
	grant, err := q.queue.Acquire(ctx, sched.Job{
		Customer:        w.Customer,
		Weight:          w.Weight,
		PromptTokens:    j.prompt,
		MaxOutputTokens: sched.Tokens(w.MaxTokens),
		Deadline:        w.Deadline,
	})
	if err != nil {
		return nil, err
	}
	j.grant = grant
	q.mu.Lock()
	q.jobs[w.ID] = j
	q.mu.Unlock()
	return func(tokens int64) { q.release(w, j, tokens) }, nil
}

func (q *queued) release(w mn.Work, j *job, tokens int64) {
	q.mu.Lock()
	if q.jobs[w.ID] == j {
		delete(q.jobs, w.ID)
	}
	prompt := j.prompt
	q.mu.Unlock()
	q.demand.answered(w.Customer, tokens)
	j.grant.Done(prompt, sched.Tokens(tokens))
}

// promptTokens estimates the tokens of prompt.
func promptTokens(prompt string) int64 { return int64(len(prompt)+3) / 4 }

// Generate implements [mn.Engine]; it notes when the first token comes and
// how much of the prompt was cached.
func (q *queued) Generate(ctx context.Context, g mn.Generation, emit func(mn.OutputChunk) error) error {
	q.mu.Lock()
	j := q.jobs[g.ID]
	q.mu.Unlock()
	if j == nil {
		return q.Engine.Generate(ctx, g, emit)
	}
	return q.Engine.Generate(ctx, g, func(p mn.OutputChunk) error {
		j.grant.FirstToken()
		if p.Last && g.CacheHandle == "" {
			q.mu.Lock()
			j.prompt = sched.Tokens(max(p.PromptTokens-p.CachedTokens, 0))
			q.mu.Unlock()
			q.cached.Add(g.Prompt)
		}
		return emit(p)
	})
}

// poll follows the engine's load, state and cache until ctx is done.
func (q *queued) poll(ctx context.Context) error {
	for q.Engine != nil && ctx.Err() == nil {
		q.look(ctx)
		_ = q.clock.Sleep(ctx, pollInterval)
	}
	return nil
}

func (q *queued) look(ctx context.Context) {
	load, err := q.Engine.Load(ctx)
	if err != nil {
		return
	}
	state, err := q.Engine.State(ctx)
	if err != nil {
		return
	}
	events, err := q.Engine.CacheEvents(ctx, q.after)
	if err != nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.load, q.state, q.polled = load, state, q.clock.Now()
	for _, e := range events {
		q.keep(e)
	}
	if extra := len(q.events) - keptEvents; extra > 0 {
		q.events = append([]*meshpb.CachedPrefix(nil), q.events[extra:]...)
		q.dropped += int64(extra)
	}
}

func (q *queued) keep(e mn.CacheEvent) {
	if q.after != 0 && e.Sequence != q.after+1 {
		q.gap = q.dropped + int64(len(q.events)) + 1
	}
	q.after = e.Sequence
	q.events = append(q.events, &meshpb.CachedPrefix{Prefix: e.Prefix, Evicted: e.Evicted})
	if b, err := route.ParseBlock(e.Prefix); err == nil {
		q.cached.Apply(route.CacheEvent{Block: b, Evicted: e.Evicted})
	}
}

// LoadReport implements [entry.Loads].
func (q *queued) LoadReport(after int64) (*meshpb.LoadReport, int64) {
	s := q.queue.Stats()
	q.mu.Lock()
	defer q.mu.Unlock()
	r := &meshpb.LoadReport{
		Running:       int64(s.Running),
		Waiting:       int64(s.Waiting),
		PrefillTokens: int64(s.PrefillTokens),
		QueuedTokens:  int64(s.QueuedTokens),
		KvUsed:        q.load.KVUsed,
		EngineRole:    string(q.state.Role),
		Model:         string(q.state.Model),
		Version:       q.state.Version,
		Changing:      q.state.Changing,
		Limit:         int64(s.Limit),
		PrefillMs:     s.Latency.PrefillMillis,
		DecodeMs:      s.Latency.DecodeMillis,
		Backlog:       float64(s.Backlog),
		Pace:          s.Throughput,
		Demand:        q.demand.report(),
	}
	end := q.dropped + int64(len(q.events))
	start := max(after, q.dropped, end-eventsPerReport)
	r.EventsLost = start > after || q.gap > after
	r.Prefixes = q.events[start-q.dropped:]
	return r, end
}
