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

// slowLog blocks appends until it is released.
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

// TestFlushesAtOnceDropNothing guards against lost usage when a process leaves. It
// calls Flush then while the flush of its recorder's Run may still wait for the log.
// Neither flush may remove pending items that it has not appended itself.
func TestFlushesAtOnceDropNothing(t *testing.T) {
	log := &slowLog{entered: make(chan struct{}, 10), release: make(chan struct{})}
	r := NewRecorder("vm-1", log, mn.NewSystemClock())
	record := func(n int) { r.Record(mn.RequestUsage{ID: mn.RequestID(fmt.Sprint(n)), Customer: "c"}) }
	record(1)
	record(2)
	var flushes sync.WaitGroup
	flushes.Go(func() { _ = r.Flush(t.Context()) }) // The appended items are checked below.
	<-log.entered
	flushes.Go(func() { _ = r.Flush(t.Context()) })
	select {
	case <-log.entered: // The second flush appends the same batch while the first one waits.
	case <-time.After(100 * time.Millisecond): // The second flush waits for the first one.
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
