package mustardnotch

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestErrorKeepsCodeThroughWrapping(t *testing.T) {
	inner := Errorf(RateExceeded, "customer %q", "a").WithRetryAfter(20 * Millisecond)
	err := fmt.Errorf("admit: %w", inner)
	got := AsError(err)
	require.Equal(t, RateExceeded, got.Code)
	require.Equal(t, OutcomeNotRun, got.Outcome)
	require.Equal(t, 20*Millisecond, got.RetryAfter)
	require.Equal(t, OutcomeUnknown, AsError(errors.New("x")).Outcome)
	require.Equal(t, DeadlineExceeded, CodeOf(fmt.Errorf("read: %w", context.DeadlineExceeded)))
	require.Equal(t, Cancelled, CodeOf(context.Canceled))
}

func TestParseCode(t *testing.T) {
	for _, s := range []string{"203", "MN203", "mn203"} {
		c, err := ParseCode(s)
		require.NoError(t, err)
		require.Equal(t, RateExceeded, c)
	}
	for _, s := range []string{"", "MN", "999", "MN2o3"} {
		_, err := ParseCode(s)
		require.Error(t, err, s)
	}
}

func TestDecodeRecordRejectsUnreadableRecords(t *testing.T) {
	for _, s := range []string{"", "{", `{"version":2,"id":"a"}`, `{"version":0,"id":"a"}`, `{"version":1}`, `{"version":1,"id":5}`} {
		_, err := DecodeRecord([]byte(s))
		require.Equal(t, UnknownRecord, CodeOf(err), s)
	}
}

func TestIdempotencyKeyAge(t *testing.T) {
	before := SystemClock{}.Wall()
	made, err := IdempotencyKey(NewRequestID()).Created()
	require.NoError(t, err)
	require.InDelta(t, int64(before), int64(made), 1000)
	_, err = IdempotencyKey("6ba7b810-9dad-41d1-80b4-00c04fd430c8").Created()
	require.Error(t, err)
}
