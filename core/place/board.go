package place

import (
	"context"
	"math"
	"sync"
	"time"

	mn "mustardnotch"
)

const (
	// peerStateTTL is how long another front's word on its work counts: several
	// times the period at which fronts speak.
	peerStateTTL = 2 * mn.Second
	// failureHalfLife is the time in which an endpoint's failures count half.
	failureHalfLife = 2500 * mn.Millisecond
	// failureCost is what a certain failure adds to the cost of an endpoint: about
	// the time that a request loses by it.
	failureCost = 1500.0
	// minPause and maxPause bound how long an endpoint that can't be
	// reached is left alone; the pause doubles from one to the other.
	minPause = 400 * mn.Millisecond
	maxPause = 3 * mn.Second
	// responseTimeWeight is the weight of one observation in a learned speed.
	responseTimeWeight = 0.15
	// minSlowdown and maxSlowdown bound the learned speed factor of an endpoint.
	minSlowdown, maxSlowdown = 0.2, 12.0
	// initialResponseTime is the time of an answer that is assumed of a plain endpoint
	// which has not answered yet.
	initialResponseTime = 30.0
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
	config           Config
	clock            mn.Clock
	disabledFeatures map[Feature]bool

	mu                sync.Mutex
	endpoints         map[mn.EndpointID]*endpointState
	byPool            map[mn.PoolID][]*endpointState
	engines           map[mn.PoolID]mn.EngineSpec
	peers             map[mn.VMID]peerState
	prefillReports    []prefillReport
	lastPrefillReport int64
	// urgentUpdates counts changes that other fronts should hear of at once; changed is
	// closed at the next.
	urgentUpdates int64
	changed       chan struct{}
}

// peerState is what another front said of its work, and when.
type peerState struct {
	incarnation mn.Incarnation
	receivedAt  mn.Millis
	loads       map[mn.EndpointID]mn.EndpointLoad
	// stale says that it is not counted, since the front has not spoken lately.
	stale bool
}

// endpointState is what is known of one endpoint.
type endpointState struct {
	mn.Endpoint
	// requests and reading are this front's work there: requests without an
	// answer, and the milliseconds that their prompts need; others is the same of
	// the other fronts.
	requests    int64
	prefillWork float64
	peerLoad    mn.EndpointLoad
	// slowdown is the learned ratio of observed to expected time.
	slowdown float64
	// responseTime is the learned time of an answer of a plain endpoint.
	responseTime float64
	// failureRate is a decaying share of failed requests.
	failureRate   float64
	failureRateAt mn.Millis
	// pausedUntil ends a time in which the endpoint is left alone; pause is its
	// length, 0 while the endpoint can be reached. probing says that the first
	// request after a pause is on its way.
	pausedUntil mn.Millis
	pause       mn.Millis
	probing     bool
	cache       *segmentCache
}

// New returns a board that knows of no endpoint.
func New(config Config, clock mn.Clock) *Balancer {
	off := map[Feature]bool{}
	for _, d := range config.Disabled {
		off[d] = true
	}
	return &Balancer{
		config:           config,
		disabledFeatures: off,
		clock:            clock,
		endpoints:        map[mn.EndpointID]*endpointState{},
		byPool:           map[mn.PoolID][]*endpointState{},
		engines:          map[mn.PoolID]mn.EngineSpec{},
		peers:            map[mn.VMID]peerState{},
		changed:          make(chan struct{}),
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
	next := make(map[mn.EndpointID]*endpointState, len(list))
	byPool := map[mn.PoolID][]*endpointState{}
	for _, e := range list {
		s := b.endpoints[e.ID]
		if s == nil || s.StartedAt != e.StartedAt || s.Addr != e.Addr {
			s = &endpointState{slowdown: 1, responseTime: initialResponseTime, cache: newSegmentCache()}
		}
		s.Endpoint = e
		next[e.ID] = s
		byPool[e.Pool] = append(byPool[e.Pool], s)
	}
	b.endpoints, b.byPool = next, byPool
	for _, s := range next {
		s.peerLoad = mn.EndpointLoad{}
	}
	for _, t := range b.peers {
		if !t.stale {
			b.addPeerLoads(t, 1)
		}
	}
}

// addPeerLoad adds another front's use to what is known of an endpoint, or takes it off
// with a sign of -1.
func (b *Balancer) addPeerLoad(u mn.EndpointLoad, sign int64) {
	if s := b.endpoints[u.Endpoint]; s != nil {
		s.peerLoad.Requests += sign * u.Requests
		s.peerLoad.PrefillTime += mn.Millis(sign) * u.PrefillTime
	}
}

// addPeerLoads does the same with all uses of a front.
func (b *Balancer) addPeerLoads(t peerState, sign int64) {
	for _, u := range t.loads {
		b.addPeerLoad(u, sign)
	}
}

// expirePeers takes the work of fronts off that have not spoken for too long. When
// they do again, what they said before still holds but for what changed.
func (b *Balancer) expirePeers(now mn.Millis) {
	for vm, t := range b.peers {
		if !t.stale && now-t.receivedAt > peerStateTTL {
			b.addPeerLoads(t, -1)
			t.stale = true
			b.peers[vm] = t
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
	b.expirePeers(now)
	t, ok := b.peers[f.VM]
	switch {
	case !ok || f.Scope == mn.ScopeAll || t.incarnation != f.Incarnation:
		if !t.stale {
			b.addPeerLoads(t, -1)
		}
		t = peerState{incarnation: f.Incarnation, loads: make(map[mn.EndpointID]mn.EndpointLoad, len(f.Loads))}
	case t.stale:
		b.addPeerLoads(t, 1)
		t.stale = false
	}
	t.receivedAt = now
	for _, u := range f.Loads {
		if b.disabled(PeerLoad) {
			break
		}
		b.addPeerLoad(t.loads[u.Endpoint], -1)
		b.addPeerLoad(u, 1)
		t.loads[u.Endpoint] = u
	}
	b.peers[f.VM] = t
	b.addCachedPrompts(f.PrefilledPrompts)
}

// Cursor is what another front was told. Its zero is nothing.
type Cursor struct {
	loads         map[mn.EndpointID]mn.EndpointLoad
	prefillReport int64
}

// StateSince returns this front's work and what was read lately, as far as it has
// changed since c, and moves c on. With whole it returns all.
func (b *Balancer) StateSince(c *Cursor, whole bool) ([]mn.EndpointLoad, []mn.PrefilledPrompt) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	if whole || c.loads == nil {
		c.loads = map[mn.EndpointID]mn.EndpointLoad{}
	}
	var uses []mn.EndpointLoad
	for id, s := range b.endpoints {
		u := mn.EndpointLoad{Endpoint: id, Requests: s.requests, PrefillTime: mn.Millis(s.prefillWork)}
		if u != c.loads[id] && (c.loads[id] != mn.EndpointLoad{} || u.Requests > 0) {
			uses = append(uses, u)
			c.loads[id] = u
		}
	}
	return uses, b.prefillsSince(c, now)
}

// UrgentUpdates returns how many changes other fronts should have heard of at once.
func (b *Balancer) UrgentUpdates() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.urgentUpdates
}

// AwaitUrgentUpdate waits for a change since News returned seen, for span at most, and
// returns News.
func (b *Balancer) AwaitUrgentUpdate(ctx context.Context, seen int64, span mn.Millis) int64 {
	b.mu.Lock()
	changed, news := b.changed, b.urgentUpdates
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
	b.requestUrgentUpdate()
}

// requestUrgentUpdate notes a change that other fronts should hear of at once.
func (b *Balancer) requestUrgentUpdate() {
	b.urgentUpdates++
	close(b.changed)
	b.changed = make(chan struct{})
}

// totalLoad returns the requests and the reading time of all fronts at s.
func (s *endpointState) totalLoad() (requests int64, reading float64) {
	return s.requests + s.peerLoad.Requests, s.prefillWork + float64(s.peerLoad.PrefillTime)
}

// usable says whether new work may go to s.
func (s *endpointState) usable(now mn.Millis, avoid []mn.EndpointID) bool {
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

// currentFailureRate returns the decayed share of failed requests.
func (s *endpointState) currentFailureRate(now mn.Millis) float64 {
	if s.failureRate == 0 {
		return 0
	}
	return s.failureRate * math.Exp2(-float64(now-s.failureRateAt)/float64(failureHalfLife))
}

func (s *endpointState) recordResult(now mn.Millis, failed bool) {
	// One in five of the last requests weighs as much as all before them.
	const weight = 0.2
	f := s.currentFailureRate(now) * (1 - weight)
	if failed {
		f += weight
	}
	s.failureRate, s.failureRateAt = f, now
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
	s.recordResult(now, true)
	s.probing = false
	if now < s.pausedUntil {
		return
	}
	s.pause = min(maxPause, max(minPause, 2*s.pause))
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
	s.recordResult(b.clock.Now(), failed)
	s.pause, s.probing = 0, false
}

// ObserveResponseTime notes the time that a plain endpoint took for an answer.
func (b *Balancer) ObserveResponseTime(id mn.EndpointID, took mn.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.endpoints[id]; s != nil {
		s.responseTime += responseTimeWeight * (float64(took) - s.responseTime)
	}
}
