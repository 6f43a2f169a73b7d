package place

import (
	"context"
	"math"
	"sync"
	"time"

	mn "mustardnotch"
)

const (
	// factsLife is how long another front's word on its work counts: several
	// times the period at which fronts speak.
	factsLife = 2 * mn.Second
	// failHalfLife is the time in which an endpoint's failures count half.
	failHalfLife = 2500 * mn.Millisecond
	// failCost is what a certain failure adds to the cost of an endpoint: about
	// the time that a request loses by it.
	failCost = 1500.0
	// firstPause and longestPause bound how long an endpoint that can't be
	// reached is left alone; the pause doubles from one to the other.
	firstPause   = 400 * mn.Millisecond
	longestPause = 3 * mn.Second
	// speedWeight is the weight of one observation in a learned speed.
	speedWeight = 0.15
	// fewestSlow and mostSlow bound the learned speed factor of an endpoint.
	fewestSlow, mostSlow = 0.2, 12.0
	// plainStart is the time of an answer that is assumed of a plain endpoint
	// which has not answered yet.
	plainStart = 30.0
)

// Config sets a board.
type Config struct {
	DataCentre mn.DataCentre
	// Naive places prompts at random engines that also generate, without reading
	// prompts elsewhere, without homes, admission or learned speeds.
	Naive bool
	// Disabled lists decisions that are switched off.
	Disabled []Feature
}

// Balancer is what a front knows of endpoints. It is safe for concurrent use.
type Balancer struct {
	config Config
	clock  mn.Clock
	off    map[Feature]bool

	mu        sync.Mutex
	endpoints map[mn.EndpointID]*state
	byPool    map[mn.PoolID][]*state
	engines   map[mn.PoolID]mn.EngineSpec
	fronts    map[mn.VMID]told
	reads     []toldRead
	readCount int64
	// news counts changes that other fronts should hear of at once; changed is
	// closed at the next.
	news    int64
	changed chan struct{}
}

// told is what another front said of its work, and when.
type told struct {
	incarnation mn.Incarnation
	at          mn.Millis
	uses        map[mn.EndpointID]mn.EndpointLoad
	// silent says that it is not counted, since the front has not spoken lately.
	silent bool
}

// state is what is known of one endpoint.
type state struct {
	mn.Endpoint
	// requests and reading are this front's work there: requests without an
	// answer, and the milliseconds that their prompts need; others is the same of
	// the other fronts.
	requests int64
	reading  float64
	others   mn.EndpointLoad
	// slow is the learned ratio of observed to expected time.
	slow float64
	// answer is the learned time of an answer of a plain endpoint.
	answer float64
	// failures is a decaying share of failed requests.
	failures   float64
	failuresAt mn.Millis
	// pausedUntil ends a time in which the endpoint is left alone; pause is its
	// length, 0 while the endpoint can be reached. probing says that the first
	// request after a pause is on its way.
	pausedUntil mn.Millis
	pause       mn.Millis
	probing     bool
	parts       *parts
}

// New returns a board that knows of no endpoint.
func New(config Config, clock mn.Clock) *Balancer {
	off := map[Feature]bool{}
	for _, d := range config.Disabled {
		off[d] = true
	}
	return &Balancer{
		config:    config,
		off:       off,
		clock:     clock,
		endpoints: map[mn.EndpointID]*state{},
		byPool:    map[mn.PoolID][]*state{},
		engines:   map[mn.PoolID]mn.EngineSpec{},
		fronts:    map[mn.VMID]told{},
		changed:   make(chan struct{}),
	}
}

// SetPools sets the pools' specifications.
func (b *Balancer) SetPools(pools map[mn.PoolID]mn.PoolSpec) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.engines = map[mn.PoolID]mn.EngineSpec{}
	for id, p := range pools {
		if p.Engine != nil {
			b.engines[id] = *p.Engine
		}
	}
}

// SetEndpoints sets the list of endpoints. What was learned of an endpoint is kept
// unless it was started anew.
func (b *Balancer) SetEndpoints(list []mn.Endpoint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := make(map[mn.EndpointID]*state, len(list))
	byPool := map[mn.PoolID][]*state{}
	for _, e := range list {
		s := b.endpoints[e.ID]
		if s == nil || s.StartedAt != e.StartedAt || s.Addr != e.Addr {
			s = &state{slow: 1, answer: plainStart, parts: newParts()}
		}
		s.Endpoint = e
		next[e.ID] = s
		byPool[e.Pool] = append(byPool[e.Pool], s)
	}
	b.endpoints, b.byPool = next, byPool
	for _, s := range next {
		s.others = mn.EndpointLoad{}
	}
	for _, t := range b.fronts {
		if !t.silent {
			b.countAll(t, 1)
		}
	}
}

// count adds another front's use to what is known of an endpoint, or takes it off
// with a sign of -1.
func (b *Balancer) count(u mn.EndpointLoad, sign int64) {
	if s := b.endpoints[u.Endpoint]; s != nil {
		s.others.Requests += sign * u.Requests
		s.others.PrefillTime += mn.Millis(sign) * u.PrefillTime
	}
}

// countAll does the same with all uses of a front.
func (b *Balancer) countAll(t told, sign int64) {
	for _, u := range t.uses {
		b.count(u, sign)
	}
}

// silence takes the work of fronts off that have not spoken for too long. When
// they do again, what they said before still holds but for what changed.
func (b *Balancer) silence(now mn.Millis) {
	for vm, t := range b.fronts {
		if !t.silent && now-t.at > factsLife {
			b.countAll(t, -1)
			t.silent = true
			b.fronts[vm] = t
		}
	}
}

// Endpoint returns an endpoint of the list.
func (b *Balancer) Endpoint(id mn.EndpointID) (mn.Endpoint, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.endpoints[id]
	if !ok {
		return mn.Endpoint{}, false
	}
	return s.Endpoint, true
}

// ReceiveState takes in another front's work: all of it, or what changed.
func (b *Balancer) ReceiveState(f mn.FrontState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	b.silence(now)
	t, ok := b.fronts[f.VM]
	switch {
	case !ok || f.Scope == mn.ScopeAll || t.incarnation != f.Incarnation:
		if !t.silent {
			b.countAll(t, -1)
		}
		t = told{incarnation: f.Incarnation, uses: make(map[mn.EndpointID]mn.EndpointLoad, len(f.Loads))}
	case t.silent:
		b.countAll(t, 1)
		t.silent = false
	}
	t.at = now
	for _, u := range f.Loads {
		if b.without(PeerLoad) {
			break
		}
		b.count(t.uses[u.Endpoint], -1)
		b.count(u, 1)
		t.uses[u.Endpoint] = u
	}
	b.fronts[f.VM] = t
	b.heardReads(f.PrefilledPrompts)
}

// Cursor is what another front was told. Its zero is nothing.
type Cursor struct {
	uses map[mn.EndpointID]mn.EndpointLoad
	read int64
}

// StateSince returns this front's work and what was read lately, as far as it has
// changed since c, and moves c on. With whole it returns all.
func (b *Balancer) StateSince(c *Cursor, whole bool) ([]mn.EndpointLoad, []mn.PrefilledPrompt) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	if whole || c.uses == nil {
		c.uses = map[mn.EndpointID]mn.EndpointLoad{}
	}
	var uses []mn.EndpointLoad
	for id, s := range b.endpoints {
		u := mn.EndpointLoad{Endpoint: id, Requests: s.requests, PrefillTime: mn.Millis(s.reading)}
		if u != c.uses[id] && (c.uses[id] != mn.EndpointLoad{} || u.Requests > 0) {
			uses = append(uses, u)
			c.uses[id] = u
		}
	}
	return uses, b.readsSince(c, now)
}

// UrgentUpdates returns how many changes other fronts should have heard of at once.
func (b *Balancer) UrgentUpdates() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.news
}

// AwaitUrgentUpdate waits for a change since News returned seen, for span at most, and
// returns News.
func (b *Balancer) AwaitUrgentUpdate(ctx context.Context, seen int64, span mn.Millis) int64 {
	b.mu.Lock()
	changed, news := b.changed, b.news
	b.mu.Unlock()
	if news != seen {
		return news
	}
	t := time.NewTimer(span.Duration())
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
	}
	return b.UrgentUpdates()
}

// RequestUrgentUpdate notes that something changed of which other fronts should hear at
// once.
func (b *Balancer) RequestUrgentUpdate() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.announce()
}

// announce notes a change that other fronts should hear of at once.
func (b *Balancer) announce() {
	b.news++
	close(b.changed)
	b.changed = make(chan struct{})
}

// load returns the requests and the reading time of all fronts at s.
func (s *state) load() (requests int64, reading float64) {
	return s.requests + s.others.Requests, s.reading + float64(s.others.PrefillTime)
}

// usable says whether new work may go to s.
func (s *state) usable(now mn.Millis, avoid []mn.EndpointID) bool {
	if s.State != mn.EndpointReady || s.Changing || now < s.pausedUntil || s.pause > 0 && s.probing {
		return false
	}
	for _, id := range avoid {
		if id == s.ID {
			return false
		}
	}
	return true
}

// failing returns the decayed share of failed requests.
func (s *state) failing(now mn.Millis) float64 {
	if s.failures == 0 {
		return 0
	}
	return s.failures * math.Exp2(-float64(now-s.failuresAt)/float64(failHalfLife))
}

func (s *state) note(now mn.Millis, failed bool) {
	// One in five of the last requests weighs as much as all before them.
	const weight = 0.2
	f := s.failing(now) * (1 - weight)
	if failed {
		f += weight
	}
	s.failures, s.failuresAt = f, now
}

// ReportUnreachable notes that no connection to the endpoint could be made, or that
// it stopped answering. It is left alone for a while.
func (b *Balancer) ReportUnreachable(id mn.EndpointID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.endpoints[id]
	if s == nil {
		return
	}
	now := b.clock.Now()
	s.note(now, true)
	s.probing = false
	if now < s.pausedUntil {
		return
	}
	s.pause = min(longestPause, max(firstPause, 2*s.pause))
	s.pausedUntil = now + s.pause
}

// ReportResult notes how a request that the endpoint answered ended.
func (b *Balancer) ReportResult(id mn.EndpointID, failed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.endpoints[id]
	if s == nil {
		return
	}
	s.note(b.clock.Now(), failed)
	s.pause, s.probing = 0, false
}

// ObserveResponseTime notes the time that a plain endpoint took for an answer.
func (b *Balancer) ObserveResponseTime(id mn.EndpointID, took mn.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.endpoints[id]; s != nil {
		s.answer += speedWeight * (float64(took) - s.answer)
	}
}
