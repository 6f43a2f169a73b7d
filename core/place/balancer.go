package place

import (
	"context"
	"math"
	"sync"
	"time"

	mn "mustardnotch"
	"mustardnotch/core/perf"
)

const (
	// peerStateTTL is how long the load that a peer front reported counts: several
	// times the interval at which fronts publish their state.
	peerStateTTL = 2 * mn.Second
	// failureHalfLife is the time in which an endpoint's failure rate decays to
	// half.
	failureHalfLife = 2500 * mn.Millisecond
	// failureCost is what a failure rate of 1 adds to the cost of an endpoint, in
	// milliseconds: about the time that a request loses by a failure.
	failureCost = 1500.0
	// minPause and maxPause bound how long an unreachable endpoint gets no
	// requests; the pause doubles with each failed probe.
	minPause = 400 * mn.Millisecond
	maxPause = 3 * mn.Second
	// responseTimeWeight is the weight of one observation in the exponentially
	// weighted moving average of a plain endpoint's response time.
	responseTimeWeight = 0.15
	// minSlowdown and maxSlowdown bound the learned slowdown of an endpoint.
	minSlowdown, maxSlowdown = 0.2, 12.0
	// initialResponseTime is the response time, in milliseconds, that is assumed
	// of a plain endpoint which has not answered yet.
	initialResponseTime = 30.0
)

// Config configures a Balancer.
type Config struct {
	DataCentre mn.DataCentre
	// Self is this front, and Fronts returns all that have registered. They share what cold
	// endpoints bear.
	Self   mn.VMID
	Fronts func() []mn.VMID
	// Naive places prompts on random engines that also generate, without separate
	// prefill, cache affinity, admission control or learned speeds.
	Naive bool
	// CacheMemory bounds what the Balancer keeps of the segments that engines have cached, in
	// bytes, or is 0 for no bound. Each engine gets an equal share.
	CacheMemory int64
	// Disabled lists features that are switched off.
	Disabled []Feature
}

// Balancer chooses endpoints for requests by what the front knows of them. It is
// safe for concurrent use.
type Balancer struct {
	config           Config
	clock            mn.Clock
	startedAt        mn.Millis
	startedWall      mn.Millis
	disabledFeatures map[Feature]bool

	mu                sync.Mutex
	endpoints         map[mn.EndpointID]*endpointState
	byPool            map[mn.PoolID][]*endpointState
	engines           map[mn.PoolID]*enginePool
	peers             map[mn.VMID]peerState
	notices           map[runKey]*notice
	pools             map[mn.PoolID]mn.PoolSpec
	evacuated         map[mn.DataCentre]bool
	prefillReports    []prefillReport
	lastPrefillReport int64
	// speedReports is what the front tells of engines' speeds, as of speedReportsAt, and
	// lastSpeedReport the sequence number of the last one that has changed.
	speedReports    map[mn.EndpointID]speedReport
	speedReportsAt  mn.Millis
	lastSpeedReport int64
	// urgentUpdates counts changes that should be sent to peer fronts at once;
	// changed is closed at the next one.
	urgentUpdates int64
	changed       chan struct{}
	// cacheMemory is an engine's share of Config.CacheMemory.
	cacheMemory int64
}

// peerState is the load that a peer front reported, and when.
type peerState struct {
	incarnation mn.Incarnation
	receivedAt  mn.Millis
	loads       map[mn.EndpointID]mn.EndpointLoad
	// timings is what the front has observed of each pool's engines, and speeds what it has
	// observed of single ones.
	timings map[mn.PoolID]perf.Timings
	speeds  map[mn.EndpointID][]uint32
	// stale means that loads and timings are not counted, since the last update is
	// older than peerStateTTL.
	stale bool
}

// endpointState is what the front knows of one endpoint.
type endpointState struct {
	mn.Endpoint
	// requests and prefillWork are this front's load there: the requests without
	// an answer, and the milliseconds that their prefill takes. peerLoad is the
	// same of all peer fronts.
	requests    int64
	prefillWork float64
	peerLoad    mn.EndpointLoad
	// prefillingSince is when the engine began to prefill without a break, 0 if it
	// never did. idleSince is when it last ended its prefill work, 0 if it has some.
	prefillingSince, idleSince mn.Millis
	// slowdown is the learned ratio of observed to expected time, beyond the pace that the
	// endpoint tells.
	slowdown float64
	// responseTime is the learned response time of a plain endpoint, in
	// milliseconds.
	responseTime float64
	// failureRate is the decayed share of failed requests at failureRateAt.
	failureRate   float64
	failureRateAt mn.Millis
	// pausedUntil is the end of a pause in which the endpoint gets no requests;
	// pause is its length, 0 while the endpoint is reachable. probing means that
	// the first request after a pause is running.
	pausedUntil mn.Millis
	pause       mn.Millis
	probing     bool
	cache       *segmentCache
	// cacheListed means that the cached prompts of the endpoint's run were listed.
	cacheListed bool
	// notice is what the endpoint has said of itself, nil if nothing.
	notice *notice
	// evacuated reports whether nothing may be sent to the endpoint's data centre.
	evacuated bool
	// speed is what fronts have observed of an engine that prefills.
	speed speed
	// pace is what the endpoint says of how fast its VM is at present, and presentSlowdown the
	// slowdown with it, as of the last choice in the endpoint's pool.
	pace            pace
	presentSlowdown float64
	// warmth limits what the endpoint gets while it is cold.
	warmth warmth
}

// New returns a Balancer without endpoints.
func New(config Config, clock mn.Clock) *Balancer {
	disabled := map[Feature]bool{}
	for _, f := range config.Disabled {
		disabled[f] = true
	}
	return &Balancer{
		config:           config,
		disabledFeatures: disabled,
		clock:            clock,
		startedAt:        clock.Now(),
		startedWall:      clock.Wall(),
		endpoints:        map[mn.EndpointID]*endpointState{},
		byPool:           map[mn.PoolID][]*endpointState{},
		engines:          map[mn.PoolID]*enginePool{},
		peers:            map[mn.VMID]peerState{},
		notices:          map[runKey]*notice{},
		changed:          make(chan struct{}),
		speedReports:     map[mn.EndpointID]speedReport{},
	}
}

// SetPools sets the pools' specifications. What was learned of a pool's engines is
// kept.
func (b *Balancer) SetPools(pools map[mn.PoolID]mn.PoolSpec) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := map[mn.PoolID]*enginePool{}
	for id, p := range pools {
		if p.Engine == nil {
			continue
		}
		e := b.engines[id]
		if e == nil {
			e = &enginePool{model: perf.New(*p.Engine), use: newSegmentUse()}
			for _, peer := range b.peers {
				if !peer.stale {
					e.model.AddPeer(peer.timings[id], 1)
				}
			}
		}
		e.spec, e.pauseGoal = *p.Engine, float64(p.Engine.PauseGoal)
		e.model.SetSpec(e.spec)
		next[id] = e
	}
	b.engines, b.pools = next, pools
}

// isLong reports whether the job's prompt counts as long.
func (b *Balancer) isLong(j *Job) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.engines[j.Pool]; e != nil && j.Prompt != nil {
		e.classify(j, b.clock.Now())
	}
	return j.long
}

// latestStart returns the latest time at which the request can be sent and still
// finish by its deadline.
func (b *Balancer) latestStart(j *Job) mn.Millis {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.engines[j.Pool]; e != nil && j.Prompt != nil {
		return e.latestStart(j)
	}
	return j.Deadline
}

// SetEndpoints sets the list of endpoints. What was learned of an endpoint is kept
// unless the endpoint was restarted or its address changed.
func (b *Balancer) SetEndpoints(list []mn.Endpoint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	next := make(map[mn.EndpointID]*endpointState, len(list))
	byPool := map[mn.PoolID][]*endpointState{}
	for _, e := range list {
		s := b.endpoints[e.ID]
		if s == nil || s.StartedAt != e.StartedAt || s.Addr != e.Addr {
			s = &endpointState{slowdown: 1, presentSlowdown: 1, responseTime: initialResponseTime, cache: newSegmentCache()}
			b.forgetSpeeds(e.ID)
		}
		s.Endpoint = e
		s.evacuated = b.evacuated[e.DataCentre]
		s.warmth.Observe(e.ColdLeft, now)
		next[e.ID] = s
		byPool[e.Pool] = append(byPool[e.Pool], s)
	}
	b.endpoints, b.byPool = next, byPool
	b.cacheMemory = cacheShare(b.config.CacheMemory, list)
	b.updateNotices(now)
	for _, s := range next {
		s.peerLoad = mn.EndpointLoad{}
	}
	for _, p := range b.peers {
		if !p.stale {
			b.addPeerLoads(p, 1)
		}
	}
}

// cacheShare returns an engine's share of memory, which has no bound if it is 0.
func cacheShare(memory int64, list []mn.Endpoint) int64 {
	if memory == 0 {
		return math.MaxInt64
	}
	var engines int64
	for _, e := range list {
		if e.Role != "" {
			engines++
		}
	}
	return memory / max(1, engines)
}

// addPeerLoad adds a peer front's load to that of its endpoint, or subtracts it if
// sign is -1.
func (b *Balancer) addPeerLoad(l mn.EndpointLoad, sign int64) {
	if s := b.endpoints[l.Endpoint]; s != nil {
		s.peerLoad.Requests += sign * l.Requests
		s.peerLoad.PrefillTime += mn.Millis(sign) * l.PrefillTime
		b.markPrefilling(s)
	}
}

// addPeerLoads adds all loads of a peer front, or subtracts them if sign is -1.
func (b *Balancer) addPeerLoads(p peerState, sign int64) {
	for _, l := range p.loads {
		b.addPeerLoad(l, sign)
	}
}

// addPeer adds the loads and the timings of a peer front, or subtracts them if sign
// is -1.
func (b *Balancer) addPeer(p peerState, sign int64) {
	b.addPeerLoads(p, sign)
	for pool, timings := range p.timings {
		if e := b.engines[pool]; e != nil {
			e.model.AddPeer(timings, float64(sign))
		}
	}
}

// expirePeers subtracts the loads of peer fronts that have sent no update within
// peerStateTTL. The loads are kept: once such a front sends changes again, those
// apply to what it reported before.
func (b *Balancer) expirePeers(now mn.Millis) {
	for vm, p := range b.peers {
		if !p.stale && now-p.receivedAt > peerStateTTL {
			b.addPeer(p, -1)
			p.stale = true
			b.peers[vm] = p
		}
	}
}

// Endpoint returns an endpoint as the list has it.
func (b *Balancer) Endpoint(id mn.EndpointID) (mn.Endpoint, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.endpoints[id]
	if !ok {
		return mn.Endpoint{}, false
	}
	return s.Endpoint, true
}

// ReceiveState applies a peer front's load, which is complete or only what has
// changed, and the prompts that the front reports as prefilled.
func (b *Balancer) ReceiveState(f mn.FrontState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	b.expirePeers(now)
	p, ok := b.peers[f.VM]
	switch {
	case !ok || f.Scope == mn.ScopeAll || p.incarnation != f.Incarnation:
		if !p.stale {
			b.addPeer(p, -1)
		}
		timings, speeds := p.timings, p.speeds
		if timings == nil || p.incarnation != f.Incarnation {
			b.dropSpeeds(p)
			timings, speeds = map[mn.PoolID]perf.Timings{}, map[mn.EndpointID][]uint32{}
		}
		p = peerState{incarnation: f.Incarnation, loads: make(map[mn.EndpointID]mn.EndpointLoad, len(f.Loads)), timings: timings, speeds: speeds}
		b.addPeer(p, 1)
	case p.stale:
		b.addPeer(p, 1)
		p.stale = false
	}
	p.receivedAt = now
	for _, l := range f.Loads {
		if b.disabled(PeerLoad) {
			break
		}
		b.addPeerLoad(p.loads[l.Endpoint], -1)
		b.addPeerLoad(l, 1)
		p.loads[l.Endpoint] = l
	}
	b.receiveTimings(p, f)
	b.receiveSpeeds(p, f, now)
	b.peers[f.VM] = p
	b.addCachedPrompts(f.PrefilledPrompts)
}

// receiveTimings replaces a peer front's timings of pools' engines.
func (b *Balancer) receiveTimings(p peerState, f mn.FrontState) {
	for _, n := range f.Timings {
		if b.disabled(LearnedSpeeds) {
			continue
		}
		if e := b.engines[n.Pool]; e != nil {
			e.model.AddPeer(p.timings[n.Pool], -1)
			e.model.AddPeer(n.Sums, 1)
		}
		p.timings[n.Pool] = n.Sums // SetPools adds them if the pool isn't known yet.
	}
}

const (
	// timingsInterval is the time between two reports of the timings of engines to a
	// peer front. It is shorter while the front is young.
	timingsInterval      = 5 * mn.Second
	youngTimingsInterval = 1 * mn.Second
	youngPeriod          = 15 * mn.Second
)

// timingsSince returns this front's timings of pools' engines and the speeds that it has observed
// if it is time to report them again, and advances c.
func (b *Balancer) timingsSince(c *Cursor, now mn.Millis) ([]mn.EngineTimings, []mn.EngineSpeed) {
	interval := timingsInterval
	if now-b.startedAt < youngPeriod {
		interval = youngTimingsInterval
	}
	if c.timingsAt > 0 && now-c.timingsAt < interval {
		return nil, nil
	}
	c.timingsAt = now
	var out []mn.EngineTimings
	for id, e := range b.engines {
		out = append(out, mn.EngineTimings{Pool: id, Sums: e.model.Timings()})
	}
	return out, b.speedsSince(c, now)
}

// EngineValues returns the fitted durations of each pool of engines, for logs and
// metrics.
func (b *Balancer) EngineValues() map[mn.PoolID][]perf.Value {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[mn.PoolID][]perf.Value, len(b.engines))
	for id, e := range b.engines {
		out[id] = e.model.Values()
	}
	return out
}

// Cursor records what one peer front was sent. The zero value is for a front that was
// sent nothing yet.
type Cursor struct {
	loads         map[mn.EndpointID]mn.EndpointLoad
	prefillReport int64
	timingsAt     mn.Millis
	speedReport   int64
}

// AddState adds to a state this front's loads that have changed since c and the prompts
// that were prefilled since, and advances c. If all is set, it adds the loads of all
// endpoints that have requests, changed or not. From time to time it also adds what the
// front has observed of engines.
func (b *Balancer) AddState(state *mn.FrontState, c *Cursor, all bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	if all || c.loads == nil {
		c.loads = map[mn.EndpointID]mn.EndpointLoad{}
	}
	var loads []mn.EndpointLoad
	for id, s := range b.endpoints {
		l := mn.EndpointLoad{Endpoint: id, Requests: s.requests, PrefillTime: mn.Millis(s.prefillWork)}
		if l != c.loads[id] && (c.loads[id] != mn.EndpointLoad{} || l.Requests > 0) {
			loads = append(loads, l)
			c.loads[id] = l
		}
	}
	state.Loads, state.PrefilledPrompts = loads, b.prefillsSince(c, now)
	state.Timings, state.Speeds = b.timingsSince(c, now)
}

// UrgentUpdates returns how many changes there were that peer fronts should
// receive at once.
func (b *Balancer) UrgentUpdates() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.urgentUpdates
}

// AwaitUrgentUpdate waits until UrgentUpdates differs from seen, until timeout has
// passed or until ctx ends, and returns UrgentUpdates.
func (b *Balancer) AwaitUrgentUpdate(ctx context.Context, seen int64, timeout mn.Millis) int64 {
	b.mu.Lock()
	changed, updates := b.changed, b.urgentUpdates
	b.mu.Unlock()
	if updates != seen {
		return updates
	}
	t := time.NewTimer(timeout.Duration())
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
	}
	return b.UrgentUpdates()
}

// RequestUrgentUpdate has this front's state sent to its peers at once.
func (b *Balancer) RequestUrgentUpdate() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requestUrgentUpdate()
}

// requestUrgentUpdate counts an urgent update and wakes AwaitUrgentUpdate.
func (b *Balancer) requestUrgentUpdate() {
	b.urgentUpdates++
	close(b.changed)
	b.changed = make(chan struct{})
}

// totalLoad returns the requests and the prefill work, in milliseconds, of all
// fronts at s.
func (s *endpointState) totalLoad() (requests int64, prefillWork float64) {
	return s.requests + s.peerLoad.Requests, s.prefillWork + float64(s.peerLoad.PrefillTime)
}

// markPrefilling records whether s has prefill work. A break that is too short for two
// events doesn't count, since the pause between them spans it.
func (b *Balancer) markPrefilling(s *endpointState) {
	now := b.clock.Now()
	running, work := s.totalLoad()
	switch {
	case work <= 0 && s.prefillingSince > 0 && s.idleSince == 0:
		s.idleSince = now
	case work > 0 && s.prefillingSince == 0:
		s.prefillingSince, s.idleSince = now, 0
	case work > 0 && s.idleSince > 0:
		if e := b.engines[s.Pool]; e == nil || float64(now-s.idleSince) >= s.usualSlowdown()*e.model.EventInterval(running) {
			s.prefillingSince = now
		}
		s.idleSince = 0
	}
}

// prefillingFor returns how long s has prefilled without a break that is long enough
// for two events, in milliseconds.
func (e *enginePool) prefillingFor(s *endpointState, now mn.Millis) float64 {
	running, _ := s.totalLoad()
	if s.prefillingSince == 0 || s.idleSince > 0 && float64(now-s.idleSince) >= s.usualSlowdown()*e.model.EventInterval(running) {
		return 0
	}
	return float64(now - s.prefillingSince)
}

// usable reports whether s may get new requests.
func (s *endpointState) usable(now mn.Millis, avoid []mn.EndpointID) bool {
	if s.leaves() || s.asksPause(now) || s.Changing || now < s.pausedUntil || s.pause > 0 && s.probing {
		return false
	}
	for _, id := range avoid {
		if id == s.ID {
			return false
		}
	}
	return true
}

// currentFailureRate returns the share of failed requests, decayed to now.
func (s *endpointState) currentFailureRate(now mn.Millis) float64 {
	if s.failureRate == 0 {
		return 0
	}
	return s.failureRate * math.Exp2(-float64(now-s.failureRateAt)/float64(failureHalfLife))
}

func (s *endpointState) recordResult(now mn.Millis, failed bool) {
	// The weight of the newest request in the exponentially weighted moving
	// average. At 0.2, the average covers about the last five requests.
	const weight = 0.2
	f := s.currentFailureRate(now) * (1 - weight)
	if failed {
		f += weight
	}
	s.failureRate, s.failureRateAt = f, now
}

// ReportUnreachable records that no connection to the endpoint could be made, or
// that it stopped answering. The endpoint gets no requests for a while.
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

// ReportResult records whether a request that the endpoint answered failed, and
// ends the endpoint's pause.
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

// ObserveResponseTime records how long a plain endpoint took to answer.
func (b *Balancer) ObserveResponseTime(id mn.EndpointID, took mn.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.endpoints[id]; s != nil {
		s.responseTime += responseTimeWeight * (float64(took) - s.responseTime)
	}
}
