// Package stats holds a process's counters and latency histograms.
package stats

import (
	"expvar"
	"fmt"
	"io"
	"net/http"
	"sort"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	mn "mustardnotch"
)

const (
	// maxDuration is the longest duration that histograms record, in milliseconds;
	// longer ones count as this long.
	maxDuration = 60_000
	// digits is the precision of histograms in decimal digits.
	digits = 2
)

// Set is a set of counters and histograms. It is safe for concurrent use.
type Set struct {
	counters *expvar.Map

	mu         sync.Mutex
	histograms map[string]*hdrhistogram.Histogram
}

// New returns an empty set.
func New() *Set {
	return &Set{counters: new(expvar.Map).Init(), histograms: map[string]*hdrhistogram.Histogram{}}
}

// Add adds n to a counter.
func (s *Set) Add(name string, n int64) { s.counters.Add(name, n) }

// Set sets a gauge. It is listed among the counters.
func (s *Set) Set(name string, n int64) {
	v := new(expvar.Int)
	v.Set(n)
	s.counters.Set(name, v)
}

// Observe adds a duration to a histogram.
func (s *Set) Observe(name string, duration mn.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.histograms[name]
	if h == nil {
		h = hdrhistogram.New(1, maxDuration, digits)
		s.histograms[name] = h
	}
	// RecordValue can't fail, since the value is within the histogram's bounds.
	_ = h.RecordValue(min(maxDuration, max(1, int64(duration))))
}

// WriteText writes one line for each counter and four for each histogram.
func (s *Set) WriteText(w io.Writer) error {
	var err error
	line := func(format string, args ...any) {
		if err == nil {
			_, err = fmt.Fprintf(w, format, args...)
		}
	}
	s.counters.Do(func(kv expvar.KeyValue) { line("%s %s\n", kv.Key, kv.Value) })
	s.mu.Lock()
	defer s.mu.Unlock()
	names := make([]string, 0, len(s.histograms))
	for n := range s.histograms {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		h := s.histograms[n]
		for _, q := range []float64{50, 90, 99} {
			line("%s{quantile=%q} %d\n", n, fmt.Sprint(q/100), h.ValueAtQuantile(q))
		}
		line("%s_count %d\n", n, h.TotalCount())
	}
	return err
}

// ServeHTTP serves the set as text.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	// A client that disconnects early is no reason to log an error.
	_ = s.WriteText(w)
}
