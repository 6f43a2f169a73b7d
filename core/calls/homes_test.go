package calls_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	mn "mustardnotch"
	"mustardnotch/core/calls"
)

type roster = map[mn.VMID]mn.Incarnation

// switchableFreshness reports the agent as current until stale is set.
type switchableFreshness struct{ stale bool }

func (s *switchableFreshness) CheckCurrent() error {
	if s.stale {
		return mn.Errorf(mn.NotCurrent, "stale")
	}
	return nil
}

// newPair returns the tables of two agents on the same roster, and a function that
// returns the first request with a new key.
func newPair(t *testing.T) (a, b *calls.Table, aFreshness *switchableFreshness, clock *mn.ManualClock, first func(agent mn.Incarnation) calls.Request) {
	clock = mn.NewManualClock(1_800_000_000_000)
	aFreshness = &switchableFreshness{}
	a = calls.New(calls.DefaultConfig("a", "a-1"), clock, aFreshness)
	b = calls.New(calls.DefaultConfig("b", "b-1"), clock, alwaysCurrent{})
	a.MarkPoolNew()
	a.UpdateRoster(1, roster{"a": "a-1"})
	b.UpdateRoster(1, roster{"a": "a-1"})
	b.UpdateRoster(2, roster{"a": "a-1", "b": "b-1"})
	require.Nil(t, b.Import(a.UpdateRoster(2, roster{"a": "a-1", "b": "b-1"})["b"]))
	number := 0
	return a, b, aFreshness, clock, func(agent mn.Incarnation) calls.Request {
		number += 2
		return calls.Request{
			ID:               mn.RequestID(uuidCreatedAt(clock.Wall(), number)),
			Key:              mn.IdempotencyKey(uuidCreatedAt(clock.Wall(), number+1)),
			AgentIncarnation: agent,
			FirstUse:         true,
		}
	}
}

// startsCall reports whether the table lets r run.
func startsCall(table *calls.Table, r calls.Request) bool {
	c, owner, err := table.Begin(r)
	return err == nil && owner && c.Start() == nil
}

// requestHomedAt returns a first request with a key whose home is the agent of table.
func requestHomedAt(t *testing.T, table *calls.Table, agent mn.Incarnation, first func(mn.Incarnation) calls.Request) calls.Request {
	for range 100 {
		r := first(agent)
		if _, _, err := table.Begin(r); err == nil {
			return r
		}
	}
	require.Fail(t, "no key has its home at this agent")
	return calls.Request{}
}

func TestOldHomeRunsNothingOnceNotCurrent(t *testing.T) {
	a, _, aFreshness, _, first := newPair(t)
	registered := requestHomedAt(t, a, "a-1", first)
	c, _, err := a.Begin(registered)
	require.Nil(t, err)
	aFreshness.stale = true
	require.Equal(t, mn.NotCurrent, c.Start().Code, "the call was registered while the agent was current")
	for range 20 {
		require.False(t, startsCall(a, first("a-1")))
	}
}

func TestRegisteredCallDoesNotStartAfterItsHomeMoved(t *testing.T) {
	a, _, _, _, first := newPair(t)
	c, _, err := a.Begin(requestHomedAt(t, a, "a-1", first))
	require.Nil(t, err)
	a.UpdateRoster(3, roster{"b": "b-1"})
	require.Equal(t, calls.NotHome, c.Start().Code)
}

func TestNewHomeWaitsUntilLostHomeStopped(t *testing.T) {
	a, b, _, clock, first := newPair(t)
	lost := requestHomedAt(t, a, "a-1", first)
	lost.AgentIncarnation = "b-1"
	b.UpdateRoster(3, roster{"b": "b-1"})
	require.False(t, startsCall(b, lost), "the former home may still run it")
	retry := lost
	retry.FirstUse = false
	clock.Advance(3*mn.Second + 501*mn.Millisecond)
	retry.ID = first("").ID
	_, _, err := b.Begin(retry)
	require.Equal(t, calls.HomeChanging, err.Code)
	require.Equal(t, mn.OutcomeUnknown, err.Outcome)
	lost.ID = first("").ID
	require.True(t, startsCall(b, lost), "no other agent received the key")
	young := first("b-1")
	young.FirstUse = false
	require.True(t, startsCall(b, young))
}

func TestPlannedLeaveTransfersAnswers(t *testing.T) {
	a, b, _, clock, first := newPair(t)
	r := requestHomedAt(t, a, "a-1", first)
	c, _, err := a.Begin(r)
	require.Nil(t, err)
	require.Nil(t, c.Start())
	clock.Advance(mn.Second)
	transfer := a.Leave()["b"]
	require.False(t, startsCall(a, first("a-1")), "an agent runs nothing after it has left")
	for range 50 {
		unseen := first("a-1")
		unseen.FirstUse = false
		require.Equal(t, calls.Unknown, a.SettleKey(unseen).Phase, "it may run at another agent now, in a later request")
	}
	require.Nil(t, b.Import(transfer))
	b.UpdateRoster(3, roster{"b": "b-1"})

	again := r
	again.ID, again.AgentIncarnation, again.FirstUse = first("").ID, "b-1", false
	_, _, err = b.Begin(again)
	require.Equal(t, calls.HomeChanging, err.Code, "still running at the former home")
	c.Finish([]byte("booked"), nil)
	require.Nil(t, b.Import(a.TakeLateOutcomes()["b"]))
	transferred, owner, err := b.Begin(again)
	require.Nil(t, err)
	require.False(t, owner)
	answer, waitErr := transferred.Wait(t.Context())
	require.NoError(t, waitErr)
	require.Equal(t, "booked", string(answer))

	older := first("b-1")
	older.FirstUse = false
	require.True(t, startsCall(b, older), "the transfer leaves no gap")
}

// TestTransferBeforeJoinIsKept guards against keys rejected because of a gap that is
// filled already. A transfer may arrive before its recipient has read the record of
// its own join, and the join must not open a gap that the transfer has filled.
func TestTransferBeforeJoinIsKept(t *testing.T) {
	clock := mn.NewManualClock(1_800_000_000_000)
	a := calls.New(calls.DefaultConfig("a", "a-1"), clock, alwaysCurrent{})
	b := calls.New(calls.DefaultConfig("b", "b-1"), clock, alwaysCurrent{})
	a.MarkPoolNew()
	a.UpdateRoster(1, roster{"a": "a-1"})
	b.UpdateRoster(1, roster{"a": "a-1"})
	require.Nil(t, b.Import(a.UpdateRoster(2, roster{"a": "a-1", "b": "b-1"})["b"]))
	b.UpdateRoster(2, roster{"a": "a-1", "b": "b-1"})
	rejected := 0
	for i := range 100 {
		r := calls.Request{ID: mn.RequestID(uuidCreatedAt(clock.Wall(), 2*i)), Key: mn.IdempotencyKey(uuidCreatedAt(clock.Wall(), 2*i+1)), AgentIncarnation: "b-1"}
		if _, _, err := b.Begin(r); err != nil && err.Code == calls.HomeChanging {
			rejected++
		}
	}
	require.Zero(t, rejected)
}

// TestInheritedGapStays guards against running a key twice. A final transfer of a
// lost agent must not fill a gap that was inherited from another agent, because the
// lost agent sent the keys of that gap to the other agent.
func TestInheritedGapStays(t *testing.T) {
	a, b, _, clock, first := newPair(t)
	c := calls.New(calls.DefaultConfig("c", "c-1"), clock, alwaysCurrent{})
	three := roster{"a": "a-1", "b": "b-1", "c": "c-1"}
	c.UpdateRoster(2, roster{"a": "a-1", "b": "b-1"})
	c.UpdateRoster(3, three)
	for _, m := range []calls.Transfer{a.UpdateRoster(3, three)["c"], b.UpdateRoster(3, three)["c"]} {
		require.Nil(t, c.Import(m))
	}
	var ran []calls.Request
	for range 50 {
		if r := first("a-1"); startsCall(a, r) {
			ran = append(ran, r)
		}
	}
	remaining := roster{"b": "b-1", "c": "c-1"}
	b.UpdateRoster(4, remaining)
	c.UpdateRoster(4, remaining)
	fromC := c.Leave()["b"]
	fromA := a.Leave()["b"]
	b.UpdateRoster(5, roster{"b": "b-1"})
	require.Nil(t, b.Import(fromC))
	require.Nil(t, b.Import(fromA))
	require.NotEmpty(t, ran)
	for _, r := range ran {
		r.ID, r.AgentIncarnation, r.FirstUse = first("").ID, "b-1", false
		require.False(t, startsCall(b, r), "key %s ran at agent a before and now starts at agent b", r.Key)
	}
}
