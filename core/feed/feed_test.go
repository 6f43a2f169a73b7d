package feed

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	mn "mustardnotch"
	"mustardnotch/core/conf"
)

var errLost = errors.New("answer lost")

// memoryLog is a log whose appends can be lost and whose records can expire.
type memoryLog struct {
	mu      sync.Mutex
	entries []mn.LogEntry
	head    mn.Offset
	appends int
	// drop is the number of appends that fail without taking effect, lose the
	// number of those that take effect but fail afterwards.
	drop, lose int
}

func (l *memoryLog) Append(_ context.Context, _ mn.Stream, data []byte) (mn.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	if l.drop > 0 {
		l.drop--
		return 0, errLost
	}
	l.head++
	l.entries = append(l.entries, mn.LogEntry{Offset: l.head, Data: data})
	if l.lose > 0 {
		l.lose--
		return 0, errLost
	}
	return l.head, nil
}

func (l *memoryLog) Read(_ context.Context, _ mn.Stream, from mn.Offset, limit int, _ mn.Millis) (mn.LogBatch, error) {
	time.Sleep(time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	b := mn.LogBatch{First: l.head - mn.Offset(len(l.entries)) + 1, Head: l.head}
	for _, e := range l.entries {
		if e.Offset >= from && len(b.Entries) < limit {
			b.Entries = append(b.Entries, e)
		}
	}
	return b, nil
}

// expire drops all records except the last keep.
func (l *memoryLog) expire(keep int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = l.entries[len(l.entries)-keep:]
}

// recordingObserver records the latest calls of a follower.
type recordingObserver struct {
	mu          sync.Mutex
	head        mn.Offset
	established mn.Offset
	failed      error
}

func (o *recordingObserver) ObserveHead(_ mn.Millis, head mn.Offset) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.head = head
}

func (o *recordingObserver) ObserveEstablished(off mn.Offset) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.established = off
}

func (o *recordingObserver) Fail(err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.failed = err
}

func (o *recordingObserver) observed() (head, established mn.Offset, failed error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.head, o.established, o.failed
}

// startFollower applies log to a new state machine until the test ends.
func startFollower(t *testing.T, log mn.Log) (*conf.StateMachine, *recordingObserver, *Follower) {
	state, observer := conf.New(), &recordingObserver{}
	f := New(state, observer, mn.NewSystemClock(), func(string, error) {})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.FollowLog(ctx, log, func() bool { return true })
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return state, observer, f
}

func customer(rate float64, base mn.Offset) mn.Record {
	r := mn.Resource{Customer: &mn.Customer{ID: "c", Rate: rate, Burst: 1}}
	return mn.Record{Change: &mn.Change{Edits: []mn.Edit{{Name: r.Name(), Base: base, Set: &r}}}}
}

// TestLostAppendsTakeEffectOnce checks that an append that is lost, or whose
// answer is lost, changes the state exactly once and returns its true result. A
// repeat that was applied as a record of its own would conflict with the first.
func TestLostAppendsTakeEffectOnce(t *testing.T) {
	for _, c := range []struct{ drop, lose int }{{0, 0}, {2, 0}, {0, 2}, {1, 1}} {
		log := &memoryLog{drop: c.drop, lose: c.lose}
		state, _, _ := startFollower(t, log)
		w := NewWriter(log, state, "e1", mn.NewSystemClock())
		res, err := w.Append(t.Context(), customer(5, 0))
		require.NoError(t, err)
		require.Nil(t, res.Err, "%+v", c)
		require.EqualValues(t, 1, res.Offset)
		res, err = w.Append(t.Context(), customer(6, 0))
		require.NoError(t, err)
		require.Equal(t, mn.Conflict, res.Err.Code)
		got, _ := state.View().Customer("c")
		require.EqualValues(t, 5, got.Rate)
	}
}

func TestAppendWithoutAnswerIsUnknown(t *testing.T) {
	log := &memoryLog{drop: 1000}
	state, _, _ := startFollower(t, log)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_, err := NewWriter(log, state, "e1", mn.NewSystemClock()).Append(ctx, customer(5, 0))
	require.Equal(t, mn.PlatformUnavailable, mn.CodeOf(err))
	require.Equal(t, mn.OutcomeUnknown, mn.AsError(err).Outcome)
}

// TestStartAfterExpiry checks how a process starts once records have expired:
// from the latest snapshot that the records in the log follow without a gap,
// from a peer, or not at all. A start with a gap would leave it on a wrong
// state.
func TestStartAfterExpiry(t *testing.T) {
	log := &memoryLog{}
	old, _, _ := startFollower(t, log)
	w := NewWriter(log, old, "e1", mn.NewSystemClock())
	add := func(r mn.Record) {
		_, err := w.Append(t.Context(), r)
		require.NoError(t, err)
	}
	add(customer(1, 0))
	first := old.Snapshot()
	add(customer(2, 1))
	second := old.Snapshot()
	add(customer(3, 2))
	add(mn.Record{Snapshot: &second})
	add(mn.Record{Snapshot: &first}) // Appended late, so it is older than the previous snapshot.
	add(customer(4, 3))

	log.expire(4)
	state, observer, _ := startFollower(t, log)
	require.Eventually(t, func() bool { head, _, _ := observer.observed(); return head == 6 }, 5*time.Second, time.Millisecond)
	require.Equal(t, old.Snapshot(), state.Snapshot())
	_, established, _ := observer.observed()
	require.EqualValues(t, 2, established)

	log.expire(1)
	state, observer, f := startFollower(t, log)
	require.Eventually(t, func() bool { _, _, err := observer.observed(); return err != nil }, 5*time.Second, time.Millisecond)
	head, _, err := observer.observed()
	require.Equal(t, mn.RecordsExpired, mn.CodeOf(err))
	require.Zero(t, head, "no evidence without the records")
	require.Zero(t, state.View().Offset)

	peer := old.Snapshot()
	require.NoError(t, f.applyBatch(Batch{Snapshot: &peer, Head: 6}))
	require.Eventually(t, func() bool { head, _, _ := observer.observed(); return head == 6 }, 5*time.Second, time.Millisecond)
	require.Equal(t, old.Snapshot(), state.Snapshot())
}

func TestUnknownVersionStopsTheFollower(t *testing.T) {
	log := &memoryLog{}
	_, err := log.Append(t.Context(), mn.ControlStream, []byte(`{"version":2,"id":"x"}`))
	require.NoError(t, err)
	state, observer, _ := startFollower(t, log)
	require.Eventually(t, func() bool { _, _, err := observer.observed(); return err != nil }, 5*time.Second, time.Millisecond)
	head, _, err := observer.observed()
	require.Equal(t, mn.UnknownRecord, mn.CodeOf(err))
	require.Zero(t, head)
	require.Zero(t, state.View().Offset)
}

// TestSnapshotsAreWrittenOnceEstablished checks that a snapshot is written only
// once its offset is established, and only when one is due.
func TestSnapshotsAreWrittenOnceEstablished(t *testing.T) {
	log := &memoryLog{}
	state, _, _ := startFollower(t, log)
	clock := mn.NewManualClock(1)
	w := NewWriter(log, state, "e1", mn.NewSystemClock())
	establishErr := error(errLost)
	first := mn.Offset(1)
	s := NewSnapshotWriter(state, w, clock, func() mn.Offset { return first }, func(context.Context, mn.Offset) error { return establishErr })
	require.False(t, s.isDue(), "no record applied yet")
	_, err := w.Append(t.Context(), customer(1, 0))
	require.NoError(t, err)
	require.True(t, s.isDue())
	s.write(t.Context())
	require.True(t, s.isDue(), "not established")
	establishErr = nil
	s.write(t.Context())
	require.False(t, s.isDue())
	clock.Advance(snapshotInterval)
	require.True(t, s.isDue(), "snapshot interval has passed")
	s.write(t.Context())
	require.False(t, s.isDue())
	for i := range 4 {
		_, err := w.Append(t.Context(), customer(float64(i), state.View().Resources[mn.ResourceName{Kind: mn.KindCustomer, Name: "c"}].Version))
		require.NoError(t, err)
	}
	require.False(t, s.isDue())
	first = 3
	require.True(t, s.isDue(), "in the older half of the log")
}
