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
	// pollInterval is the interval at which the engine's load, state and cache events
	// are requested.
	pollInterval = 200 * mn.Millisecond
	// maxCacheEvents is the maximum number of cache events buffered for entries.
	maxCacheEvents = 2048
	// maxEventsPerReport is the maximum number of cache events in one load report.
	maxEventsPerReport = 128
	// maxCachedBlocks is the maximum number of blocks in the agent's index of the
	// engine's prefix cache.
	maxCachedBlocks = 1 << 14
)

// endpointQueue queues requests in front of an agent's endpoint and reports its load. It is
// the agent's [mn.Scheduler] and, with an engine, its [mn.Engine].
type endpointQueue struct {
	mn.Engine
	clock  mn.Clock
	queue  *sched.Queue
	cached *route.PrefixIndex
	demand *demandCounter

	mu           sync.Mutex
	jobs         map[mn.RequestID]*runningRequest
	load         mn.EngineLoad
	state        mn.EngineState
	polled       mn.Millis
	events       []*meshpb.CachedPrefix
	dropped      int64 // events dropped from the front of events
	gapEvent     int64 // number of the first event after the last gap
	lastSequence int64 // sequence of the engine's last event
}

// runningRequest is a request that was admitted to the endpoint.
type runningRequest struct {
	grant  *sched.Grant
	prompt sched.Tokens // tokens to prefill: an estimate until the engine reports them
}

// newEndpointQueue returns a queue in front of e, which is nil for a plain service.
func newEndpointQueue(clock mn.Clock, e mn.Engine, running int64) *endpointQueue {
	limits := sched.DefaultLimits()
	limits.Running = int(running)
	return &endpointQueue{
		Engine: e,
		clock:  clock,
		queue:  sched.New(clock, limits),
		cached: route.NewPrefixIndex(maxCachedBlocks),
		demand: newDemandCounter(clock),
		jobs:   make(map[mn.RequestID]*runningRequest),
	}
}

// Acquire implements [mn.Scheduler].
func (q *endpointQueue) Acquire(ctx context.Context, w mn.Work) (func(int64), error) {
	j := &runningRequest{}
	if !w.Prefilled && w.Prompt != "" {
		j.prompt = sched.Tokens(max(promptTokens(w.Prompt)-q.cached.Tokens(w.Prompt), 1))
	}
	q.demand.addRequest(w.Customer, int64(j.prompt), w.MaxTokens)
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

func (q *endpointQueue) release(w mn.Work, j *runningRequest, tokens int64) {
	q.mu.Lock()
	if q.jobs[w.ID] == j {
		delete(q.jobs, w.ID)
	}
	prompt := j.prompt
	q.mu.Unlock()
	q.demand.addOutput(w.Customer, tokens)
	j.grant.Done(prompt, sched.Tokens(tokens))
}

// promptTokens estimates the number of tokens of prompt at 4 bytes each.
func promptTokens(prompt string) int64 { return int64(len(prompt)+3) / 4 }

// Generate implements [mn.Engine]. It records when the first token arrives and how much of
// the prompt was cached.
func (q *endpointQueue) Generate(ctx context.Context, g mn.Generation, emit func(mn.OutputChunk) error) error {
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

// poll polls the engine until ctx is done.
func (q *endpointQueue) poll(ctx context.Context) error {
	for q.Engine != nil && ctx.Err() == nil {
		q.pollOnce(ctx)
		_ = q.clock.Sleep(ctx, pollInterval)
	}
	return nil
}

// pollOnce updates the load and state, and adds the new cache events.
func (q *endpointQueue) pollOnce(ctx context.Context) {
	load, err := q.Engine.Load(ctx)
	if err != nil {
		return
	}
	state, err := q.Engine.State(ctx)
	if err != nil {
		return
	}
	events, err := q.Engine.CacheEvents(ctx, q.lastSequence)
	if err != nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.load, q.state, q.polled = load, state, q.clock.Now()
	for _, e := range events {
		q.applyCacheEvent(e)
	}
	if extra := len(q.events) - maxCacheEvents; extra > 0 {
		q.events = append([]*meshpb.CachedPrefix(nil), q.events[extra:]...)
		q.dropped += int64(extra)
	}
}

// applyCacheEvent adds e to the buffered events and to the index.
func (q *endpointQueue) applyCacheEvent(e mn.CacheEvent) {
	if q.lastSequence != 0 && e.Sequence != q.lastSequence+1 {
		q.gapEvent = q.dropped + int64(len(q.events)) + 1
	}
	q.lastSequence = e.Sequence
	q.events = append(q.events, &meshpb.CachedPrefix{Prefix: e.Prefix, Evicted: e.Evicted})
	if b, err := route.ParseBlock(e.Prefix); err == nil {
		q.cached.Apply(route.CacheEvent{Block: b, Evicted: e.Evicted})
	}
}

// LoadReport implements [entry.LoadReporter].
func (q *endpointQueue) LoadReport(after int64) (*meshpb.LoadReport, int64) {
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
	start := max(after, q.dropped, end-maxEventsPerReport)
	r.EventsLost = start > after || q.gapEvent > after
	r.Prefixes = q.events[start-q.dropped:]
	return r, end
}
