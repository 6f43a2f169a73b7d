package feed

import (
	"context"

	mn "mustardnotch"
	"mustardnotch/core/conf"
)

// appendTimeout bounds one attempt to append a record.
const appendTimeout = 1500 * mn.Millisecond

// Writer appends records to the control stream and waits until the process's
// own state machine has applied them.
type Writer struct {
	log   mn.Log
	state *conf.StateMachine
	vm    mn.VMID
	clock mn.Clock
}

// NewWriter returns a writer for the process on vm. While Append runs, a
// [Follower] or the caller must apply the log to state.
func NewWriter(log mn.Log, state *conf.StateMachine, vm mn.VMID, clock mn.Clock) *Writer {
	return &Writer{log: log, state: state, vm: vm, clock: clock}
}

// Append appends r, with a new ID if it has none, and returns the result of
// applying it. An append whose answer is lost is resolved by reading the log:
// Append repeats the attempt with the same ID, of which the state machine
// applies only the first record, until the record has been read back or ctx is
// done. In the latter case the error has code [mn.PlatformUnavailable] and its
// outcome is unknown: the record may still take effect.
func (w *Writer) Append(ctx context.Context, r mn.Record) (conf.ApplyResult, error) {
	r.Version = mn.RecordVersion
	r.Writer = w.vm
	if r.ID == "" {
		r.ID = mn.NewRecordID()
	}
	data, err := mn.EncodeRecord(&r)
	if err != nil {
		return conf.ApplyResult{}, mn.Errorf(mn.Internal, "encode record: %w", err)
	}
	results, stop := w.state.AwaitResult(r.ID)
	defer stop()
	b := NewBackoff(w.clock)
	for {
		err := w.attempt(ctx, data)
		res, ok := w.awaitResult(ctx, results, b, err == nil)
		if ok {
			return res, nil
		}
		if ctx.Err() != nil {
			return conf.ApplyResult{}, mn.Errorf(mn.PlatformUnavailable, "record %s was not read back from the log in time", r.ID)
		}
	}
}

func (w *Writer) attempt(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout.Duration())
	defer cancel()
	_, err := w.log.Append(ctx, mn.ControlStream, data)
	return err
}

// awaitResult waits for the result of applying the record. If the append was
// confirmed it waits until ctx is done, otherwise for one backoff, since the
// append may have taken effect.
func (w *Writer) awaitResult(ctx context.Context, results <-chan conf.ApplyResult, b *Backoff, confirmed bool) (conf.ApplyResult, bool) {
	wait, cancel := context.WithCancel(ctx)
	defer cancel()
	if !confirmed {
		go func() {
			defer cancel()
			b.Wait(wait)
		}()
	}
	select {
	case res := <-results:
		return res, true
	case <-wait.Done():
		return conf.ApplyResult{}, false
	}
}
