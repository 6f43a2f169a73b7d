package usage_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	mn "mustardnotch"
	"mustardnotch/core/usage"
)

// fakeLog is an in-memory log whose appends may fail before or after they took
// effect, and which can drop the records before first.
type fakeLog struct {
	entries []mn.LogEntry
	first   mn.Offset
	fail    func() (before, after bool)
}

func (l *fakeLog) Append(_ context.Context, _ mn.Stream, data []byte) (mn.Offset, error) {
	before, after := l.fail()
	if before {
		return 0, mn.Errorf(mn.PlatformUnavailable, "append rejected")
	}
	off := mn.Offset(len(l.entries) + 1)
	l.entries = append(l.entries, mn.LogEntry{Offset: off, Data: data})
	if after {
		return 0, mn.Errorf(mn.PlatformUnavailable, "answer lost")
	}
	return off, nil
}

func (l *fakeLog) Read(_ context.Context, _ mn.Stream, from mn.Offset, limit int, _ mn.Millis) (mn.LogBatch, error) {
	from = max(from, l.first, 1)
	rest := l.entries[min(int(from)-1, len(l.entries)):]
	rest = rest[:min(len(rest), limit)]
	return mn.LogBatch{Entries: rest, First: l.first, Head: mn.Offset(len(l.entries))}, nil
}

// fakeSink is the platform's billing. It requires that repeated reports of a window
// are equal.
type fakeSink struct {
	t       require.TestingT
	reports map[int64]mn.UsageReport
	fail    func() (before, after bool)
}

func (s *fakeSink) ReportUsage(_ context.Context, r mn.UsageReport) error {
	before, after := s.fail()
	if before {
		return mn.Errorf(mn.PlatformUnavailable, "report rejected")
	}
	if old, ok := s.reports[r.Window]; ok {
		require.Equal(s.t, old, r, "window %d reported with different figures", r.Window)
	}
	s.reports[r.Window] = r
	if after {
		return mn.Errorf(mn.PlatformUnavailable, "answer lost")
	}
	return nil
}

func (s *fakeSink) total() map[string]mn.UsageLine {
	sum := map[string]mn.UsageLine{}
	for _, r := range s.reports {
		for _, l := range r.Lines {
			sum[string(l.Customer)] = add(sum[string(l.Customer)], l)
		}
	}
	return sum
}

func add(a, b mn.UsageLine) mn.UsageLine {
	b.Requests += a.Requests
	b.PromptTokens += a.PromptTokens
	b.OutputTokens += a.OutputTokens
	return b
}

// fakeLease is a lease that any number of billers can hold at once.
type fakeLease struct {
	held  bool
	clock mn.Clock
}

func (l *fakeLease) Held() (mn.Term, mn.Millis, bool) { return 1, l.clock.Now() + mn.Second, l.held }

// harness has recorders and billers that share one log, clock and sink.
type harness struct {
	clock     *mn.ManualClock
	log       *fakeLog
	sink      *fakeSink
	recorders []*usage.Recorder
	billers   []*usage.Biller
	leases    []*fakeLease
}

func newHarness(t require.TestingT, fail func() (bool, bool)) *harness {
	h := &harness{clock: mn.NewManualClock(1_000_000), log: &fakeLog{fail: fail, first: 1}}
	h.sink = &fakeSink{t: t, reports: map[int64]mn.UsageReport{}, fail: fail}
	for i := range 3 {
		h.recorders = append(h.recorders, usage.NewRecorder(mn.VMID(fmt.Sprint("vm-", i)), h.log, h.clock))
		h.leases = append(h.leases, &fakeLease{held: true, clock: h.clock})
		h.billers = append(h.billers, h.newBiller(i))
	}
	return h
}

func (h *harness) newBiller(i int) *usage.Biller {
	p := usage.BillerParams{Window: 10 * mn.Second, SummaryInterval: 8, ReportTimeout: mn.Second}
	return usage.NewBiller(mn.VMID(fmt.Sprint("vm-", i)), h.log, h.sink, h.clock, h.leases[i], p)
}

func (h *harness) append(t require.TestingT, r *usage.Record) {
	data, err := usage.Encode(r)
	require.NoError(t, err)
	_, err = h.log.Append(context.Background(), mn.UsageStream, data)
	require.NoError(t, err)
}

// TestReportsEqualAnswers records each answer at two processes, kills at most one of
// the two, lets several billers hold the lease at once, and loses, delays and repeats
// appends and reports. Every window must be reported with one set of figures, and the
// sum over all windows must equal the answers exactly.
func TestReportsEqualAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		faulty := true
		h := newHarness(t, func() (bool, bool) {
			if !faulty {
				return false, false
			}
			f := rapid.IntRange(0, 9).Draw(t, "fault")
			return f == 0, f == 1
		})
		expected := map[string]mn.UsageLine{}
		count := 0
		pick := func() int { return rapid.IntRange(0, 2).Draw(t, "vm") }
		serve := func(t *rapid.T) {
			count++
			id := mn.RequestID(fmt.Sprint("request ", count))
			c := mn.CustomerID(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "customer"))
			s := mn.RequestUsage{ID: id, Customer: c, Pool: "p", PromptTokens: rapid.Int64Range(0, 9).Draw(t, "prompt"), OutputTokens: rapid.Int64Range(0, 99).Draw(t, "output")}
			expected[string(c)] = add(expected[string(c)], mn.UsageLine{Customer: c, Pool: "p", Requests: 1, PromptTokens: s.PromptTokens, OutputTokens: s.OutputTokens})
			dead := pick()
			for i, r := range h.recorders {
				if i != dead {
					r.Record(s)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"serve": serve, "serve more": serve,
			"flush":  func(t *rapid.T) { _ = h.recorders[pick()].Flush(context.Background()) },
			"bill":   func(t *rapid.T) { _ = h.billers[pick()].Step(context.Background()) },
			"bill 2": func(t *rapid.T) { _ = h.billers[pick()].Step(context.Background()) },
			"lease":  func(t *rapid.T) { l := h.leases[pick()]; l.held = !l.held },
			"wait":   func(t *rapid.T) { h.clock.Advance(mn.Millis(rapid.Int64Range(1, 9000).Draw(t, "duration"))) },
			// The other process that recorded an answer appends it before another kill.
			"kill recorder": func(t *rapid.T) {
				i := pick()
				h.recorders[i] = usage.NewRecorder("vm", h.log, h.clock)
				for _, r := range h.recorders {
					for r.Flush(context.Background()) != nil {
						continue
					}
				}
			},
			"restart biller": func(t *rapid.T) {
				i := pick()
				h.billers[i] = h.newBiller(i)
			},
		})
		faulty = false
		for _, r := range h.recorders {
			require.NoError(t, r.Flush(context.Background()))
		}
		h.clock.Advance(mn.Minute)
		h.leases[0].held = true
		for range 40 + len(h.log.entries)/4 {
			require.NoError(t, h.billers[0].Step(context.Background()))
		}
		require.Equal(t, expected, h.sink.total())
		requireSameState(t, h.log.entries)
	})
}

// requireSameState checks that an aggregator which starts from any summary reaches
// the same state as one that applies the whole stream.
func requireSameState(t require.TestingT, entries []mn.LogEntry) {
	full := usage.NewAggregator()
	require.NoError(t, full.Apply(entries))
	want, _ := full.Summary()
	for i, e := range entries {
		r, err := usage.Decode(e.Data)
		require.NoError(t, err)
		if r.Summary == nil {
			continue
		}
		late := usage.NewAggregator()
		require.NoError(t, late.Apply(entries[r.Summary.Offset:]), "from offset %d", i+1)
		got, _ := late.Summary()
		require.JSONEq(t, toJSON(t, want), toJSON(t, got))
	}
}

func toJSON(t require.TestingT, v any) string {
	data, err := json.Marshal(v)
	require.NoError(t, err)
	return string(data)
}

// TestNoReportBeforeUsableSummary guards against reports that lack expired records.
// After a gap, a summary that doesn't cover the gap must not be used.
func TestNoReportBeforeUsableSummary(t *testing.T) {
	h := newHarness(t, func() (bool, bool) { return false, false })
	h.recorders[0].Record(mn.RequestUsage{ID: "1", Customer: "a", Pool: "p", OutputTokens: 5})
	require.NoError(t, h.recorders[0].Flush(t.Context()))
	h.recorders[0].Record(mn.RequestUsage{ID: "2", Customer: "a", Pool: "p", OutputTokens: 5})
	require.NoError(t, h.recorders[0].Flush(t.Context()))
	h.append(t, &usage.Record{Version: 1, Summary: &usage.Summary{}})
	h.append(t, &usage.Record{Version: 1, Marker: &usage.Marker{Window: 1}})
	aggregator := usage.NewAggregator()
	err := aggregator.Apply(h.log.entries[1:])
	require.Equal(t, mn.RecordsExpired, mn.CodeOf(err), "the summary doesn't cover the gap")
	_, found := aggregator.NextReport()
	require.False(t, found)
}

// TestLateRecords checks records that add to an earlier one of the same request after
// its window was closed, repeats, and records that come too late to be distinguished
// from repeats.
func TestLateRecords(t *testing.T) {
	aggregator := usage.NewAggregator()
	var offset mn.Offset
	put := func(r *usage.Record) {
		offset++
		r.Version = 1
		data, err := usage.Encode(r)
		require.NoError(t, err)
		require.NoError(t, aggregator.Apply([]mn.LogEntry{{Offset: offset, Data: data}}))
	}
	item := func(id mn.RequestID, tokens int64, wall mn.Millis) *usage.Record {
		return &usage.Record{Batch: []usage.Item{{RequestUsage: mn.RequestUsage{ID: id, Customer: "a", Pool: "p", OutputTokens: tokens}, Wall: wall}}}
	}
	closeWindow := func(n int64, wall mn.Millis) []mn.UsageLine {
		put(&usage.Record{Marker: &usage.Marker{Window: n, Wall: wall}})
		s, _ := aggregator.Summary()
		return s.State.Unreported[n-1].Lines
	}
	put(item("1", 10, 1000))
	require.Equal(t, []mn.UsageLine{{Customer: "a", Pool: "p", Requests: 1, OutputTokens: 10}}, closeWindow(1, 2000))
	put(&usage.Record{Marker: &usage.Marker{Window: 1, Wall: 2500}}) // From a former lease holder: has no effect.
	put(item("1", 25, 3000))
	put(item("1", 10, 1000))
	require.Equal(t, []mn.UsageLine{{Customer: "a", Pool: "p", OutputTokens: 15}}, closeWindow(2, 400_000))
	require.Empty(t, closeWindow(3, 800_000))
	put(item("2", 7, 810_000))
	require.Len(t, closeWindow(4, 810_000), 1)
	put(item("1", 25, 3000)) // Can no longer be distinguished from a repeat.
	require.Empty(t, closeWindow(5, 820_000))
	s, _ := aggregator.Summary()
	require.EqualValues(t, 1, s.State.Expired)
	require.NotContains(t, s.State.CountedRequests, mn.RequestID("1"))
}
