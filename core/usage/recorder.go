package usage

import (
	"context"
	"expvar"
	"sync"

	mn "mustardnotch"
)

const (
	// flushInterval is the interval between flushes by [Recorder.Run].
	flushInterval = 1 * mn.Second
	// maxBatchItems is the maximum number of items in one record of the log.
	maxBatchItems = 500
	// maxPendingItems is the maximum number of items that wait to be appended.
	maxPendingItems = 200_000
)

// Counters of the process.
var (
	itemsRecorded   = expvar.NewInt("usage_recorded")
	batchesAppended = expvar.NewInt("usage_batches_appended")
	itemsDropped    = expvar.NewInt("usage_dropped")
)

// Recorder appends the usage of answered requests to the log in batches. It
// implements [mn.UsageRecorder].
type Recorder struct {
	vm    mn.VMID
	log   mn.Log
	clock mn.Clock

	// flushing is held during a flush, so that only one runs at a time. mu guards
	// pending, which can grow while a flush waits for the log.
	flushing sync.Mutex
	mu       sync.Mutex
	pending  []Item
}

// NewRecorder returns a recorder for the process on vm.
func NewRecorder(vm mn.VMID, log mn.Log, clock mn.Clock) *Recorder {
	return &Recorder{vm: vm, log: log, clock: clock}
}

// Record implements [mn.UsageRecorder]. It ignores requests without a customer,
// which are those on open routes. It drops the item if too many wait to be appended.
func (r *Recorder) Record(s mn.RequestUsage) {
	if s.Customer == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.pending) >= maxPendingItems {
		itemsDropped.Add(1)
		return
	}
	itemsRecorded.Add(1)
	r.pending = append(r.pending, Item{RequestUsage: s, Wall: r.clock.Wall()})
}

// Pending returns the number of items that wait to be appended.
func (r *Recorder) Pending() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.pending)
}

// Run flushes periodically until ctx is done.
func (r *Recorder) Run(ctx context.Context) error {
	for r.clock.Sleep(ctx, flushInterval) == nil {
		_ = r.Flush(ctx)
	}
	return ctx.Err()
}

// Flush appends all pending items. A batch that the log didn't acknowledge stays
// pending and is appended again, which is safe because records of one request are
// counted once.
func (r *Recorder) Flush(ctx context.Context) error {
	r.flushing.Lock()
	defer r.flushing.Unlock()
	for {
		batch := r.nextBatch()
		if len(batch) == 0 {
			return nil
		}
		data, err := Encode(&Record{Version: mn.RecordVersion, Writer: r.vm, Batch: batch})
		if err != nil {
			return err
		}
		if _, err := r.log.Append(ctx, mn.UsageStream, data); err != nil {
			return err
		}
		batchesAppended.Add(1)
		r.removeAppended(len(batch))
	}
}

// nextBatch returns the first pending items, at most maxBatchItems.
func (r *Recorder) nextBatch() []Item {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pending[:min(maxBatchItems, len(r.pending))]
}

// removeAppended removes the first count pending items.
func (r *Recorder) removeAppended(count int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending = append([]Item(nil), r.pending[count:]...)
}
