package place

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	mn "mustardnotch"
)

const pool = mn.PoolID("model")

var spec = mn.PoolSpec{ID: pool, Engine: &mn.EngineSpec{Capacity: 128, KVTokens: 760_000, KVBytesPerToken: 18_432, LinkMbps: 320_000}}

// engines returns three engines that only read and six that generate, as the
// users' first deployment has them, in two data centres.
func engines() (list []mn.Endpoint) {
	for i := range 9 {
		role := mn.EngineDecode
		if i < 3 {
			role = mn.EnginePrefill
		}
		list = append(list, mn.Endpoint{ID: mn.EndpointID(fmt.Sprintf("e%d", i)), Pool: pool, Addr: fmt.Sprintf("10.0.0.%d:80", i),
			DataCentre: mn.DataCentre(fmt.Sprintf("dc-%d", i%2)), Capacity: 128, State: mn.EndpointReady, Role: role})
	}
	return list
}

func newBalancer(clock mn.Clock, dc mn.DataCentre) *Balancer {
	b := New(Config{DataCentre: dc}, clock)
	b.SetPools(map[mn.PoolID]mn.PoolSpec{pool: spec, "plain": {ID: "plain"}})
	b.SetEndpoints(engines())
	return b
}

func long(chain, own int) *mn.PromptInfo {
	return &mn.PromptInfo{Tokens: 17_000, MaxOutput: 100, Segments: []mn.PromptSegment{
		{ID: fmt.Sprint("chain-", chain), Tokens: 13_300}, {ID: fmt.Sprint("own-", own), Tokens: 3_700}}}
}

func short(own int) *mn.PromptInfo {
	return &mn.PromptInfo{Tokens: 380, MaxOutput: 45, Segments: []mn.PromptSegment{
		{ID: "hello", Tokens: 90}, {ID: fmt.Sprint("short-", own), Tokens: 290}}}
}

func job(clock mn.Clock, p *mn.PromptInfo) *Job {
	now := clock.Now()
	j := &Job{Pool: pool, Prompt: p, FirstEventDeadline: now + 485, Deadline: now + 4985}
	if p == nil {
		j.Pool = "plain"
	}
	return j
}

func TestLongPromptUsesPrefillEngineThenCachedSegments(t *testing.T) {
	clock := mn.NewManualClock(1_000_000)
	b := newBalancer(clock, "dc-0")
	first, c := b.Choose(job(clock, long(1, 1)), false)
	require.Equal(t, Send, c)
	require.NotNil(t, first.Prefiller, "17,000 tokens would hold up what a generating engine runs")
	require.EqualValues(t, 17_000, first.Uncached)
	b.PrefillDone(first, 190)
	b.Release(first)
	again, c := b.Choose(job(clock, long(1, 2)), false)
	require.Equal(t, Send, c)
	require.EqualValues(t, 3_700, again.Uncached, "the shared part is kept, here or where it can be fetched from")
}

func TestFrontsChooseSameAffinityEngines(t *testing.T) {
	clock := mn.NewManualClock(1_000_000)
	a, b := newBalancer(clock, "dc-0"), newBalancer(clock, "dc-0")
	for chain := range 30 {
		pa, _ := a.Choose(job(clock, long(chain, 1)), false)
		pb, _ := b.Choose(job(clock, long(chain, 2)), false)
		require.Equal(t, pa.Prefiller, pb.Prefiller)
		require.Equal(t, pa.Target, pb.Target)
		a.Release(pa)
		b.Release(pb)
	}
}

// Two fronts get a long prompt each within some milliseconds. The second hears
// of the first's and must not queue behind it.
func TestPromptsOfPeerFrontsCount(t *testing.T) {
	clock := mn.NewManualClock(1_000_000)
	a, b := newBalancer(clock, "dc-0"), newBalancer(clock, "dc-0")
	news := b.UrgentUpdates()
	pa, _ := a.Choose(job(clock, long(7, 1)), false)
	require.Greater(t, a.UrgentUpdates(), news, "others hear of a long prompt at once")
	var cursor Cursor
	uses, reads := a.StateSince(&cursor, false)
	b.ReceiveState(mn.FrontState{VM: "a", Loads: uses, PrefilledPrompts: reads})
	pb, _ := b.Choose(job(clock, long(8, 1)), false)
	if pa.Prefiller.ID == pb.Prefiller.ID {
		require.Positive(t, pb.Backlog, "the other front's reading is before it")
	}
	pc, _ := b.Choose(job(clock, long(7, 2)), false)
	require.EqualValues(t, 3_700, pc.Uncached, "the other front told what was read")
	clock.Advance(peerStateTTL + 1)
	fresh, _ := b.Choose(job(clock, long(9, 1)), false)
	require.Zero(t, fresh.Backlog, "what is old does not count")

	uses, reads = a.StateSince(&cursor, false)
	require.Empty(t, uses, "nothing has changed")
	require.Empty(t, reads)
	a.Release(pa)
	uses, _ = a.StateSince(&cursor, false)
	require.Len(t, uses, 2)
	b.ReceiveState(mn.FrontState{VM: "a", Loads: uses})
	for _, u := range b.peers["a"].loads {
		require.Zero(t, u.Requests)
	}
	uses, _ = a.StateSince(&cursor, true)
	require.Empty(t, uses, "there is no work")
}

// A burst of long prompts: short ones must still be placed on time.
func TestShortPromptsAreOnTimeDuringBurstOfLongOnes(t *testing.T) {
	clock := mn.NewManualClock(1_000_000)
	b := newBalancer(clock, "dc-0")
	refused := 0
	for i := range 60 { // 60 long prompts in 300 ms: three times what is read.
		if _, c := b.Choose(job(clock, long(i%20, i)), false); c == Full {
			refused++
		}
		for n := range 3 {
			p, c := b.Choose(job(clock, short(i*3+n)), false)
			require.Equal(t, Send, c, "short prompt %d", i*3+n)
			b.PrefillDone(p, 50)
			b.Release(p)
		}
		clock.Advance(5)
	}
	require.Greater(t, refused, 20, "long prompts that can't be on time wait")
}

// Long prompts come at 1.5 times what all engines read for 3 s, then nothing
// comes for 3 s: what is on time is sent, the rest waits for the lull.
func TestLatePromptsAreServedAfterBurst(t *testing.T) {
	clock := mn.NewManualClock(1_000_000)
	b := newBalancer(clock, "dc-0")
	type running struct {
		p   *Plan
		end mn.Millis
	}
	var work []running
	busyUntil := map[mn.EndpointID]mn.Millis{}
	start := func(p *Plan) {
		id := p.prefillerID()
		begin := max(clock.Now(), busyUntil[id])
		busyUntil[id] = begin + mn.Millis(p.prefillWork)
		work = append(work, running{p, busyUntil[id]})
	}
	step := func() {
		clock.Advance(5)
		kept := work[:0]
		for _, r := range work {
			if clock.Now() < r.end {
				kept = append(kept, r)
				continue
			}
			b.PrefillDone(r.p, -1)
			b.Release(r.p)
		}
		work = kept
	}
	onTime, late := 0, 0
	var waiting []*Job
	for i := range 1200 {
		if i < 600 && i%2 == 0 {
			j := job(clock, long(i%120, i))
			if p, c := b.Choose(j, false); c == Send {
				onTime++
				start(p)
			} else {
				waiting = append(waiting, j)
			}
		}
		if len(waiting) > 0 && clock.Now() < waiting[0].Deadline {
			if p, c := b.Choose(waiting[0], true); c == Send || c == SendLate {
				late++
				start(p)
				waiting = waiting[1:]
			}
		} else if len(waiting) > 0 {
			waiting = waiting[1:]
		}
		step()
	}
	require.Greater(t, onTime, 120, "of 300")
	require.Greater(t, late, 60, "the lull serves what waited")
	require.Greater(t, onTime+late, 220, "of 300")
}

func TestUnusableEndpointsAreSkipped(t *testing.T) {
	clock := mn.NewManualClock(1_000_000)
	plain := func(states ...mn.EndpointState) (list []mn.Endpoint) {
		for i, s := range states {
			list = append(list, mn.Endpoint{ID: mn.EndpointID(fmt.Sprint("p", i)), Pool: "plain", Capacity: 6, State: s})
		}
		return list
	}
	b := newBalancer(clock, "dc-0")
	b.SetEndpoints(plain(mn.EndpointLeaving, mn.EndpointReady))
	p, c := b.Choose(job(clock, nil), false)
	require.Equal(t, Send, c)
	require.Equal(t, mn.EndpointID("p1"), p.Target.ID)
	b.Release(p)

	j := job(clock, nil)
	j.Avoid = []mn.EndpointID{"p1"}
	_, c = b.Choose(j, false)
	require.Equal(t, NoEndpoint, c, "what was tried is not tried again")

	b.ReportUnreachable("p1")
	_, c = b.Choose(job(clock, nil), false)
	require.Equal(t, NoEndpoint, c)
	clock.Advance(minPause)
	p, c = b.Choose(job(clock, nil), false)
	require.Equal(t, Send, c, "one request finds out whether it is back")
	_, c = b.Choose(job(clock, nil), false)
	require.Equal(t, NoEndpoint, c, "only one")
	b.ReportResult("p1", false)
	b.Release(p)
	_, c = b.Choose(job(clock, nil), false)
	require.Equal(t, Send, c)
}

func TestRestartedEndpointHasEmptyCache(t *testing.T) {
	clock := mn.NewManualClock(1_000_000)
	b := newBalancer(clock, "dc-0")
	p, _ := b.Choose(job(clock, long(1, 1)), false)
	list := engines()
	for i := range list {
		list[i].StartedAt = 5
	}
	b.SetEndpoints(list)
	b.Release(p) // Belongs to the earlier run.
	again, _ := b.Choose(job(clock, long(1, 2)), false)
	require.EqualValues(t, 17_000, again.Uncached)
	uses, _ := b.StateSince(&Cursor{}, true)
	require.Len(t, uses, 2)
}

// One of four plain endpoints fails two in five of its requests.
func TestPartlyFailingEndpointGetsFewRequests(t *testing.T) {
	clock := mn.NewManualClock(1_000_000)
	b := newBalancer(clock, "dc-0")
	var list []mn.Endpoint
	for i := range 4 {
		list = append(list, mn.Endpoint{ID: mn.EndpointID(fmt.Sprint("p", i)), Pool: "plain", Capacity: 6, State: mn.EndpointReady})
	}
	b.SetEndpoints(list)
	failed, grey := 0, 0
	for i := range 700 { // 70 a second.
		p, c := b.Choose(job(clock, nil), false)
		require.Equal(t, Send, c)
		bad := p.Target.ID == "p0" && i%5 < 2
		if p.Target.ID == "p0" {
			grey++
		}
		if bad {
			failed++
		}
		b.ReportResult(p.Target.ID, bad)
		b.ObserveResponseTime(p.Target.ID, 30)
		b.Release(p)
		clock.Advance(14)
	}
	require.Less(t, grey, 70, "of 700")
	require.Less(t, failed, 25)
}

// The largest requests are never on time: beside a steady load they must be sent
// late where others still wait.
func TestLargePromptIsSentLateUnderSteadyLoad(t *testing.T) {
	clock := mn.NewManualClock(1_000_000)
	b := newBalancer(clock, "dc-0")
	for i := range 12 { // Some 300 ms of reading at each reader.
		b.Choose(job(clock, long(i, i)), false)
	}
	large := job(clock, &mn.PromptInfo{Tokens: 60_000, MaxOutput: 450, Segments: []mn.PromptSegment{
		{ID: "other", Tokens: 20_000}, {ID: "large", Tokens: 40_000}}})
	_, c := b.Choose(large, true)
	require.Equal(t, SendLate, c)
	usual := job(clock, long(99, 99))
	usual.FirstEventDeadline = clock.Now()
	_, c = b.Choose(usual, true)
	require.Equal(t, Full, c, "it can wait for a lull")
}

func TestEngineRanksFollowUrgency(t *testing.T) {
	clock := mn.NewManualClock(1_000_000)
	b := newBalancer(clock, "dc-0")
	ranks := map[int]int{}
	for _, urgency := range []int{-1, 0, 1, 7} {
		j := job(clock, short(urgency))
		j.Urgency = urgency
		p, _ := b.Choose(j, false)
		ranks[urgency] = p.Rank
	}
	require.Equal(t, map[int]int{-1: 2, 0: 2, 1: 3, 7: 9}, ranks)
	apart, _ := b.Choose(job(clock, long(1, 1)), false)
	require.Equal(t, 0, apart.Rank, "what was read elsewhere only needs a place")
	require.Equal(t, 4, apart.PrefillRank, "long prompts come after short ones")
}

func TestPlainEndpointIsNotOverfilled(t *testing.T) {
	clock := mn.NewManualClock(1_000_000)
	b := newBalancer(clock, "dc-0")
	b.SetEndpoints([]mn.Endpoint{{ID: "p0", Pool: "plain", Capacity: 6, State: mn.EndpointReady}})
	for range 6 + plainQueueDepth {
		_, c := b.Choose(job(clock, nil), false)
		require.Equal(t, Send, c)
	}
	_, c := b.Choose(job(clock, nil), false)
	require.Equal(t, Full, c, "what would queue at the endpoint waits here")
}

func TestNaiveUsesNoPrefillEngines(t *testing.T) {
	clock := mn.NewManualClock(1_000_000)
	b := New(Config{Naive: true}, clock)
	b.SetPools(map[mn.PoolID]mn.PoolSpec{pool: spec})
	b.SetEndpoints(engines())
	for i := range 50 {
		p, c := b.Choose(job(clock, long(i, i)), false)
		require.Equal(t, Send, c)
		require.Nil(t, p.Prefiller)
		require.Equal(t, mn.EngineDecode, p.Target.Role)
	}
}

func TestSegmentCacheEvictsLeastRecentlyUsed(t *testing.T) {
	p := newSegmentCache()
	read := func(id string) { p.add([]mn.PromptSegment{{ID: id, Tokens: 400}}, 1000) }
	has := func(id string) bool {
		return p.cachedTokens(&mn.PromptInfo{Segments: []mn.PromptSegment{{ID: id, Tokens: 400}}}) > 0
	}
	read("a")
	read("b")
	read("a")
	read("c")
	require.True(t, has("a"))
	require.False(t, has("b"))
	require.True(t, has("c"))
	require.EqualValues(t, 400, p.cachedTokens(&mn.PromptInfo{Segments: []mn.PromptSegment{{ID: "a", Tokens: 400}, {ID: "x"}, {ID: "c", Tokens: 400}}}),
		"a part counts only if all before it are kept")
}

func TestFullQueueRejectsWithRetryAfter(t *testing.T) {
	clock := mn.NewManualClock(1_000_000)
	b := newBalancer(clock, "dc-0")
	b.SetEndpoints([]mn.Endpoint{{ID: "p0", Pool: "plain", Capacity: 1, State: mn.EndpointReady}})
	l := NewQueues(b, clock)
	for range 1 + plainQueueDepth {
		p, r := l.Place(t.Context(), job(clock, nil))
		require.NotNil(t, p)
		require.Nil(t, r)
	}
	ctx, cancel := context.WithCancel(t.Context())
	results := make(chan *Rejection, 100)
	for range 100 {
		go func() {
			_, r := l.Place(ctx, job(clock, nil))
			results <- r
		}()
	}
	refused := 0
	for range 60 {
		if r := <-results; r != nil {
			refused++
			require.Positive(t, r.RetryAfter)
			require.LessOrEqual(t, r.RetryAfter, mn.Millis(4985/3+1), "callers keep to a third of their time at most")
		}
	}
	require.Equal(t, 60, refused)
	cancel()
}

func TestPoolWithoutEndpointsRejects(t *testing.T) {
	clock := mn.NewManualClock(1_000_000)
	b := newBalancer(clock, "dc-0")
	_, r := NewQueues(b, clock).Place(t.Context(), job(clock, nil))
	require.NotNil(t, r)
	require.Positive(t, r.RetryAfter)
}
