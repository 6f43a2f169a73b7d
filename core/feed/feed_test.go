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
	// drop and lose are how many appends fail without and after taking effect.
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

// expire drops all records but the last keep.
func (l *memoryLog) expire(keep int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = l.entries[len(l.entries)-keep:]
}

// recordingObserver remembers what a follower noted.
type recordingObserver struct {
	mu          sync.Mutex
	head        mn.Offset
	established mn.Offset
	failed      error
}

func (n *recordingObserver) ObserveHead(_ mn.Millis, head mn.Offset) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.head = head
}

func (n *recordingObserver) ObserveEstablished(off mn.Offset) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.established = off
}

func (n *recordingObserver) Fail(err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.failed = err
}

func (n *recordingObserver) observed() (head, established mn.Offset, failed error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.head, n.established, n.failed
}

// startFollower feeds a new fold from log until the test ends.
func startFollower(t *testing.T, log mn.Log) (*conf.StateMachine, *recordingObserver, *Follower) {
	fold, seen := conf.New(), &recordingObserver{}
	f := New(fold, seen, mn.NewSystemClock(), func(string, error) {})
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
	return fold, seen, f
}

func customer(rate float64, base mn.Offset) mn.Record {
	r := mn.Resource{Customer: &mn.Customer{ID: "c", Rate: rate, Burst: 1}}
	return mn.Record{Change: &mn.Change{Edits: []mn.Edit{{Name: r.Name(), Base: base, Set: &r}}}}
}

// TestLostAppendsTakeEffectOnce loses appends before and after they took
// effect; the change is made once and the writer learns its true verdict.
func TestLostAppendsTakeEffectOnce(t *testing.T) {
	for _, c := range []struct{ drop, lose int }{{0, 0}, {2, 0}, {0, 2}, {1, 1}} {
		log := &memoryLog{drop: c.drop, lose: c.lose}
		fold, _, _ := startFollower(t, log)
		w := NewWriter(log, fold, "e1", mn.NewSystemClock())
		v, err := w.Append(t.Context(), customer(5, 0))
		require.NoError(t, err)
		require.Nil(t, v.Err, "%+v", c)
		require.EqualValues(t, 1, v.Offset)
		v, err = w.Append(t.Context(), customer(6, 0))
		require.NoError(t, err)
		require.Equal(t, mn.Conflict, v.Err.Code)
		got, _ := fold.View().Customer("c")
		require.EqualValues(t, 5, got.Rate)
	}
}

func TestAppendWithoutAnswerIsUnknown(t *testing.T) {
	log := &memoryLog{drop: 1000}
	fold, _, _ := startFollower(t, log)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_, err := NewWriter(log, fold, "e1", mn.NewSystemClock()).Append(ctx, customer(5, 0))
	require.Equal(t, mn.PlatformUnavailable, mn.CodeOf(err))
	require.Equal(t, mn.OutcomeUnknown, mn.AsError(err).Outcome)
}

// TestStartAfterExpiry starts a process once records have expired: from the
// latest snapshot that is still good, from a peer, or not at all.
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
	add(mn.Record{Snapshot: &first}) // late and stale
	add(customer(4, 3))

	log.expire(4)
	fold, seen, _ := startFollower(t, log)
	require.Eventually(t, func() bool { head, _, _ := seen.observed(); return head == 6 }, 5*time.Second, time.Millisecond)
	require.Equal(t, old.Snapshot(), fold.Snapshot())
	_, established, _ := seen.observed()
	require.EqualValues(t, 2, established)

	log.expire(1)
	fold, seen, f := startFollower(t, log)
	require.Eventually(t, func() bool { _, _, err := seen.observed(); return err != nil }, 5*time.Second, time.Millisecond)
	head, _, err := seen.observed()
	require.Equal(t, mn.RecordsExpired, mn.CodeOf(err))
	require.Zero(t, head, "no evidence without the records")
	require.Zero(t, fold.View().Offset)

	peer := old.Snapshot()
	require.NoError(t, f.applyBatch(Batch{Snapshot: &peer, Head: 6}))
	require.Eventually(t, func() bool { head, _, _ := seen.observed(); return head == 6 }, 5*time.Second, time.Millisecond)
	require.Equal(t, old.Snapshot(), fold.Snapshot())
}

func TestUnknownVersionStopsTheFollower(t *testing.T) {
	log := &memoryLog{}
	_, err := log.Append(t.Context(), mn.ControlStream, []byte(`{"version":2,"id":"x"}`))
	require.NoError(t, err)
	fold, seen, _ := startFollower(t, log)
	require.Eventually(t, func() bool { _, _, err := seen.observed(); return err != nil }, 5*time.Second, time.Millisecond)
	head, _, err := seen.observed()
	require.Equal(t, mn.UnknownRecord, mn.CodeOf(err))
	require.Zero(t, head)
	require.Zero(t, fold.View().Offset)
}

// TestSnapshotsAreWrittenOnceEstablished checks that the holder writes a
// snapshot, only when it is established and only when one is due.
func TestSnapshotsAreWrittenOnceEstablished(t *testing.T) {
	log := &memoryLog{}
	fold, _, _ := startFollower(t, log)
	clock := mn.NewManualClock(1)
	w := NewWriter(log, fold, "e1", mn.NewSystemClock())
	allowed := error(errLost)
	first := mn.Offset(1)
	s := NewSnapshotWriter(fold, w, clock, func() mn.Offset { return first }, func(context.Context, mn.Offset) error { return allowed })
	require.False(t, s.isDue(), "nothing to save")
	_, err := w.Append(t.Context(), customer(1, 0))
	require.NoError(t, err)
	require.True(t, s.isDue())
	s.write(t.Context())
	require.True(t, s.isDue(), "not established")
	allowed = nil
	s.write(t.Context())
	require.False(t, s.isDue())
	clock.Advance(snapshotInterval)
	require.True(t, s.isDue(), "old")
	s.write(t.Context())
	require.False(t, s.isDue())
	for i := range 4 {
		_, err := w.Append(t.Context(), customer(float64(i), fold.View().Resources[mn.ResourceName{Kind: mn.KindCustomer, Name: "c"}].Version))
		require.NoError(t, err)
	}
	require.False(t, s.isDue())
	first = 3
	require.True(t, s.isDue(), "about to expire")
}
