package node

import (
	"context"
	"sync"

	mn "mustardnotch"
	"mustardnotch/core/conf"
)

// appendTimeout bounds one try to append a record.
const appendTimeout = 500 * mn.Millisecond

// writer appends records to the control stream and reads them back through
// the process's own fold. It implements [mn.RecordWriter].
type writer struct {
	base    *base
	mu      sync.Mutex
	waiting map[mn.RecordID]chan conf.Verdict
}

func newWriter(b *base) *writer {
	w := &writer{base: b, waiting: map[mn.RecordID]chan conf.Verdict{}}
	b.fold.OnRecord(func(_ mn.Offset, r *mn.Record, v conf.Verdict) { w.note(r.ID, v) })
	return w
}

// note passes a record's first verdict on to whoever waits for it.
func (w *writer) note(id mn.RecordID, v conf.Verdict) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if verdict, ok := w.waiting[id]; ok {
		verdict <- v
		delete(w.waiting, id)
	}
}

// Write implements [mn.RecordWriter]. An append without an answer is repeated
// with the same id, of which the fold takes the first.
func (w *writer) Write(ctx context.Context, r *mn.Record) (mn.Offset, error) {
	verdict := make(chan conf.Verdict, 1)
	w.mu.Lock()
	w.waiting[r.ID] = verdict
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.waiting, r.ID)
	}()
	for {
		answered := w.try(ctx, r)
		v, ok := w.await(ctx, verdict, answered)
		switch {
		case ok && v.Err != nil:
			return v.Offset, v.Err
		case ok:
			return v.Offset, nil
		case ctx.Err() != nil:
			return 0, mn.Errorf(mn.PlatformUnavailable, "record %s was not read back in time", r.ID)
		}
	}
}

func (w *writer) try(ctx context.Context, r *mn.Record) bool {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout.Duration())
	defer cancel()
	return w.base.append(ctx, r) == nil
}

// await waits for the verdict; unless the append was answered, no longer than
// the pause before the next try.
func (w *writer) await(ctx context.Context, verdict <-chan conf.Verdict, answered bool) (conf.Verdict, bool) {
	if !answered {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, retryPause.Duration())
		defer cancel()
	}
	select {
	case v := <-verdict:
		return v, true
	case <-ctx.Done():
		return conf.Verdict{}, false
	}
}
