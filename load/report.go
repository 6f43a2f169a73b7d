package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	mn "mustardnotch"
)

// Histograms hold microseconds up to two minutes, with three significant digits.
const (
	maxHistogramMicros = 120_000_000
	significantDigits  = 3
)

// LatencyStats holds the number, mean, quantiles and maximum of measured times, in
// milliseconds.
type LatencyStats struct {
	Count  int64   `json:"count"`
	Mean   float64 `json:"mean_ms"`
	Median float64 `json:"p50_ms"`
	P95    float64 `json:"p95_ms"`
	P99    float64 `json:"p99_ms"`
	Max    float64 `json:"max_ms"`
}

// Group counts the requests of a customer, of a phase, of a customer in a phase, or
// of the whole run.
type Group struct {
	Name string `json:"name"`
	Sent int64  `json:"sent"`
	// WithinRate counts requests that the customer's rate and burst admit.
	WithinRate int64 `json:"within_rate"`
	// InTime counts complete answers within the deadline, Late those after it.
	InTime int64 `json:"in_time"`
	Late   int64 `json:"late"`
	Failed int64 `json:"failed"`
	// RejectedWithinRate counts requests within the rate that were rejected.
	RejectedWithinRate int64 `json:"refused_within_rate"`
	// Codes counts failures by result code.
	Codes map[string]int64 `json:"codes,omitempty"`
	// Goodput is InTime per second. ServedRatio is the ratio of InTime to
	// WithinRate, at most 1.
	Goodput     float64 `json:"goodput_per_s"`
	ServedRatio float64 `json:"served"`
	// TokensInTime counts the output tokens of answers within the deadline.
	TokensInTime int64 `json:"tokens_in_time"`
	// PrefixHitRatio is the share of prompt tokens that engines had cached.
	PrefixHitRatio float64      `json:"prefix_hits"`
	FirstToken     LatencyStats `json:"first_token"`
	BetweenTokens  LatencyStats `json:"between_tokens"`

	promptTokens, cachedTokens int64
	firstToken, betweenTokens  *hdrhistogram.Histogram
}

// Second counts the arrivals of one second of the run.
type Second struct {
	Sent   int64 `json:"sent"`
	InTime int64 `json:"in_time"`
}

// Report is the result of a run.
type Report struct {
	File string `json:"file"`
	Seed uint64 `json:"seed"`
	// Label names the run in comparisons.
	Label          string    `json:"label"`
	Elapsed        mn.Millis `json:"span_ms"`
	Unsent         int64     `json:"unsent"`
	All            *Group    `json:"all"`
	WorstCustomer  string    `json:"worst_served"`
	Customers      []*Group  `json:"customers"`
	Phases         []*Group  `json:"phases"`
	CustomerPhases []*Group  `json:"customer_phases"`
	Seconds        []Second  `json:"seconds"`
	// Samples holds the first failure with each result code.
	Samples map[string]string `json:"samples,omitempty"`
	// EngineSeconds is the total time that the engines were up during the run.
	EngineSeconds float64        `json:"engine_seconds"`
	Engines       EngineCounters `json:"engines"`

	mu       sync.Mutex
	workload *Workload
}

func newGroup(name string) *Group {
	return &Group{
		Name:          name,
		Codes:         make(map[string]int64),
		firstToken:    hdrhistogram.New(1, maxHistogramMicros, significantDigits),
		betweenTokens: hdrhistogram.New(1, maxHistogramMicros, significantDigits),
	}
}

func newReport(w *Workload) *Report {
	r := &Report{File: w.File, Seed: w.Seed, All: newGroup("all"), Samples: make(map[string]string), workload: w}
	r.Seconds = make([]Second, (w.Duration()+mn.Second-1)/mn.Second)
	for _, c := range w.Customers {
		r.Customers = append(r.Customers, newGroup(string(c.ID)))
	}
	for _, p := range w.Phases {
		r.Phases = append(r.Phases, newGroup(p.Name))
		for _, c := range w.Customers {
			r.CustomerPhases = append(r.CustomerPhases, newGroup(string(c.ID)+"/"+p.Name))
		}
	}
	return r
}

func (r *Report) groups(a Arrival) []*Group {
	return []*Group{r.All, r.Customers[a.Customer], r.Phases[a.Phase], r.CustomerPhases[a.Phase*len(r.Customers)+a.Customer]}
}

func (r *Report) addUnsent(Arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Unsent++
}

func (r *Report) add(a Arrival, res Result) {
	inTime := res.Err == nil && res.Total <= r.workload.Kinds[a.Kind].Deadline.Duration()
	r.mu.Lock()
	defer r.mu.Unlock()
	second := &r.Seconds[a.At/mn.Second]
	second.Sent++
	if inTime {
		second.InTime++
	}
	for _, g := range r.groups(a) {
		g.add(a, res, inTime)
	}
	if code := codeOf(res.Err); code != "" && r.Samples[code] == "" {
		r.Samples[code] = res.Err.Error()
	}
}

func (g *Group) add(a Arrival, res Result, inTime bool) {
	g.Sent++
	if a.WithinRate {
		g.WithinRate++
	}
	switch {
	case inTime:
		g.InTime++
		g.TokensInTime += res.OutputTokens
	case res.Err == nil:
		g.Late++
	default:
		g.Failed++
		g.Codes[codeOf(res.Err)]++
		if a.WithinRate && isRejection(res.Err) {
			g.RejectedWithinRate++
		}
	}
	g.promptTokens += res.PromptTokens
	g.cachedTokens += res.CachedTokens
	if res.FirstToken > 0 {
		recordDuration(g.firstToken, res.FirstToken)
	}
	for _, gap := range res.TokenGaps {
		recordDuration(g.betweenTokens, gap)
	}
}

// codeOf returns the result code of err, or "" for nil.
func codeOf(err error) string {
	if err == nil {
		return ""
	}
	return mn.CodeOf(err).String()
}

// isRejection reports whether err means that the request has not run.
func isRejection(err error) bool { return mn.AsError(err).Outcome == mn.OutcomeNotRun }

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxHistogramMicros))
}

func (r *Report) finish(elapsed mn.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Elapsed = elapsed
	r.All.finish(r.workload.Duration())
	for _, g := range append(append([]*Group{}, r.Customers...), r.CustomerPhases...) {
		g.finish(r.workload.Duration())
	}
	for i, g := range r.Phases {
		g.finish(r.workload.Phases[i].Duration)
	}
	worst := r.Customers[0]
	for _, g := range r.Customers {
		if g.ServedRatio < worst.ServedRatio {
			worst = g
		}
	}
	r.WorstCustomer = worst.Name
}

func (g *Group) finish(duration mn.Millis) {
	g.Goodput = float64(g.InTime) * 1000 / float64(duration)
	if g.WithinRate > 0 {
		g.ServedRatio = min(float64(g.InTime)/float64(g.WithinRate), 1)
	}
	if g.promptTokens > 0 {
		g.PrefixHitRatio = float64(g.cachedTokens) / float64(g.promptTokens)
	}
	g.FirstToken = latencyStats(g.firstToken)
	g.BetweenTokens = latencyStats(g.betweenTokens)
}

func latencyStats(h *hdrhistogram.Histogram) LatencyStats {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return LatencyStats{
		Count:  h.TotalCount(),
		Mean:   h.Mean() / 1000,
		Median: ms(50),
		P95:    ms(95),
		P99:    ms(99),
		Max:    float64(h.Max()) / 1000,
	}
}

// WorstServed returns the group of the customer with the lowest served ratio.
func (r *Report) WorstServed() *Group {
	for _, g := range r.Customers {
		if g.Name == r.WorstCustomer {
			return g
		}
	}
	return r.All
}
