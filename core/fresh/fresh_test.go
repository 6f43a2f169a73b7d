package fresh

import (
	"context"
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	mn "mustardnotch"
	"mustardnotch/core/conf"
)

// fixedPeer is a peer that gives the same reply to every probe, after a delay.
type fixedPeer struct {
	clock *mn.ManualClock
	delay mn.Millis
	ProbeReply
}

func (p fixedPeer) Probe(context.Context, mn.Member, ProbeRequest) (ProbeReply, error) {
	p.clock.Advance(p.delay)
	return p.ProbeReply, nil
}

// newPair returns the monitor and the state machine of process a, whose roster
// is a and b. The peer b gives the reply b after delay.
func newPair(t *testing.T, clock *mn.ManualClock, b ProbeReply, delay mn.Millis) (*Monitor, *conf.StateMachine) {
	state := conf.New()
	for i, vm := range []mn.VMID{"a", "b"} {
		r := mn.Record{Version: 1, ID: mn.NewRecordID(), Join: &mn.Member{VM: vm, Incarnation: "1", Role: mn.RoleEntry}}
		data, err := mn.EncodeRecord(&r)
		require.NoError(t, err)
		require.NoError(t, state.Apply([]mn.LogEntry{{Offset: mn.Offset(i + 1), Data: data}}))
	}
	b.VM = "b"
	params := DefaultParams()
	params.ProbeTimeout = 5
	return New("a", "1", state, clock, fixedPeer{clock, delay, b}, params), state
}

// TestEvidenceIsAsOldAsTheProbe checks that the age of evidence counts from
// before the probe. Otherwise a slow reply, old evidence of a peer, a paused
// process or a restarted peer would make the process current although its view
// is stale.
func TestEvidenceIsAsOldAsTheProbe(t *testing.T) {
	tests := []struct {
		name  string
		delay mn.Millis
		b     ProbeReply
		want  mn.Millis // age of the evidence, -1 for none
	}{
		{"slow reply", 1200, ProbeReply{Incarnation: "1", Offset: 2}, 1200},
		{"reply slower than the staleness bound", 3000, ProbeReply{Incarnation: "1", Offset: 2}, 3000},
		{"restarted peer", 0, ProbeReply{Incarnation: "2", Offset: 2}, -1},
		{"peer with a higher offset", 0, ProbeReply{Incarnation: "1", Offset: 3}, -1},
		{"current peer", 100, ProbeReply{Incarnation: "2", Offset: 2, Current: true, Age: 2000}, 2100},
		{"current peer with a higher offset", 0, ProbeReply{Incarnation: "2", Offset: 3, Current: true}, -1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := mn.NewManualClock(50_000)
			m, _ := newPair(t, clock, tt.b, tt.delay)
			// If the offset were not established yet, probeAll would send a
			// second round of probes, which would add another delay.
			m.ObserveEstablished(2)
			m.probeAll(t.Context())
			age, ok := m.EvidenceAge()
			require.Equal(t, tt.want >= 0, ok)
			if ok {
				require.Equal(t, tt.want, age)
			}
			current := ok && tt.want < DefaultParams().MaxStaleness
			require.Equal(t, current, m.CheckCurrent() == nil)
			clock.Advance(DefaultParams().MaxStaleness)
			require.Equal(t, mn.NotCurrent, mn.CodeOf(m.CheckCurrent()), "after a pause")
			require.Equal(t, mn.OutcomeNotRun, mn.AsError(m.CheckCurrent()).Outcome)
		})
	}
}

// TestUnreadableRecordIsNotCurrent checks that a process that can't decode a
// record is not current even if its peers can't decode the record either, so
// that a majority reports no higher offset.
func TestUnreadableRecordIsNotCurrent(t *testing.T) {
	clock := mn.NewManualClock(50_000)
	m, _ := newPair(t, clock, ProbeReply{Incarnation: "1", Offset: 2}, 0)
	m.probeAll(t.Context())
	require.NoError(t, m.CheckCurrent())
	m.Fail(mn.Errorf(mn.UnknownRecord, "version 2"))
	m.probeAll(t.Context())
	require.ErrorContains(t, m.CheckCurrent(), "version 2")
}

// TestGuardEndsSessions checks that open sessions end when their key is
// withdrawn, and that sessions of entries also end when the process is no
// longer current.
func TestGuardEndsSessions(t *testing.T) {
	clock := mn.NewManualClock(50_000)
	m, state := newPair(t, clock, ProbeReply{Incarnation: "1", Offset: 2}, 0)
	m.ObserveHead(clock.Now(), 2)
	g := NewGuard(state, m, clock)
	set := func(withdrawn bool, base mn.Offset) {
		customer := mn.Resource{Customer: &mn.Customer{ID: "c", Rate: 1, Burst: 1}}
		key := mn.Resource{Key: &mn.Key{Name: "k", Hash: "h", Customer: "c", Withdrawn: withdrawn}}
		r := mn.Record{Version: 1, ID: mn.NewRecordID(), Change: &mn.Change{Edits: []mn.Edit{
			{Name: customer.Name(), Base: base, Set: &customer}, {Name: key.Name(), Base: base, Set: &key},
		}}}
		data, err := mn.EncodeRecord(&r)
		require.NoError(t, err)
		require.NoError(t, state.Apply([]mn.LogEntry{{Offset: state.View().Offset + 1, Data: data}}))
	}
	set(false, 0)
	open, session := g.OpenSession(t.Context(), "h")
	stale, staleSession := g.OpenSessionAllowStale(t.Context(), "h")
	g.endInvalidSessions()
	require.NoError(t, open.Err())

	clock.Advance(DefaultParams().MaxStaleness)
	require.Equal(t, mn.NotCurrent, mn.CodeOf(session.Err()), "before the sweep")
	g.endInvalidSessions()
	require.Equal(t, mn.NotCurrent, mn.CodeOf(SessionError(open, open.Err())))
	require.NoError(t, stale.Err())

	set(true, 3)
	g.endInvalidSessions()
	require.Equal(t, mn.KeyWithdrawn, mn.CodeOf(SessionError(stale, stale.Err())))
	require.Equal(t, mn.OutcomeUnknown, mn.AsError(context.Cause(stale)).Outcome)
	_, err := g.CheckKey("h")
	require.Equal(t, mn.NotCurrent, mn.CodeOf(err))
	m.ObserveHead(clock.Now(), 4)
	_, err = g.CheckKey("h")
	require.Equal(t, mn.KeyWithdrawn, mn.CodeOf(err))
	require.Equal(t, mn.OutcomeNotRun, mn.AsError(err).Outcome)
	session.Close()
	staleSession.Close()
	remaining, ended := g.Sessions()
	require.Zero(t, remaining)
	require.EqualValues(t, 2, ended)
}

// TestAwaitOffsetWaitsForTheStateMachine checks that a request based on an
// offset that the process is about to apply is not rejected.
func TestAwaitOffsetWaitsForTheStateMachine(t *testing.T) {
	m, state := newPair(t, mn.NewManualClock(1), ProbeReply{}, 0)
	require.NoError(t, AwaitOffset(t.Context(), state, 2))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.Equal(t, mn.NotCurrent, mn.CodeOf(AwaitOffset(ctx, state, 3)))
	done := make(chan error)
	go func() { done <- AwaitOffset(t.Context(), state, 3) }()
	data, err := mn.EncodeRecord(&mn.Record{Version: 1, ID: "r3", Leave: &mn.Departure{VM: "b", Incarnation: "1"}})
	require.NoError(t, err)
	require.NoError(t, state.Apply([]mn.LogEntry{{Offset: 3, Data: data}}))
	require.NoError(t, <-done)
	require.EqualValues(t, 3, m.HighestKnown())
}

// directPeers are monitors that probe one another without a network.
type directPeers map[mn.VMID]*Monitor

func (p directPeers) Probe(_ context.Context, to mn.Member, req ProbeRequest) (ProbeReply, error) {
	m, ok := p[to.VM]
	if !ok {
		return ProbeReply{}, errors.New("unreachable")
	}
	return m.HandleProbe(req), nil
}

// TestEstablishedOffsetOutlivesTheProcessThatEstablishedIt stops both members
// of the earliest roster, with the log down, as soon as one of them has
// established the latest roster. The others are a majority of the latest roster
// but not of the earliest, so they could never establish anything again if they
// had not received the established offset.
func TestEstablishedOffsetOutlivesTheProcessThatEstablishedIt(t *testing.T) {
	clock, all := mn.NewManualClock(50_000), directPeers{}
	var log []mn.LogEntry
	for _, vm := range []mn.VMID{"e1", "e2", "a1", "a2", "a3"} {
		r := mn.Record{Version: 1, ID: mn.NewRecordID(), Join: &mn.Member{VM: vm, Incarnation: "1", Role: mn.RoleEntry}}
		data, err := mn.EncodeRecord(&r)
		require.NoError(t, err)
		log = append(log, mn.LogEntry{Offset: mn.Offset(len(log) + 1), Data: data})
	}
	for _, vm := range []mn.VMID{"e1", "e2", "a1", "a2", "a3"} {
		state := conf.New()
		require.NoError(t, state.Apply(log))
		all[vm] = New(vm, "1", state, clock, all, DefaultParams())
	}
	all["e1"].probeAll(t.Context())
	require.EqualValues(t, len(log), all["e1"].Established())
	delete(all, "e1")
	delete(all, "e2")
	all["a1"].probeAll(t.Context())
	require.EqualValues(t, len(log), all["a1"].Established())
}
