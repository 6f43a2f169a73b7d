package feed

import (
	"context"

	mn "mustardnotch"
	"mustardnotch/core/conf"
)

// appendTimeout bounds one try to append a record.
const appendTimeout = 1500 * mn.Millisecond

// Writer appends records to the control stream and waits until the process's
// own fold has taken them.
type Writer struct {
	log   mn.Log
	state *conf.StateMachine
	vm    mn.VMID
	clock mn.Clock
}

// NewWriter returns a writer for the process on vm. Something else feeds fold.
func NewWriter(log mn.Log, fold *conf.StateMachine, vm mn.VMID, clock mn.Clock) *Writer {
	return &Writer{log: log, state: fold, vm: vm, clock: clock}
}

// Append appends r, giving it an id if it has none, and returns the verdict of
// the fold. A lost append is found by reading: tries go on with the same id,
// of which the fold takes the first, until the fold has seen it or ctx is done.
// The error then has code [mn.PlatformUnavailable] and says that it is unknown
// whether the record will take effect.
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
	verdicts, stop := w.state.AwaitResult(r.ID)
	defer stop()
	b := NewBackoff(w.clock)
	for {
		err := w.attempt(ctx, data)
		v, ok := w.awaitResult(ctx, verdicts, b, err == nil)
		if ok {
			return v, nil
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

// awaitResult waits for the verdict: as long as it takes where the append was
// confirmed, and for one backoff otherwise, since it may have taken effect.
func (w *Writer) awaitResult(ctx context.Context, verdicts <-chan conf.ApplyResult, b *Backoff, confirmed bool) (conf.ApplyResult, bool) {
	wait, cancel := context.WithCancel(ctx)
	defer cancel()
	if !confirmed {
		go func() {
			defer cancel()
			b.Wait(wait)
		}()
	}
	select {
	case v := <-verdicts:
		return v, true
	case <-wait.Done():
		return conf.ApplyResult{}, false
	}
}
