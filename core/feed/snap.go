package feed

import (
	"context"
	"sync"

	mn "mustardnotch"
	"mustardnotch/core/conf"
)

const (
	// snapshotRecordInterval is the number of records after which the holder
	// writes a snapshot.
	snapshotRecordInterval = 2000
	// snapshotInterval is the longest time between snapshots.
	snapshotInterval      = 15 * mn.Minute
	snapshotCheckInterval = 1 * mn.Second
	snapshotTimeout       = 10 * mn.Second
)

// SnapshotWriter writes snapshots of a state machine to the control stream
// while the process holds control.
type SnapshotWriter struct {
	state       *conf.StateMachine
	writer      *Writer
	clock       mn.Clock
	firstOffset func() mn.Offset
	establish   func(ctx context.Context, off mn.Offset) error

	mu   sync.Mutex
	last appliedSnapshot
}

// appliedSnapshot describes the last snapshot record that was applied.
type appliedSnapshot struct {
	offset mn.Offset
	at     mn.Millis
	ok     bool
}

// NewSnapshotWriter returns a snapshot writer. firstOffset returns the lowest
// offset that the log holds. A snapshot is written only once establish has
// confirmed its offset, so a process that starts from it does not need to know
// earlier rosters.
func NewSnapshotWriter(state *conf.StateMachine, writer *Writer, clock mn.Clock, firstOffset func() mn.Offset,
	establish func(ctx context.Context, off mn.Offset) error) *SnapshotWriter {
	s := &SnapshotWriter{state: state, writer: writer, clock: clock, firstOffset: firstOffset, establish: establish}
	state.OnRecord(s.observeRecord)
	return s
}

func (s *SnapshotWriter) observeRecord(_ mn.Offset, r *mn.Record, _ conf.ApplyResult) {
	if r.Snapshot == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last = appliedSnapshot{offset: r.Snapshot.Offset, at: s.clock.Now(), ok: true}
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

// isDue reports whether the last snapshot is old, too many records have
// followed it, or it lies in the older half of the records that the log holds.
// A process that has applied no snapshot record writes a snapshot at once.
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
		head-last.offset >= snapshotRecordInterval ||
		first > 1 && last.offset < first+(head-first)/2
}

func (s *SnapshotWriter) write(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout.Duration())
	defer cancel()
	snap := s.state.Snapshot()
	if err := s.establish(ctx, snap.Offset); err != nil {
		return
	}
	// A failure leaves a snapshot due, so the next check tries again.
	_, _ = s.writer.Append(ctx, mn.Record{Snapshot: &snap})
}
