package feed

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"

	mn "mustardnotch"
	"mustardnotch/core/conf"
)

const (
	maxReadRecords = 512
	// readWait is how long the log holds a read that finds no new record.
	readWait = 500 * mn.Millisecond
	// readTimeout bounds one read, including readWait.
	readTimeout = 2 * mn.Second
	// idleInterval is the time between checks of whether the log has to be
	// read.
	idleInterval = 200 * mn.Millisecond
	minBackoff   = 50 * mn.Millisecond
	maxBackoff   = 800 * mn.Millisecond
)

// LogObserver receives what reads of the log show about the freshness of the
// state. [fresh.Monitor] implements it.
type LogObserver interface {
	// ObserveHead reports that a read sent at sentAt returned head, and that
	// the records it returned have been applied.
	ObserveHead(sentAt mn.Millis, head mn.Offset)
	// ObserveEstablished reports that off is established.
	ObserveEstablished(off mn.Offset)
	// Fail reports why the state machine can't advance from its current offset.
	Fail(err error)
}

// EventFunc receives events for operators: a short snake_case name and the
// error that caused the event.
type EventFunc func(event string, err error)

// Batch is a set of records, or a snapshot, that a peer relays.
type Batch struct {
	Entries []mn.LogEntry
	// Snapshot is set if the peer no longer has the requested records.
	Snapshot *mn.Snapshot
	// Head is the highest offset that the peer knows of.
	Head mn.Offset
}

// Relayer streams records from a peer.
type Relayer interface {
	// Relay passes the records that the peer to holds, from offset from on, to
	// sink. It returns when ctx is done, sink fails, or the stream breaks or
	// goes silent.
	Relay(ctx context.Context, to mn.Member, from mn.Offset, sink func(Batch) error) error
}

// Follower keeps one state machine up to date.
type Follower struct {
	state        *conf.StateMachine
	observer     LogObserver
	clock        mn.Clock
	onEvent      EventFunc
	activeRelays atomic.Int64
	firstOffset  atomic.Int64
}

// New returns a follower that applies records to state.
func New(state *conf.StateMachine, observer LogObserver, clock mn.Clock, onEvent EventFunc) *Follower {
	return &Follower{state: state, observer: observer, clock: clock, onEvent: onEvent}
}

// ActiveRelays returns the number of peers that currently relay records to the
// follower.
func (f *Follower) ActiveRelays() int64 { return f.activeRelays.Load() }

// FirstOffset returns the lowest offset that the log held when it was last
// read.
func (f *Follower) FirstOffset() mn.Offset { return mn.Offset(f.firstOffset.Load()) }

// FollowLog reads the log whenever needed returns true, until ctx is done.
func (f *Follower) FollowLog(ctx context.Context, log mn.Log, needed func() bool) error {
	b := NewBackoff(f.clock)
	for ctx.Err() == nil {
		if !needed() {
			_ = f.clock.Sleep(ctx, idleInterval)
			continue
		}
		if err := f.readOnce(ctx, log); err != nil {
			f.onEvent("log_read_failed", err)
			b.Wait(ctx)
			continue
		}
		b.Reset()
	}
	return ctx.Err()
}

// readOnce makes one read and applies the records it returned.
func (f *Follower) readOnce(ctx context.Context, log mn.Log) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout.Duration())
	defer cancel()
	from := f.state.View().Offset + 1
	sentAt := f.clock.Now()
	batch, err := log.Read(ctx, mn.ControlStream, from, maxReadRecords, readWait)
	if err != nil {
		return err
	}
	f.firstOffset.Store(int64(batch.First))
	if batch.First > from {
		return f.restore(ctx, log, batch.First)
	}
	if err := f.apply(batch.Entries); err != nil {
		return err
	}
	f.observer.ObserveHead(sentAt, batch.Head)
	return nil
}

// apply applies entries. A record that can't be decoded makes the process not
// current until a release that can decode it takes over.
func (f *Follower) apply(entries []mn.LogEntry) error {
	err := f.state.Apply(entries)
	if err != nil && mn.CodeOf(err) == mn.UnknownRecord {
		f.observer.Fail(err)
	}
	return err
}

// restore starts from the latest snapshot in the log, whose records before
// offset first have expired.
func (f *Follower) restore(ctx context.Context, log mn.Log, first mn.Offset) error {
	snap, err := findSnapshot(ctx, log, first)
	if err != nil {
		return err
	}
	applied := f.state.View().Offset
	if snap == nil {
		err := mn.Errorf(mn.RecordsExpired, "records %d to %d have expired from the log and no snapshot in it covers them", applied+1, first-1)
		f.observer.Fail(err)
		return err
	}
	if f.state.Restore(*snap) {
		f.observer.ObserveEstablished(snap.Offset)
	}
	return nil
}

// findSnapshot returns the latest snapshot that the records in the log follow
// without a gap, or nil if there is none.
func findSnapshot(ctx context.Context, log mn.Log, first mn.Offset) (*mn.Snapshot, error) {
	var latest *mn.Snapshot
	for from := first; ; {
		batch, err := log.Read(ctx, mn.ControlStream, from, maxReadRecords, 0)
		if err != nil {
			return nil, err
		}
		for _, e := range batch.Entries {
			from = e.Offset + 1
			r, err := mn.DecodeRecord(e.Data)
			if err != nil || r.Snapshot == nil {
				continue
			}
			s := r.Snapshot
			if s.Offset < e.Offset && s.Offset+1 >= batch.First && (latest == nil || s.Offset > latest.Offset) {
				latest = s
			}
		}
		if from > batch.Head || len(batch.Entries) == 0 {
			return latest, nil
		}
	}
}

// FollowPeers keeps a relay from one peer open until ctx is done. pick chooses
// the peer before each attempt, and returns false if there is none.
func (f *Follower) FollowPeers(ctx context.Context, relayer Relayer, pick func() (mn.Member, bool)) error {
	b := NewBackoff(f.clock)
	for ctx.Err() == nil {
		to, ok := pick()
		if !ok {
			b.Wait(ctx)
			continue
		}
		if received := f.relayFrom(ctx, relayer, to); received {
			b.Reset()
		}
		b.Wait(ctx)
	}
	return ctx.Err()
}

// relayFrom follows one peer until the relay ends, and reports whether it
// received anything.
func (f *Follower) relayFrom(ctx context.Context, relayer Relayer, to mn.Member) bool {
	received := false
	err := relayer.Relay(ctx, to, f.state.View().Offset+1, func(b Batch) error {
		if !received {
			received = true
			f.activeRelays.Add(1)
		}
		return f.applyBatch(b)
	})
	if received {
		f.activeRelays.Add(-1)
	}
	if err != nil && ctx.Err() == nil && !errors.Is(err, conf.ErrGap) {
		f.onEvent("relay_failed", err)
	}
	return received
}

func (f *Follower) applyBatch(b Batch) error {
	if b.Snapshot != nil {
		f.state.Restore(*b.Snapshot)
	}
	return f.apply(b.Entries)
}

// Backoff is an exponential backoff with jitter.
type Backoff struct {
	clock mn.Clock
	delay mn.Millis
}

// NewBackoff returns a backoff that starts at the shortest delay.
func NewBackoff(clock mn.Clock) *Backoff {
	return &Backoff{clock: clock, delay: minBackoff}
}

// Wait sleeps for a random time between half of the current delay and all of
// it, and doubles the delay.
func (b *Backoff) Wait(ctx context.Context) {
	half := b.delay / 2
	_ = b.clock.Sleep(ctx, half+mn.Millis(rand.Int64N(int64(half)+1)))
	b.delay = min(2*b.delay, maxBackoff)
}

// Reset restores the shortest delay.
func (b *Backoff) Reset() { b.delay = minBackoff }
