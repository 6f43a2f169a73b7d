package node

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	mn "mustardnotch"
	"mustardnotch/core/route"
)

// eventEngine is an engine of which only the cache events change.
type eventEngine struct {
	mn.Engine
	events []mn.CacheEvent
}

func (e *eventEngine) Load(context.Context) (mn.EngineLoad, error) {
	return mn.EngineLoad{Running: 12, KVUsed: 0.7}, nil
}

func (e *eventEngine) State(context.Context) (mn.EngineState, error) {
	return mn.EngineState{Role: mn.EngineMixed, Model: "taalpers", Version: "2026-11-01"}, nil
}

func (e *eventEngine) CacheEvents(_ context.Context, after int64) ([]mn.CacheEvent, error) {
	var out []mn.CacheEvent
	for _, v := range e.events {
		if v.Sequence > after {
			out = append(out, v)
		}
	}
	return out, nil
}

func (e *eventEngine) addEvents(from, to int64) {
	for i := from; i <= to; i++ {
		e.events = append(e.events, mn.CacheEvent{Sequence: i, Prefix: route.Block(i * 0x9e3779b97f4a7c1).String()})
	}
}

// TestLoadReportMarksGaps checks that the reports to each reader of cache events mark every
// gap exactly once, whether the engine or the agent lost the events.
func TestLoadReportMarksGaps(t *testing.T) {
	e := &eventEngine{}
	q := newEndpointQueue(mn.NewManualClock(1), e, 4)
	e.addEvents(1, 5)
	q.pollOnce(t.Context())
	r, after := q.LoadReport(0)
	require.False(t, r.EventsLost)
	require.Len(t, r.Prefixes, 5)
	e.addEvents(7, 9)
	q.pollOnce(t.Context())
	for range 2 { // two readers
		r, next := q.LoadReport(after)
		require.True(t, r.EventsLost, "the engine lost event 6")
		require.Len(t, r.Prefixes, 3)
		again, _ := q.LoadReport(next)
		require.False(t, again.EventsLost)
		require.Empty(t, again.Prefixes)
	}
	e.addEvents(10, 9+maxCacheEvents)
	q.pollOnce(t.Context())
	r, next := q.LoadReport(after)
	require.True(t, r.EventsLost, "the events exceed maxEventsPerReport")
	require.Len(t, r.Prefixes, maxEventsPerReport)
	require.Len(t, q.events, maxCacheEvents)
	r, _ = q.LoadReport(next)
	require.False(t, r.EventsLost)
}

// BenchmarkLoadReport measures the size of a load report by the number of its cache events.
func BenchmarkLoadReport(b *testing.B) {
	for _, n := range []int64{0, 8, 32, 128} {
		b.Run(fmt.Sprintf("events=%d", n), func(b *testing.B) {
			e := &eventEngine{}
			q := newEndpointQueue(mn.NewManualClock(1), e, 32)
			e.addEvents(1, n)
			q.pollOnce(b.Context())
			size := 0
			for b.Loop() {
				r, _ := q.LoadReport(0)
				size = proto.Size(r)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
