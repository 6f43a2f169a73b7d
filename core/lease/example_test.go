package lease_test

import (
	"context"
	"fmt"
	"io"
	"sync"

	"github.com/sirupsen/logrus"

	mn "mustardnotch"
	"mustardnotch/core/conf"
	"mustardnotch/core/lease"
)

// memoryLog is a log in memory. It combines a state machine with a writer that
// appends to it.
type memoryLog struct {
	*conf.StateMachine
	mu   sync.Mutex
	head mn.Offset
}

// Write implements [mn.RecordWriter].
func (l *memoryLog) Write(_ context.Context, r *mn.Record) (mn.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	data, err := mn.EncodeRecord(r)
	if err != nil {
		return 0, err
	}
	l.head++
	return l.head, l.Apply([]mn.LogEntry{{Offset: l.head, Data: data}})
}

// A process takes part in the election, holds the lease, and releases it.
func Example() {
	log := &memoryLog{StateMachine: conf.New()}
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	e := lease.New("vm1", mn.NewIncarnation(), lease.DefaultSettings(), mn.NewSystemClock(), log, log, quiet)

	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- e.Run(ctx) }()
	for log.View().Lease.Term == 0 {
		<-log.Changed()
	}
	for e.Remaining() == 0 {
		_ = mn.NewSystemClock().Sleep(ctx, mn.Millisecond)
	}
	term, _, ok := e.Held()
	fmt.Println("held:", ok, "term:", term)

	cancel()
	<-done
	fmt.Println("release:", e.Release(context.Background()))
	_, _, ok = e.Held()
	fmt.Println("held:", ok, "free in the log:", log.View().Lease.Term == 0)
	// Output:
	// held: true term: 1
	// release: <nil>
	// held: false free in the log: true
}
