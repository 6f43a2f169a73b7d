package replay_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	mn "mustardnotch"
	"mustardnotch/core/replay"
)

func Example() {
	store := replay.New[string](replay.DefaultConfig(), mn.NewSystemClock())
	answer, _ := store.Open("request", "voering", 1)
	answer.Append("one ", 4)
	answer.Append("two ", 4)
	answer.End()
	again, _ := store.Find("request", "voering")
	_ = again.Read(context.Background(), 1, func(s string) error {
		fmt.Println(s)
		return nil
	})
	// Output: two
}

func TestReadersSeeEveryChunkOnce(t *testing.T) {
	store := replay.New[int](replay.DefaultConfig(), mn.NewManualClock(0))
	a, err := store.Open("r", "c", 1)
	require.Nil(t, err)
	broken := errors.New("broken")
	got := make(chan []int)
	for start := range 8 {
		go func() {
			var seen []int
			// This read fails after start chunks. A second one resumes there.
			err := a.Read(t.Context(), 0, func(n int) error {
				if len(seen) == start {
					return broken
				}
				seen = append(seen, n)
				return nil
			})
			if errors.Is(err, broken) {
				err = a.Read(t.Context(), mn.Sequence(len(seen)), func(n int) error {
					seen = append(seen, n)
					return nil
				})
			}
			if err != nil {
				seen = nil
			}
			got <- seen
		}()
	}
	var want []int
	for i := range 500 {
		a.Append(i, 1)
		want = append(want, i)
	}
	a.End()
	for range 8 {
		require.Equal(t, want, <-got)
	}
}

func TestBounds(t *testing.T) {
	clock := mn.NewManualClock(0)
	store := replay.New[int](replay.Config{Retention: 100, MaxBytes: 10}, clock)
	running, _ := store.Open("running", "c", 5)
	running.Append(1, 8)
	done, _ := store.Open("done", "c", 1)
	done.Append(1, 2)
	done.End()
	_, err := store.Find("done", "other")
	require.Equal(t, mn.UnknownRequest, err.Code)
	_, err = store.Find("done", "c")
	require.Nil(t, err)

	running.Append(2, 1)
	_, err = store.Find("done", "c")
	require.Equal(t, mn.UnknownRequest, err.Code, "the answer that ended first was dropped")
	require.EqualValues(t, 9, store.Bytes())
	_, err = store.Open("running", "c", 1)
	require.Equal(t, mn.BadRequest, err.Code)
	for _, after := range []mn.Sequence{3, 7} {
		require.Equal(t, mn.BadRequest, mn.CodeOf(running.Read(t.Context(), after, nil)))
	}

	require.EqualValues(t, 0, running.Idle())
	clock.Advance(50)
	require.EqualValues(t, 50, running.Idle())
	running.End()
	clock.Advance(100)
	_, err = store.Find("running", "c")
	require.Equal(t, mn.UnknownRequest, err.Code)
	require.Zero(t, store.Bytes())
}
