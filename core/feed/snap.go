package feed

import (
	"context"
	"sync"

	mn "mustardnotch"
	"mustardnotch/core/conf"
)

const (
	// snapshotRecordInterval is after how many records the holder writes a snapshot.
	snapshotRecordInterval = 2000
	// snapshotInterval is the longest time between snapshots.
	snapshotInterval      = 15 * mn.Minute
	snapshotCheckInterval = 1 * mn.Second
	snapshotTimeout       = 10 * mn.Second
)

// SnapshotWriter writes snapshots of a fold to the control stream while the process
// holds control.
type SnapshotWriter struct {
	state       *conf.StateMachine
	writer      *Writer
	clock       mn.Clock
	firstOffset func() mn.Offset
	establish   func(ctx context.Context, off mn.Offset) error

	mu   sync.Mutex
	last appliedSnapshot
}

// appliedSnapshot is the last snapshot that was folded.
type appliedSnapshot struct {
	asOf mn.Offset
	at   mn.Millis
	ok   bool
}

// NewSnapshotWriter returns a writer of snapshots. First returns the lowest offset
// that the log keeps. A snapshot is written only once establish has confirmed
// the offset that it is as of, so whoever starts from it need not know of
// earlier rosters.
func NewSnapshotWriter(fold *conf.StateMachine, writer *Writer, clock mn.Clock, first func() mn.Offset,
	establish func(ctx context.Context, off mn.Offset) error) *SnapshotWriter {
	s := &SnapshotWriter{state: fold, writer: writer, clock: clock, firstOffset: first, establish: establish}
	fold.OnRecord(s.observeRecord)
	return s
}

func (s *SnapshotWriter) observeRecord(_ mn.Offset, r *mn.Record, _ conf.ApplyResult) {
	if r.Snapshot == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last = appliedSnapshot{asOf: r.Snapshot.Offset, at: s.clock.Now(), ok: true}
}

// Run writes a snapshot whenever one is due and holds returns true, until ctx
// is done.
func (s *SnapshotWriter) Run(ctx context.Context, holds func() bool) error {
	for ctx.Err() == nil {
		if holds() && s.isDue() {
			s.write(ctx)
		}
		_ = s.clock.Sleep(ctx, snapshotCheckInterval)
	}
	return ctx.Err()
}

// isDue says whether the last snapshot is old, or in the older half of what the
// log keeps. A process that has folded none writes one at once.
func (s *SnapshotWriter) isDue() bool {
	s.mu.Lock()
	last := s.last
	s.mu.Unlock()
	head, first := s.state.View().Offset, s.firstOffset()
	if head == 0 {
		return false
	}
	return !last.ok ||
		s.clock.Now()-last.at >= snapshotInterval ||
		head-last.asOf >= snapshotRecordInterval ||
		first > 1 && last.asOf < first+(head-first)/2
}

func (s *SnapshotWriter) write(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout.Duration())
	defer cancel()
	snap := s.state.Snapshot()
	if err := s.establish(ctx, snap.Offset); err != nil {
		return
	}
	// A failure leaves the snapshot due, so the next check tries again.
	_, _ = s.writer.Append(ctx, mn.Record{Snapshot: &snap})
}
