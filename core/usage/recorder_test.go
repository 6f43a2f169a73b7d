package usage

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	mn "mustardnotch"
)

// slowLog takes appends once it is released.
type slowLog struct {
	mn.Log
	entered chan struct{}
	release chan struct{}

	mu    sync.Mutex
	items []Item
}

func (l *slowLog) Append(_ context.Context, _ mn.Stream, data []byte) (mn.Offset, error) {
	l.entered <- struct{}{}
	<-l.release
	r, err := Decode(data)
	if err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.items = append(l.items, r.Batch...)
	return 1, nil
}

// A process that leaves flushes while its recorder's own flush waits for the log:
// neither may drop what the other, or nobody, has appended.
func TestFlushesAtOnceDropNothing(t *testing.T) {
	log := &slowLog{entered: make(chan struct{}, 10), release: make(chan struct{})}
	r := NewRecorder("vm-1", log, mn.NewSystemClock())
	record := func(n int) { r.Record(mn.RequestUsage{ID: mn.RequestID(fmt.Sprint(n)), Customer: "c"}) }
	record(1)
	record(2)
	var flushes sync.WaitGroup
	flushes.Go(func() { _ = r.Flush(t.Context()) }) // What was appended is checked below.
	<-log.entered
	flushes.Go(func() { _ = r.Flush(t.Context()) })
	select {
	case <-log.entered: // It appends the same batch beside the first one.
	case <-time.After(100 * time.Millisecond): // It waits for the first one.
	}
	record(3)
	close(log.release)
	flushes.Wait()
	require.NoError(t, r.Flush(t.Context()))
	seen := map[mn.RequestID]bool{}
	for _, i := range log.items {
		seen[i.RequestUsage.ID] = true
	}
	require.Len(t, seen, 3)
	require.Zero(t, r.Pending())
}
