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

// fakeLog is a log in memory whose appends may fail before or after they took
// effect, and which keeps only the last records.
type fakeLog struct {
	entries []mn.LogEntry
	first   mn.Offset
	fail    func() (before, after bool)
}

func (l *fakeLog) Append(_ context.Context, _ mn.Stream, data []byte) (mn.Offset, error) {
	before, after := l.fail()
	if before {
		return 0, mn.Errorf(mn.PlatformUnavailable, "refused")
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

// fakeSink is the platform: it bills the first report of each window.
type fakeSink struct {
	t       require.TestingT
	reports map[int64]mn.UsageReport
	fail    func() (before, after bool)
}

func (s *fakeSink) ReportUsage(_ context.Context, r mn.UsageReport) error {
	before, after := s.fail()
	if before {
		return mn.Errorf(mn.PlatformUnavailable, "refused")
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

// fakeLease lets any number of billers believe that they hold it.
type fakeLease struct {
	held  bool
	clock mn.Clock
}

func (l *fakeLease) Held() (mn.Term, mn.Millis, bool) { return 1, l.clock.Now() + mn.Second, l.held }

// harness is two recorders for each answer, and billers, over one log.
type harness struct {
	clock     *mn.ManualClock
	log       *fakeLog
	sink      *fakeSink
	recorders []*usage.Recorder
	billers   []*usage.Biller
	leases    []*fakeLease
}

func newHarness(t require.TestingT, fail func() (bool, bool)) *harness {
	b := &harness{clock: mn.NewManualClock(1_000_000), log: &fakeLog{fail: fail, first: 1}}
	b.sink = &fakeSink{t: t, reports: map[int64]mn.UsageReport{}, fail: fail}
	for i := range 3 {
		b.recorders = append(b.recorders, usage.NewRecorder(mn.VMID(fmt.Sprint("vm-", i)), b.log, b.clock))
		b.leases = append(b.leases, &fakeLease{held: true, clock: b.clock})
		b.billers = append(b.billers, b.newBiller(i))
	}
	return b
}

func (b *harness) newBiller(i int) *usage.Biller {
	p := usage.BillerParams{Window: 10 * mn.Second, SummaryInterval: 8, ReportTimeout: mn.Second}
	return usage.NewBiller(mn.VMID(fmt.Sprint("vm-", i)), b.log, b.sink, b.clock, b.leases[i], p)
}

func (b *harness) append(t require.TestingT, r *usage.Record) {
	data, err := usage.Encode(r)
	require.NoError(t, err)
	_, err = b.log.Append(context.Background(), mn.UsageStream, data)
	require.NoError(t, err)
}

// TestReportsEqualAnswers records answers at two processes each, kills at most
// one of the two, lets several billers hold the lease at once, and loses, delays
// and repeats appends and reports. Compared with a naive biller in one process,
// every window is reported with one set of figures, and the sum is exact.
func TestReportsEqualAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		faulty := true
		b := newHarness(t, func() (bool, bool) {
			if !faulty {
				return false, false
			}
			f := rapid.IntRange(0, 9).Draw(t, "fault")
			return f == 0, f == 1
		})
		naive := map[string]mn.UsageLine{}
		count := 0
		pick := func() int { return rapid.IntRange(0, 2).Draw(t, "vm") }
		serve := func(t *rapid.T) {
			count++
			id := mn.RequestID(fmt.Sprint("request ", count))
			c := mn.CustomerID(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "customer"))
			s := mn.RequestUsage{ID: id, Customer: c, Pool: "p", PromptTokens: rapid.Int64Range(0, 9).Draw(t, "prompt"), OutputTokens: rapid.Int64Range(0, 99).Draw(t, "output")}
			naive[string(c)] = add(naive[string(c)], mn.UsageLine{Customer: c, Pool: "p", Requests: 1, PromptTokens: s.PromptTokens, OutputTokens: s.OutputTokens})
			dead := pick()
			for i, r := range b.recorders {
				if i != dead {
					r.Record(s)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"serve": serve, "serve more": serve,
			"flush":  func(t *rapid.T) { _ = b.recorders[pick()].Flush(context.Background()) },
			"bill":   func(t *rapid.T) { _ = b.billers[pick()].Step(context.Background()) },
			"bill 2": func(t *rapid.T) { _ = b.billers[pick()].Step(context.Background()) },
			"lease":  func(t *rapid.T) { l := b.leases[pick()]; l.held = !l.held },
			"wait":   func(t *rapid.T) { b.clock.Advance(mn.Millis(rapid.Int64Range(1, 9000).Draw(t, "span"))) },
			// The other process of an answer appends it before it dies too.
			"kill recorder": func(t *rapid.T) {
				i := pick()
				b.recorders[i] = usage.NewRecorder("vm", b.log, b.clock)
				for _, r := range b.recorders {
					for r.Flush(context.Background()) != nil {
						continue
					}
				}
			},
			"restart biller": func(t *rapid.T) {
				i := pick()
				b.billers[i] = b.newBiller(i)
			},
		})
		faulty = false
		for _, r := range b.recorders {
			require.NoError(t, r.Flush(context.Background()))
		}
		b.clock.Advance(mn.Minute)
		b.leases[0].held = true
		for range 40 + len(b.log.entries)/4 {
			require.NoError(t, b.billers[0].Step(context.Background()))
		}
		require.Equal(t, naive, b.sink.total())
		requireSameState(t, b.log.entries)
	})
}

// requireSameState checks that a reader which starts from any summary agrees
// with one that read the whole stream.
func requireSameState(t require.TestingT, entries []mn.LogEntry) {
	whole := usage.NewAggregator()
	require.NoError(t, whole.Apply(entries))
	want, _ := whole.Summary()
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

func TestNoReportBeforeUsableSummary(t *testing.T) {
	b := newHarness(t, func() (bool, bool) { return false, false })
	b.recorders[0].Record(mn.RequestUsage{ID: "1", Customer: "a", Pool: "p", OutputTokens: 5})
	require.NoError(t, b.recorders[0].Flush(t.Context()))
	b.recorders[0].Record(mn.RequestUsage{ID: "2", Customer: "a", Pool: "p", OutputTokens: 5})
	require.NoError(t, b.recorders[0].Flush(t.Context()))
	b.append(t, &usage.Record{Version: 1, Summary: &usage.Summary{}})
	b.append(t, &usage.Record{Version: 1, Marker: &usage.Marker{Window: 1}})
	aggregator := usage.NewAggregator()
	err := aggregator.Apply(b.log.entries[1:])
	require.Equal(t, mn.RecordsExpired, mn.CodeOf(err), "the summary is as of before the gap")
	_, found := aggregator.NextReport()
	require.False(t, found)
}

// TestLateRecords checks adjustments, repeats past their window, and records
// that come too late to be told from repeats.
func TestLateRecords(t *testing.T) {
	aggregator := usage.NewAggregator()
	var off mn.Offset
	put := func(r *usage.Record) {
		off++
		r.Version = 1
		data, err := usage.Encode(r)
		require.NoError(t, err)
		require.NoError(t, aggregator.Apply([]mn.LogEntry{{Offset: off, Data: data}}))
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
	put(&usage.Record{Marker: &usage.Marker{Window: 1, Wall: 2500}}) // a former holder's, void
	put(item("1", 25, 3000))
	put(item("1", 10, 1000))
	require.Equal(t, []mn.UsageLine{{Customer: "a", Pool: "p", OutputTokens: 15}}, closeWindow(2, 400_000))
	require.Empty(t, closeWindow(3, 800_000))
	put(item("2", 7, 810_000))
	require.Len(t, closeWindow(4, 810_000), 1)
	put(item("1", 25, 3000)) // can no longer be told from a repeat
	require.Empty(t, closeWindow(5, 820_000))
	s, _ := aggregator.Summary()
	require.EqualValues(t, 1, s.State.Expired)
	require.NotContains(t, s.State.CountedRequests, mn.RequestID("1"))
}
