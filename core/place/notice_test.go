package place

import (
	"testing"

	"github.com/stretchr/testify/require"

	mn "mustardnotch"
)

func newNoticeBalancer() (*Balancer, *mn.ManualClock, []mn.Endpoint) {
	clock := mn.NewManualClock(1000)
	b := New(Config{}, clock)
	list := []mn.Endpoint{
		{ID: "a", StartedAt: 7, Pool: "p", Addr: "127.0.0.1:1", Capacity: 1, State: mn.EndpointReady},
		{ID: "b", StartedAt: 7, Pool: "p", Addr: "127.0.0.1:2", Capacity: 1, State: mn.EndpointReady},
	}
	b.SetEndpoints(list)
	return b, clock, list
}

func TestObserveReply(t *testing.T) {
	b, clock, list := newNoticeBalancer()
	a := list[0]
	require.False(t, b.ObserveReply(a, mn.ReplyInfo{}))
	require.Nil(t, b.CheckSend("a"))

	require.True(t, b.ObserveReply(a, mn.ReplyInfo{Pause: 500}))
	require.False(t, b.ObserveReply(a, mn.ReplyInfo{Pause: 300}), "a shorter pause changes nothing")
	require.NotNil(t, b.CheckSend("a"))
	require.True(t, b.AsksPause("a"))
	clock.Advance(499)
	require.NotNil(t, b.CheckSend("a"))
	clock.Advance(1)
	require.Nil(t, b.CheckSend("a"))
	require.Nil(t, b.CheckSend("b"))

	require.True(t, b.ObserveReply(a, mn.ReplyInfo{Leaving: true}))
	require.False(t, b.ObserveReply(a, mn.ReplyInfo{Leaving: true}))
	require.NotNil(t, b.CheckSend("a"))
	clock.Advance(noticeTTL + 1)
	b.SetEndpoints(list)
	require.NotNil(t, b.CheckSend("a"), "it was listed all the time")
	b.SetEndpoints(nil)
	clock.Advance(noticeTTL)
	b.SetEndpoints(list)
	require.NotNil(t, b.CheckSend("a"), "its entry was lost for less than the time for which notices are kept")
	list[0].StartedAt++
	b.SetEndpoints(list)
	require.Nil(t, b.CheckSend("a"), "it has started again")
	require.False(t, b.ObserveReply(a, mn.ReplyInfo{Leaving: true}), "the answer is of the run before")
	require.Nil(t, b.CheckSend("a"))
}

// An answer arrives after the entry of its endpoint was removed, and the entry comes back.
func TestNoticeOfUnlistedEndpointHolds(t *testing.T) {
	b, clock, list := newNoticeBalancer()
	b.SetEndpoints(list[1:])
	require.True(t, b.ObserveReply(list[0], mn.ReplyInfo{Leaving: true}))
	b.SetEndpoints(list)
	require.NotNil(t, b.CheckSend("a"))
	b.SetEndpoints(nil)
	clock.Advance(noticeTTL + 1)
	b.SetEndpoints(nil)
	require.Empty(t, b.notices)
}

// All endpoints of a pool leave or pause. Callers are told when the first of those that
// pause can be used again.
func TestRejectionNamesEndOfPause(t *testing.T) {
	b, clock, list := newNoticeBalancer()
	q := NewQueues(b, clock)
	job := func() *Job {
		return &Job{Pool: "p", Deadline: clock.Now() + 30*mn.Second, FirstEventDeadline: clock.Now() + 30*mn.Second}
	}
	b.ObserveReply(list[0], mn.ReplyInfo{Pause: 3000})
	b.ObserveReply(list[1], mn.ReplyInfo{Pause: 2000})
	plan, r := q.Place(t.Context(), job())
	require.Nil(t, plan)
	require.EqualValues(t, 2000, r.RetryAfter)
	b.ObserveReply(list[1], mn.ReplyInfo{Leaving: true})
	_, r = q.Place(t.Context(), job())
	require.EqualValues(t, 3000, r.RetryAfter)
	clock.Advance(3000)
	plan, _ = q.Place(t.Context(), job())
	require.Equal(t, mn.EndpointID("a"), plan.Target.ID)
}
