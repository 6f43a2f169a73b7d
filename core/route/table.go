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

// Policy names a way of choosing agents.
type Policy string

// Policies. RoundRobin is the baseline to measure Cost against.
const (
	Cost       Policy = "cost"
	RoundRobin Policy = "round_robin"
)

// Counters of the process.
var (
	routed     = expvar.NewInt("route_routed")
	split      = expvar.NewInt("route_prefilled_elsewhere")
	noEndpoint = expvar.NewInt("route_no_endpoint")
	backoffs   = expvar.NewInt("route_backoffs")
)

const (
	// bytesPerToken is the average length of a token.
	bytesPerToken = 4
	// tieMillis and tieShare bound the difference of estimates that is noise.
	tieMillis = 2.0
	tieShare  = 0.05
	// overloadPause keeps new work from an agent that refused some as overloaded.
	overloadPause = 100 * mn.Millisecond
	// drainPause keeps new work from an agent that said it is leaving.
	drainPause = 5 * mn.Second
)

// Settings are the settings of a table.
type Settings struct {
	Policy     Policy
	DataCentre mn.DataCentre
	// RemoteDelayMillis is the one-way delay to other data centres.
	RemoteDelayMillis float64
	// KVTransferMillis is the time to move the KV cache of one prompt token.
	KVTransferMillis float64
	// MaxPrefixBlocks bounds the prompt blocks remembered.
	MaxPrefixBlocks int
	// NoAffinity leaves prefix caches out of account.
	NoAffinity bool
	// Seed seeds random choices.
	Seed uint64
}

// DefaultSettings returns the settings for a table in a data centre.
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

// Table knows the agents and chooses among them. It implements [mn.Router]
// and is safe for concurrent use.
type Table struct {
	clock    mn.Clock
	views    mn.ViewSource
	settings Settings

	mu      sync.Mutex
	seen    *mn.View
	agents  map[mn.VMID]*agent
	pools   map[mn.PoolID][]*agent // ordered by VM
	entries int
	epochs  int
	turns   map[mn.PoolID]uint64
	index   *index
	random  *rand.Rand
}

// New returns a table of the agents in the roster of views.
func New(clock mn.Clock, views mn.ViewSource, s Settings) *Table {
	return &Table{
		clock:    clock,
		views:    views,
		settings: s,
		agents:   make(map[mn.VMID]*agent),
		turns:    make(map[mn.PoolID]uint64),
		index:    newIndex(s.MaxPrefixBlocks),
		random:   rand.New(rand.NewPCG(s.Seed, 0)),
	}
}

// ApplyReport takes in a load report of vm with the cache events that came with
// it; gap says that events between this report and the last were lost.
func (t *Table) ApplyReport(vm mn.VMID, r Report, events []CacheEvent, gap bool) {
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
		t.index.add(e.Block, holder{vm, a.epoch})
	}
}

// MarkUnreachable tells that the stream of reports of vm broke.
func (t *Table) MarkUnreachable(vm mn.VMID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a, ok := t.agents[vm]; ok {
		a.lost = true
	}
}

// Route implements [mn.Router].
func (t *Table) Route(_ context.Context, w mn.Work) (mn.Member, func(error), error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sync()
	now := t.clock.Now()
	choices := t.candidates(w, now, generates)
	if len(choices) == 0 {
		noEndpoint.Add(1)
		return mn.Member{}, nil, mn.Errorf(mn.NoEndpoint, "pool %q has no agent that takes new work", w.Pool).WithRetryAfter(mn.Second)
	}
	blocks := t.blocks(w)
	f := t.flight(w, now)
	var a *agent
	if t.settings.Policy == RoundRobin {
		a = t.inTurn(w.Pool, choices)
	} else {
		a = t.best(choices, blocks, f, now)
	}
	routed.Add(1)
	return a.member, t.launch(a, f, blocks), nil
}

// sync follows the roster of the latest view.
func (t *Table) sync() {
	v := t.views.View()
	if v == t.seen {
		return
	}
	t.seen = v
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

func generates(r mn.EngineRole) bool { return r != mn.EnginePrefill }

func prefills(r mn.EngineRole) bool { return r == mn.EnginePrefill }

// candidates returns the agents that may take w, if possible those whose
// reports the table gets. Those that fail or can't be reached come in only if
// no other is left; those that drain, change or have been tried never do.
func (t *Table) candidates(w mn.Work, now mn.Millis, role func(mn.EngineRole) bool) []*agent {
	var fed, good, doubtful []*agent
	for _, a := range t.pools[w.Pool] {
		switch {
		case tried(w.Avoid, a.member.VM) || a.report.Unavailable && !a.unreachable(now) || !role(a.report.Role):
		case a.usable(now) && a.fed:
			fed = append(fed, a)
		case a.usable(now):
			good = append(good, a)
		default:
			doubtful = append(doubtful, a)
		}
	}
	if len(fed) > 0 {
		return fed
	}
	if len(good) > 0 {
		return good
	}
	return doubtful
}

func tried(avoid []mn.VMID, vm mn.VMID) bool {
	for _, v := range avoid {
		if v == vm {
			return true
		}
	}
	return false
}

func (t *Table) inTurn(turn mn.PoolID, choices []*agent) *agent {
	t.turns[turn]++
	return choices[t.turns[turn]%uint64(len(choices))]
}

func (t *Table) blocks(w mn.Work) []Block {
	if w.Prefilled || t.settings.NoAffinity || t.settings.Policy == RoundRobin {
		return nil
	}
	return Blocks(w.Prompt)
}

func (t *Table) flight(w mn.Work, now mn.Millis) *flight {
	f := &flight{
		started: now,
		prompt:  float64(len(w.Prompt)) / bytesPerToken,
		output:  float64(w.MaxTokens) * outputRatio,
	}
	if w.Prefilled {
		f.prompt = 0
	}
	return f
}

// best compares a random few of the choices and those that hold part of the
// prompt, and sets f's prompt to what the chosen agent has to prefill.
func (t *Table) best(choices []*agent, blocks []Block, f *flight, now mn.Millis) *agent {
	held := t.index.held(blocks, t.agents)
	var options []option
	least := math.Inf(1)
	for _, a := range t.sample(choices, held) {
		o := t.option(a, f, held, now)
		least = min(least, o.millis)
		options = append(options, o)
	}
	limit := least*(1+tieShare) + tieMillis
	ties := options[:0]
	for _, o := range options {
		if o.millis <= limit {
			ties = append(ties, o)
		}
	}
	one, two := ties[t.random.IntN(len(ties))], ties[t.random.IntN(len(ties))]
	if len(two.a.flights) < len(one.a.flights) {
		one = two
	}
	f.prompt = one.f.prompt
	return one.a
}

// option is an agent with the estimate for a request there.
type option struct {
	a      *agent
	f      flight
	millis float64
}

func (t *Table) option(a *agent, f *flight, held map[mn.VMID]float64, now mn.Millis) option {
	o := option{a: a, f: *f}
	o.f.prompt = max(f.prompt-held[a.member.VM], 0)
	o.millis = a.expect(&o.f, now)
	if a.member.DataCentre != t.settings.DataCentre {
		o.millis += 2 * t.settings.RemoteDelayMillis
	}
	return o
}

// sample returns the agents to compare: a part of all that shrinks with the
// number of entries that choose at the same time, at least two, and every
// agent that holds part of the prompt.
func (t *Table) sample(choices []*agent, held map[mn.VMID]float64) []*agent {
	size := max(2, (len(choices)+t.entries-1)/t.entries)
	if size >= len(choices) {
		return choices
	}
	t.random.Shuffle(len(choices), func(i, j int) { choices[i], choices[j] = choices[j], choices[i] })
	some := choices[:size:size]
	for _, a := range choices[size:] {
		if held[a.member.VM] > 0 {
			some = append(some, a)
		}
	}
	return some
}

// nextEpoch returns an epoch later than all before, of all agents.
func (t *Table) nextEpoch() int {
	t.epochs++
	return t.epochs
}

// launch counts f as sent to a and returns the function that ends it.
func (t *Table) launch(a *agent, f *flight, blocks []Block) func(error) {
	a.flights[f] = struct{}{}
	for _, b := range blocks {
		t.index.add(b, holder{a.member.VM, a.epoch})
	}
	return func(err error) { t.land(a, f, err) }
}

// land takes f off a and learns from how it went.
func (t *Table) land(a *agent, f *flight, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := a.flights[f]; !ok {
		return
	}
	delete(a.flights, f)
	if f.started < a.about {
		a.ended++
	}
	now := t.clock.Now()
	if err == nil {
		a.failures = 0
		return
	}
	switch mn.CodeOf(err) {
	case mn.EndpointFailed, mn.OutcomeNotKnown, mn.NoEndpoint, mn.Truncated:
		backoffs.Add(1)
		a.fail(now, t.random.Float64())
	case mn.Overloaded:
		a.avoid = now + overloadPause
	case mn.Draining:
		a.avoid = now + drainPause
	}
}
