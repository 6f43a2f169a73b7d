package route

import (
	"context"
	"expvar"
	"math"
	"math/rand/v2"
	"sort"
	"sync"

	mn "mustardnotch"
)

// Policy selects how a table chooses agents.
type Policy string

// Policies. Cost picks by estimated latency; RoundRobin is the baseline that it
// is compared with.
const (
	Cost       Policy = "cost"
	RoundRobin Policy = "round_robin"
)

// Counters of the process, exported through expvar.
var (
	routed             = expvar.NewInt("route_routed")
	prefilledElsewhere = expvar.NewInt("route_prefilled_elsewhere")
	noEndpoint         = expvar.NewInt("route_no_endpoint")
	backoffs           = expvar.NewInt("route_backoffs")
)

const (
	// bytesPerToken is the assumed average length of a token.
	bytesPerToken = 4
	// tieMillis and tieRatio bound how far an estimate may lie above the lowest
	// one and still count as equal. Smaller differences are noise.
	tieMillis = 2.0
	tieRatio  = 0.05
	// overloadedBackoff is how long an agent that rejected a request as
	// overloaded gets no new ones.
	overloadedBackoff = 100 * mn.Millisecond
	// drainingBackoff is how long an agent that rejected a request because it is
	// draining gets no new ones.
	drainingBackoff = 5 * mn.Second
)

// Settings are the settings of a table.
type Settings struct {
	Policy     Policy
	DataCentre mn.DataCentre
	// RemoteDelayMillis is the one-way network delay to other data centres.
	RemoteDelayMillis float64
	// KVTransferMillis is the time to transfer the KV cache of one prompt token.
	KVTransferMillis float64
	// MaxPrefixBlocks is the maximum number of prompt blocks in the prefix index.
	MaxPrefixBlocks int
	// NoAffinity makes the table ignore prefix caches.
	NoAffinity bool
	// Seed seeds the table's random choices.
	Seed uint64
}

// DefaultSettings returns the default settings of a table in dc, with a random
// seed.
func DefaultSettings(dc mn.DataCentre) Settings {
	return Settings{
		Policy:            Cost,
		DataCentre:        dc,
		RemoteDelayMillis: 1.5,
		KVTransferMillis:  0.01,
		MaxPrefixBlocks:   1 << 16,
		Seed:              rand.Uint64(),
	}
}

// Table keeps the state of all agents and chooses one for each request. It
// implements [mn.Router] and [mn.PrefillRouter] and is safe for concurrent use.
type Table struct {
	clock    mn.Clock
	views    mn.ViewSource
	settings Settings

	mu               sync.Mutex
	lastView         *mn.View
	agents           map[mn.VMID]*agent
	pools            map[mn.PoolID][]*agent // ordered by VM
	entries          int
	lastEpoch        int
	roundRobinCounts map[mn.PoolID]uint64
	index            *index
	random           *rand.Rand
}

// New returns a table of the agents in the roster of views.
func New(clock mn.Clock, views mn.ViewSource, s Settings) *Table {
	return &Table{
		clock:            clock,
		views:            views,
		settings:         s,
		agents:           make(map[mn.VMID]*agent),
		roundRobinCounts: make(map[mn.PoolID]uint64),
		index:            newIndex(s.MaxPrefixBlocks),
		random:           rand.New(rand.NewPCG(s.Seed, 0)),
	}
}

// ApplyReport applies a load report of the agent on vm and the cache events that
// came with it. gap is set if events between the last report and this one were
// lost. Reports of unknown agents are ignored.
func (t *Table) ApplyReport(vm mn.VMID, r LoadReport, events []CacheEvent, gap bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sync()
	a, ok := t.agents[vm]
	if !ok {
		return
	}
	a.update(r, t.clock.Now())
	if gap {
		a.epoch = t.nextEpoch()
	}
	for _, e := range events {
		if e.Evicted {
			t.index.remove(e.Block, vm)
			continue
		}
		t.index.add(e.Block, location{vm, a.epoch})
	}
}

// MarkUnreachable records that the report stream of the agent on vm broke. The
// agent counts as unreachable until its next report.
func (t *Table) MarkUnreachable(vm mn.VMID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a, ok := t.agents[vm]; ok {
		a.disconnected = true
	}
}

// Route implements [mn.Router].
func (t *Table) Route(_ context.Context, w mn.Work) (mn.Member, func(error), error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sync()
	now := t.clock.Now()
	choices := t.candidates(w, now, canGenerate)
	if len(choices) == 0 {
		noEndpoint.Add(1)
		return mn.Member{}, nil, mn.Errorf(mn.NoEndpoint, "pool %q has no agent that accepts new requests", w.Pool).WithRetryAfter(mn.Second)
	}
	blocks := t.blocks(w)
	req := t.newRequest(w, now)
	var a *agent
	if t.settings.Policy == RoundRobin {
		a = t.pickRoundRobin(w.Pool, choices)
	} else {
		a = t.pickBest(choices, blocks, req, now)
	}
	routed.Add(1)
	return a.member, t.recordStart(a, req, blocks), nil
}

// sync updates agents and pools from the roster of the latest view. An agent
// with a new incarnation starts without state.
func (t *Table) sync() {
	v := t.views.View()
	if v == t.lastView {
		return
	}
	t.lastView = v
	t.entries = max(len(v.Entries()), 1)
	t.pools = make(map[mn.PoolID][]*agent)
	for vm, a := range t.agents {
		if m, ok := v.Roster[vm]; !ok || m.Incarnation != a.member.Incarnation || v.IsLeaving(m) {
			delete(t.agents, vm)
		}
	}
	for vm, m := range v.Roster {
		if m.Role != mn.RoleAgent || v.IsLeaving(m) {
			continue
		}
		if t.agents[vm] == nil {
			t.agents[vm] = newAgent(m, t.nextEpoch())
		}
		t.pools[m.Pool] = append(t.pools[m.Pool], t.agents[vm])
	}
	for _, p := range t.pools {
		sort.Slice(p, func(i, j int) bool { return p[i].member.VM < p[j].member.VM })
	}
}

func canGenerate(r mn.EngineRole) bool { return r != mn.EnginePrefill }

func isPrefiller(r mn.EngineRole) bool { return r == mn.EnginePrefill }

// candidates returns the agents of a suitable role that may serve w. It prefers
// usable agents whose reports the table receives to other usable agents, and
// those to suspect ones, which are in backoff or unreachable. Agents to which w
// was already sent, and reachable ones that reported themselves unavailable, are
// left out.
func (t *Table) candidates(w mn.Work, now mn.Millis, role func(mn.EngineRole) bool) []*agent {
	var subscribed, usable, suspect []*agent
	for _, a := range t.pools[w.Pool] {
		switch {
		case attempted(w.Avoid, a.member.VM) || a.report.Unavailable && !a.unreachable(now) || !role(a.report.Role):
		case a.usable(now) && a.subscribed:
			subscribed = append(subscribed, a)
		case a.usable(now):
			usable = append(usable, a)
		default:
			suspect = append(suspect, a)
		}
	}
	if len(subscribed) > 0 {
		return subscribed
	}
	if len(usable) > 0 {
		return usable
	}
	return suspect
}

func attempted(avoid []mn.VMID, vm mn.VMID) bool {
	for _, v := range avoid {
		if v == vm {
			return true
		}
	}
	return false
}

func (t *Table) pickRoundRobin(key mn.PoolID, choices []*agent) *agent {
	t.roundRobinCounts[key]++
	return choices[t.roundRobinCounts[key]%uint64(len(choices))]
}

func (t *Table) blocks(w mn.Work) []Block {
	if w.Prefilled || t.settings.NoAffinity || t.settings.Policy == RoundRobin {
		return nil
	}
	return Blocks(w.Prompt)
}

func (t *Table) newRequest(w mn.Work, now mn.Millis) *request {
	req := &request{
		started:       now,
		prefillTokens: float64(len(w.Prompt)) / bytesPerToken,
		outputTokens:  float64(w.MaxTokens) * expectedOutputRatio,
	}
	if w.Prefilled {
		req.prefillTokens = 0
	}
	return req
}

// pickBest returns the agent with the lowest estimate for req among a sample of
// the choices. Among estimates that count as equal, it draws two at random and
// takes the agent with fewer requests in flight. It sets req.prefillTokens to
// what that agent has to prefill.
func (t *Table) pickBest(choices []*agent, blocks []Block, req *request, now mn.Millis) *agent {
	cached := t.index.cachedTokens(blocks, t.agents)
	var estimates []estimate
	lowest := math.Inf(1)
	for _, a := range t.sample(choices, cached) {
		e := t.estimate(a, req, cached, now)
		lowest = min(lowest, e.millis)
		estimates = append(estimates, e)
	}
	limit := lowest*(1+tieRatio) + tieMillis
	ties := estimates[:0]
	for _, e := range estimates {
		if e.millis <= limit {
			ties = append(ties, e)
		}
	}
	first, second := ties[t.random.IntN(len(ties))], ties[t.random.IntN(len(ties))]
	if len(second.a.inFlight) < len(first.a.inFlight) {
		first = second
	}
	req.prefillTokens = first.req.prefillTokens
	return first.a
}

// estimate is the estimated latency of a request at one agent.
type estimate struct {
	a      *agent
	req    request
	millis float64
}

func (t *Table) estimate(a *agent, req *request, cached map[mn.VMID]float64, now mn.Millis) estimate {
	e := estimate{a: a, req: *req}
	e.req.prefillTokens = max(req.prefillTokens-cached[a.member.VM], 0)
	e.millis = a.answerMillis(&e.req, now)
	if a.member.DataCentre != t.settings.DataCentre {
		e.millis += 2 * t.settings.RemoteDelayMillis
	}
	return e
}

// sample returns the agents to compare: a random share of the choices that
// shrinks with the number of entries, at least two, and every agent that likely
// caches part of the prompt.
func (t *Table) sample(choices []*agent, cached map[mn.VMID]float64) []*agent {
	size := max(2, (len(choices)+t.entries-1)/t.entries)
	if size >= len(choices) {
		return choices
	}
	t.random.Shuffle(len(choices), func(i, j int) { choices[i], choices[j] = choices[j], choices[i] })
	sampled := choices[:size:size]
	for _, a := range choices[size:] {
		if cached[a.member.VM] > 0 {
			sampled = append(sampled, a)
		}
	}
	return sampled
}

// nextEpoch returns an epoch above all earlier ones of any agent.
func (t *Table) nextEpoch() int {
	t.lastEpoch++
	return t.lastEpoch
}

// recordStart records that req is sent to a, and that a will cache its prompt,
// and returns the function to call with the result.
func (t *Table) recordStart(a *agent, req *request, blocks []Block) func(error) {
	a.inFlight[req] = struct{}{}
	for _, b := range blocks {
		t.index.add(b, location{a.member.VM, a.epoch})
	}
	return func(err error) { t.recordEnd(a, req, err) }
}

// recordEnd removes req from a and updates the backoff of a according to err.
// Calls after the first have no effect.
func (t *Table) recordEnd(a *agent, req *request, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := a.inFlight[req]; !ok {
		return
	}
	delete(a.inFlight, req)
	if req.started < a.reportedAt {
		a.endedSince++
	}
	now := t.clock.Now()
	if err == nil {
		a.failures = 0
		return
	}
	switch mn.CodeOf(err) {
	case mn.EndpointFailed, mn.OutcomeNotKnown, mn.NoEndpoint, mn.Truncated:
		backoffs.Add(1)
		a.backOff(now, t.random.Float64())
	case mn.Overloaded:
		a.avoidUntil = now + overloadedBackoff
	case mn.Draining:
		a.avoidUntil = now + drainingBackoff
	}
}
