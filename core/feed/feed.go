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
	// readTimeout bounds one read, its wait included.
	readTimeout = 2 * mn.Second
	// idleInterval is the time between looks at whether the log has to be read.
	idleInterval = 200 * mn.Millisecond
	minBackoff   = 50 * mn.Millisecond
	maxBackoff   = 800 * mn.Millisecond
)

// LogObserver is told what reads of the log prove about currency, as
// [fresh.Monitor] is.
type LogObserver interface {
	// ObserveHead says that a read which was sent at stamp returned head, and that
	// what it returned has been folded.
	ObserveHead(stamp mn.Millis, head mn.Offset)
	// ObserveEstablished says that off is established.
	ObserveEstablished(off mn.Offset)
	// Fail says why the fold can't go on from where it is.
	Fail(err error)
}

// EventFunc is told what operators should know: a short snake_case event and the
// error behind it.
type EventFunc func(event string, err error)

// Batch is what a peer relays.
type Batch struct {
	Entries []mn.LogEntry
	// Snapshot is set where the peer no longer has the records asked for.
	Snapshot *mn.Snapshot
	// Head is the highest offset that the peer knows of.
	Head mn.Offset
}

// Relayer streams records from a peer.
type Relayer interface {
	// Relay gives sink the records of to from offset from on, until ctx is
	// done, sink fails, or the stream breaks or goes silent.
	Relay(ctx context.Context, to mn.Member, from mn.Offset, sink func(Batch) error) error
}

// Follower feeds one fold.
type Follower struct {
	state        *conf.StateMachine
	observer     LogObserver
	clock        mn.Clock
	onEvent      EventFunc
	activeRelays atomic.Int64
	firstOffset  atomic.Int64
}

// New returns a follower that feeds fold.
func New(fold *conf.StateMachine, noter LogObserver, clock mn.Clock, events EventFunc) *Follower {
	return &Follower{state: fold, observer: noter, clock: clock, onEvent: events}
}

// ActiveRelays returns how many peers are relaying to the follower.
func (f *Follower) ActiveRelays() int64 { return f.activeRelays.Load() }

// FirstOffset returns the lowest offset that the log kept when it was last read.
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

// readOnce makes one read and folds what it returned.
func (f *Follower) readOnce(ctx context.Context, log mn.Log) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout.Duration())
	defer cancel()
	from := f.state.View().Offset + 1
	stamp := f.clock.Now()
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
	f.observer.ObserveHead(stamp, batch.Head)
	return nil
}

// apply folds entries. A record that can't be read stops the process from
// being current until a release that reads it takes over.
func (f *Follower) apply(entries []mn.LogEntry) error {
	err := f.state.Apply(entries)
	if err != nil && mn.CodeOf(err) == mn.UnknownRecord {
		f.observer.Fail(err)
	}
	return err
}

// restore starts from the latest snapshot in the log, where records from
// offset first on are kept.
func (f *Follower) restore(ctx context.Context, log mn.Log, first mn.Offset) error {
	snap, err := findSnapshot(ctx, log, first)
	if err != nil {
		return err
	}
	have := f.state.View().Offset
	if snap == nil {
		err := mn.Errorf(mn.RecordsExpired, "records %d to %d have left the log and no snapshot in it covers them", have+1, first-1)
		f.observer.Fail(err)
		return err
	}
	if f.state.Restore(*snap) {
		f.observer.ObserveEstablished(snap.Offset)
	}
	return nil
}

// findSnapshot returns the latest snapshot from which the records kept in the
// log go on without a gap, or nil.
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

// FollowPeers keeps a relay from one peer open, until ctx is done. Each call
// of pick may return another peer, or false if there is none.
func (f *Follower) FollowPeers(ctx context.Context, relayer Relayer, pick func() (mn.Member, bool)) error {
	b := NewBackoff(f.clock)
	for ctx.Err() == nil {
		to, ok := pick()
		if !ok {
			b.Wait(ctx)
			continue
		}
		if took := f.relayFrom(ctx, relayer, to); took {
			b.Reset()
		}
		b.Wait(ctx)
	}
	return ctx.Err()
}

// relayFrom follows one peer until the relay ends, and says whether it gave
// anything.
func (f *Follower) relayFrom(ctx context.Context, relayer Relayer, to mn.Member) bool {
	took := false
	err := relayer.Relay(ctx, to, f.state.View().Offset+1, func(b Batch) error {
		if !took {
			took = true
			f.activeRelays.Add(1)
		}
		return f.applyBatch(b)
	})
	if took {
		f.activeRelays.Add(-1)
	}
	if err != nil && ctx.Err() == nil && !errors.Is(err, conf.ErrGap) {
		f.onEvent("relay_failed", err)
	}
	return took
}

// applyBatch folds what a peer relayed.
func (f *Follower) applyBatch(b Batch) error {
	if b.Snapshot != nil {
		f.state.Restore(*b.Snapshot)
	}
	return f.apply(b.Entries)
}

// Backoff waits longer after each failure, with jitter.
type Backoff struct {
	clock mn.Clock
	delay mn.Millis
}

// NewBackoff returns a backoff that starts short.
func NewBackoff(clock mn.Clock) *Backoff {
	return &Backoff{clock: clock, delay: minBackoff}
}

// Wait sleeps between half of the present span and all of it, and doubles it.
func (b *Backoff) Wait(ctx context.Context) {
	half := b.delay / 2
	_ = b.clock.Sleep(ctx, half+mn.Millis(rand.Int64N(int64(half)+1)))
	b.delay = min(2*b.delay, maxBackoff)
}

// Reset makes the next wait short again.
func (b *Backoff) Reset() { b.delay = minBackoff }
