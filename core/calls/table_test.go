package calls_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	mn "mustardnotch"
	"mustardnotch/core/calls"
)

type alwaysCurrent struct{}

func (alwaysCurrent) CheckCurrent() error { return nil }

func newTable(edit func(*calls.Config)) (*calls.Table, *mn.ManualClock) {
	clock := mn.NewManualClock(1_800_000_000_000)
	config := calls.DefaultConfig("vm-1", "run-1")
	if edit != nil {
		edit(&config)
	}
	t := calls.New(config, clock, alwaysCurrent{})
	t.MarkPoolNew()
	t.UpdateRoster(1, map[mn.VMID]mn.Incarnation{"vm-1": "run-1"})
	clock.Advance(mn.Second)
	return t, clock
}

func Example() {
	clock := mn.NewSystemClock()
	table := calls.New(calls.DefaultConfig("vm-1", "run-1"), clock, alwaysCurrent{})
	table.MarkPoolNew()
	table.UpdateRoster(1, map[mn.VMID]mn.Incarnation{"vm-1": "run-1"})

	request := calls.Request{
		ID:               mn.NewRequestID(),
		Key:              mn.IdempotencyKey(mn.NewRequestID()),
		Fingerprint:      calls.FingerprintOf("voering", "orderbalie", "/book", []byte("reel 7")),
		AgentIncarnation: "run-1",
	}
	call, owner, _ := table.Begin(request)
	if owner && call.Start() == nil {
		call.Finish([]byte("booked"), nil)
	}

	request.ID = mn.NewRequestID()
	call, owner, _ = table.Begin(request)
	answer, _ := call.Wait(context.Background())
	fmt.Println(owner, string(answer))
	// Output: false booked
}

func TestBeginRejects(t *testing.T) {
	now := mn.Millis(1_800_000_001_000)
	key := func(age mn.Millis) mn.IdempotencyKey { return mn.IdempotencyKey(uuidCreatedAt(now-age, 9)) }
	done := calls.Request{ID: mn.RequestID(uuidCreatedAt(now, 1)), Key: key(0), Fingerprint: calls.Fingerprint{1}, AgentIncarnation: "run-1"}
	for name, test := range map[string]struct {
		key     mn.IdempotencyKey
		mark    byte
		code    mn.Code
		outcome mn.Outcome
	}{
		"not a UUID":                   {"7", 1, mn.BadIdempotencyKey, mn.OutcomeNotRun},
		"not version 7":                {"6ba7b810-9dad-41d1-80b4-00c04fd430c8", 1, mn.BadIdempotencyKey, mn.OutcomeNotRun},
		"from the future":              {key(-501), 1, mn.BadIdempotencyKey, mn.OutcomeNotRun},
		"older than the maximum age":   {key(10*mn.Minute + 1), 1, mn.KeyTooOld, mn.OutcomeUnknown},
		"with another body":            {key(0), 2, mn.Duplicate, mn.OutcomeNotRun},
		"just within the maximum skew": {key(-499), 1, mn.OK, 0},
		"just below the maximum age":   {key(10*mn.Minute - 1), 1, mn.OK, 0},
		"an exact repeat":              {key(0), 1, mn.OK, 0},
	} {
		t.Run(name, func(t *testing.T) {
			table, _ := newTable(nil)
			c, _, err := table.Begin(done)
			require.Nil(t, err)
			require.Nil(t, c.Start())
			c.Finish([]byte("x"), nil)
			_, _, err = table.Begin(calls.Request{ID: mn.RequestID(uuidCreatedAt(now, 2)), Key: test.key, Fingerprint: calls.Fingerprint{test.mark}, AgentIncarnation: "run-1"})
			if test.code == mn.OK {
				require.Nil(t, err)
				return
			}
			require.NotNil(t, err)
			require.Equal(t, test.code, err.Code)
			require.Equal(t, test.outcome, err.Outcome)
		})
	}
}

// TestMemoryIsBounded checks that the table stays within MaxCalls and MaxBytes, and
// that a key is rejected as too old before the table removes it, since it could run
// again otherwise.
func TestMemoryIsBounded(t *testing.T) {
	table, clock := newTable(func(c *calls.Config) { c.MaxCalls, c.MaxBytes = 100, 1000 })
	var first calls.Request
	for i := range 300 {
		r := calls.Request{ID: mn.RequestID(uuidCreatedAt(clock.Wall(), i)), Key: mn.IdempotencyKey(uuidCreatedAt(clock.Wall(), 1000+i)), AgentIncarnation: "run-1"}
		c, owner, err := table.Begin(r)
		if i >= 100 {
			require.Equal(t, mn.Overloaded, err.Code)
			continue
		}
		if i == 0 {
			first = r
		}
		require.True(t, owner)
		require.Nil(t, c.Start())
		c.Finish(make([]byte, 100), nil)
	}
	count, bytes := table.Size()
	require.Equal(t, 100, count)
	require.LessOrEqual(t, bytes, int64(1000))
	require.Equal(t, calls.AnswerDropped, table.Settle(first).Err.Code)

	clock.Advance(10*mn.Minute + 600*mn.Millisecond)
	first.ID = mn.RequestID(uuidCreatedAt(clock.Wall(), 500))
	_, _, err := table.Begin(first)
	require.Equal(t, mn.KeyTooOld, err.Code)
	clock.Advance(2 * mn.Second)
	_, owner, err := table.Begin(calls.Request{ID: mn.RequestID(uuidCreatedAt(clock.Wall(), 501)), AgentIncarnation: "run-1"})
	require.Nil(t, err)
	require.True(t, owner)
	count, bytes = table.Size()
	require.Equal(t, 1, count)
	require.Zero(t, bytes)
}
