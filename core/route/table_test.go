package route

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	mn "mustardnotch"
)

// fixedView is an [mn.ViewSource] that always returns the same view.
type fixedView struct{ view *mn.View }

func (f *fixedView) View() *mn.View           { return f.view }
func (f *fixedView) Changed() <-chan struct{} { return nil }

func roster(entries, agents int) *fixedView {
	v := &mn.View{Roster: make(map[mn.VMID]mn.Member)}
	for i := range entries {
		vm := mn.VMID(fmt.Sprintf("entry-%d", i))
		v.Roster[vm] = mn.Member{VM: vm, Role: mn.RoleEntry, DataCentre: "a"}
	}
	for i := range agents {
		vm := mn.VMID(fmt.Sprintf("agent-%02d", i))
		v.Roster[vm] = mn.Member{VM: vm, Role: mn.RoleAgent, Pool: "p", DataCentre: "a", Incarnation: "1"}
	}
	return &fixedView{v}
}

// fakeEngine is an engine that prefills 10 prompt tokens a millisecond in order
// of arrival and caches the three most recently used prefixes.
type fakeEngine struct {
	freeAt  float64 // when all of its work will be done
	cache   []string
	events  []CacheEvent
	pending []pendingRequest
}

type pendingRequest struct {
	ends float64
	done func(error)
}

const fakeEngineThroughput = 10.0

func (e *fakeEngine) run(now float64, prompt, prefix string, done func(error)) (latency float64) {
	tokens := float64(len(prompt)) / bytesPerToken
	if e.hit(prefix) {
		tokens -= float64(len(prefix)) / bytesPerToken
	}
	e.freeAt = max(e.freeAt, now) + tokens/fakeEngineThroughput
	e.pending = append(e.pending, pendingRequest{e.freeAt, done})
	return e.freeAt - now
}

// hit reports whether the prefix is cached, and adds it to the cache.
func (e *fakeEngine) hit(prefix string) bool {
	for i, p := range e.cache {
		if p == prefix {
			e.cache = append(append(e.cache[:i:i], e.cache[i+1:]...), prefix)
			return true
		}
	}
	e.cache = append(e.cache, prefix)
	if len(e.cache) > 3 {
		for _, b := range Blocks(e.cache[0]) {
			e.events = append(e.events, CacheEvent{Block: b, Evicted: true})
		}
		e.cache = e.cache[1:]
	}
	return false
}

func (e *fakeEngine) report(now float64) LoadReport {
	left := max(e.freeAt-now, 0)
	return LoadReport{Age: 300, PrefillTokens: left * fakeEngineThroughput, PrefillMillis: 1 / fakeEngineThroughput, DecodeMillis: 1, Limit: 1e6, Running: float64(len(e.pending))}
}

// scenario is a stream of prompts from several entries to nine agents.
type scenario struct {
	entries  int
	prefixes int     // shared prefixes of 4000 tokens
	hot      float64 // share of requests that use the first prefix; the others use any
	load     float64 // offered load without caching, as a share of the capacity
}

// latencies returns the sorted latencies in milliseconds with tables of the given
// policy. If policy is empty, each request goes to the agent with the least
// prefill work in its last report.
func (sc scenario) latencies(policy Policy, noAffinity bool) []float64 {
	const agents = 9
	random := rand.New(rand.NewPCG(7, 8))
	clock := mn.NewManualClock(1000)
	views := roster(sc.entries, agents)
	engines := make([]*fakeEngine, agents)
	for i := range engines {
		engines[i] = &fakeEngine{}
	}
	var tables []*Table
	for i := range sc.entries {
		s := DefaultSettings("a")
		s.Policy, s.NoAffinity, s.Seed = policy, noAffinity, uint64(i)
		tables = append(tables, New(clock, views, s))
	}
	prefixes := make([]string, max(sc.prefixes, 1))
	for i := range prefixes {
		prefixes[i] = strings.Repeat(fmt.Sprintf("%08d", i), sc.prefixes*16000/8/max(sc.prefixes, 1))
	}
	var all []float64
	pending := make([]LoadReport, agents)
	for now := 0.0; now < 120_000; now++ {
		if int(now)%250 == 0 {
			for i, s := range engines {
				gap := random.IntN(10) == 0
				for _, t := range tables {
					t.ApplyReport(mn.VMID(fmt.Sprintf("agent-%02d", i)), pending[i], s.events, gap)
				}
				s.events = nil
				pending[i] = s.report(now) // delivered one interval late
			}
		}
		for _, s := range engines {
			for len(s.pending) > 0 && s.pending[0].ends <= now {
				s.pending[0].done(nil)
				s.pending = s.pending[1:]
			}
		}
		suffixTokens := int(400 * math.Exp(random.NormFloat64())) // tokens after the prefix
		meanTokens := 660.0                                       // mean number of tokens after the prefix
		if sc.prefixes > 0 {
			meanTokens += 4000
		}
		if random.Float64() < sc.load*agents*fakeEngineThroughput/meanTokens {
			prefix := prefixes[0]
			if random.Float64() >= sc.hot {
				prefix = prefixes[random.IntN(len(prefixes))]
			}
			w := mn.Work{Pool: "p", Prompt: prefix + strings.Repeat(fmt.Sprintf("%04x", random.IntN(65536)), suffixTokens)}
			i, done := 0, func(error) {}
			if policy == "" {
				for j := range engines {
					if pending[j].PrefillTokens < pending[i].PrefillTokens {
						i = j
					}
				}
			} else {
				m, d, err := tables[random.IntN(len(tables))].Route(nil, w)
				if err != nil {
					panic(err)
				}
				fmt.Sscanf(string(m.VM), "agent-%d", &i)
				done = d
			}
			all = append(all, engines[i].run(now, w.Prompt, prefix, done))
		}
		clock.Advance(1)
	}
	sort.Float64s(all)
	return all
}

func quantile(sorted []float64, q float64) float64 { return sorted[int(q*float64(len(sorted)-1))] }

// TestCostBeatsRoundRobin guards against herding on stale reports. It compares
// the 95th percentile of latency under delayed reports with that of round robin
// and of picking the least loaded report, for one entry and for many entries that
// see the same reports.
func TestCostBeatsRoundRobin(t *testing.T) {
	for _, entries := range []int{1, 3, 30} {
		sc := scenario{entries: entries, load: 0.8}
		cost := quantile(sc.latencies(Cost, false), 0.95)
		robin := quantile(sc.latencies(RoundRobin, false), 0.95)
		leastReported := quantile(sc.latencies("", false), 0.95)
		t.Logf("entries=%d p95_ms cost=%.0f round_robin=%.0f least_reported=%.0f", entries, cost, robin, leastReported)
		require.Less(t, cost, 0.75*robin)
		require.Less(t, cost, 0.5*leastReported)
	}
}

// TestAffinityAgainstQueueing compares latencies with and without prefix
// affinity. In the first scenario, the caches hold part of the prefixes. In the
// second, most requests share one prefix; they must not all queue at one agent.
func TestAffinityAgainstQueueing(t *testing.T) {
	spread := scenario{entries: 3, prefixes: 18, load: 0.7}
	with, without := spread.latencies(Cost, false), spread.latencies(Cost, true)
	t.Logf("18 prefixes: p50_ms affinity=%.0f none=%.0f p95_ms affinity=%.0f none=%.0f",
		quantile(with, 0.5), quantile(without, 0.5), quantile(with, 0.95), quantile(without, 0.95))
	require.Less(t, quantile(with, 0.5), 0.7*quantile(without, 0.5))
	require.Less(t, quantile(with, 0.95), quantile(without, 0.95))

	hot := scenario{entries: 3, prefixes: 6, hot: 0.9, load: 0.8}
	with, without = hot.latencies(Cost, false), hot.latencies(Cost, true)
	t.Logf("hot prefix: p95_ms affinity=%.0f none=%.0f", quantile(with, 0.95), quantile(without, 0.95))
	require.Less(t, quantile(with, 0.95), 1.1*quantile(without, 0.95))
}

func TestAvoidsUnavailableAgents(t *testing.T) {
	clock := mn.NewManualClock(1000)
	views := roster(1, 4)
	table := New(clock, views, DefaultSettings("a"))
	route := func(avoid ...mn.VMID) (mn.Member, func(error), error) {
		return table.Route(t.Context(), mn.Work{Pool: "p", Prompt: "x", Avoid: avoid})
	}
	chosen := func() map[mn.VMID]int {
		n := make(map[mn.VMID]int)
		for range 200 {
			m, done, err := route()
			require.NoError(t, err)
			done(nil)
			n[m.VM]++
		}
		return n
	}
	require.Len(t, chosen(), 4)
	table.ApplyReport("agent-00", LoadReport{Unavailable: true}, nil, false)
	table.ApplyReport("agent-01", LoadReport{Role: mn.EnginePrefill}, nil, false)
	table.MarkUnreachable("agent-02")
	require.Equal(t, map[mn.VMID]int{"agent-03": 200}, chosen())

	m, done, err := route()
	require.NoError(t, err)
	require.EqualValues(t, "agent-03", m.VM)
	done(mn.Errorf(mn.EndpointFailed, "crash"))
	require.Len(t, chosen(), 2, "only suspect agents are left, so they get requests")
	_, _, err = route("agent-02", "agent-03")
	require.Equal(t, mn.NoEndpoint, mn.CodeOf(err))
	require.Equal(t, mn.OutcomeNotRun, mn.AsError(err).Outcome)
	clock.Advance(initialBackoff)
	table.ApplyReport("agent-03", LoadReport{}, nil, false)
	require.Equal(t, map[mn.VMID]int{"agent-03": 200}, chosen())
}

func TestIndexIsBounded(t *testing.T) {
	x := newIndex(10)
	agents := make(map[mn.VMID]*agent)
	for i := range 1000 {
		vm := mn.VMID(fmt.Sprint(i % 20))
		agents[vm] = newAgent(mn.Member{VM: vm}, 0)
		x.add(Block(i%30), location{vm: vm})
	}
	require.Len(t, x.blocks, 10)
	require.Equal(t, 10, x.lru.Len())
	for _, e := range x.blocks {
		require.LessOrEqual(t, len(e.Value.(*blockEntry).locations), maxLocationsPerBlock)
	}
	prompt := strings.Repeat("0123456789abcdef", 64)
	for _, b := range Blocks(prompt) {
		x.add(b, location{vm: "1"})
	}
	require.Equal(t, 256.0, x.cachedTokens(Blocks(prompt), agents)["1"])
	agents["1"].epoch = 1
	require.Equal(t, 128.0, x.cachedTokens(Blocks(prompt), agents)["1"], "a location from before a gap counts half")
	agents["1"].firstEpoch = 1
	require.Empty(t, x.cachedTokens(Blocks(prompt), agents), "a new process has an empty cache")
}

// TestReportSourcesAreSpread checks that few entries with few agents receive all
// load reports, and that many entries share the reports of many agents evenly.
func TestReportSourcesAreSpread(t *testing.T) {
	few := New(mn.NewManualClock(1), roster(3, maxReportSources), DefaultSettings("a"))
	require.Len(t, few.ReportSources("entry-0"), maxReportSources)
	views := roster(100, 600)
	table := New(mn.NewManualClock(1), views, DefaultSettings("a"))
	receivers := make(map[mn.VMID]int)
	for i := range 100 {
		sources := table.ReportSources(mn.VMID(fmt.Sprintf("entry-%d", i)))
		require.Len(t, sources, maxReportSources)
		for _, m := range sources {
			receivers[m.VM]++
		}
	}
	require.Greater(t, len(receivers), 590, "8 entries receive the reports of an agent on average, so hardly any agent has none")
	for vm, n := range receivers {
		require.LessOrEqual(t, n, 24, vm)
	}
	m, _, err := table.Route(t.Context(), mn.Work{Pool: "p", Prompt: "x"})
	require.NoError(t, err)
	require.Contains(t, table.ReportSources("entry-99"), m, "requests go to agents whose reports the table receives")
}
