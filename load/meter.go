package load

import (
	"context"
	"net/http"
	"sync"

	mn "mustardnotch"
	"mustardnotch/io/wire"
)

// EngineCounters counts the work of engines, as stand-in engines report it at
// /admin/counters.
type EngineCounters struct {
	PrefillTokens int64     `json:"prefill_tokens"`
	CachedTokens  int64     `json:"cached_tokens"`
	OutputTokens  int64     `json:"output_tokens"`
	RoleChanges   int64     `json:"role_changes"`
	Imports       int64     `json:"imports"`
	BusyTime      mn.Millis `json:"busy_ms"`
	Uptime        mn.Millis `json:"up_ms"`
}

// Meter measures the work of the workload's stand-in engines during a run.
type Meter struct {
	urls   []string
	client *http.Client
	before []EngineCounters
}

// NewMeter returns a meter that counts from the engines' present counters.
func NewMeter(ctx context.Context, urls []string) *Meter {
	m := &Meter{urls: urls, client: wire.NewHTTPClient()}
	m.before = m.readCounters(ctx)
	return m
}

func (m *Meter) readCounters(ctx context.Context) []EngineCounters {
	all := make([]EngineCounters, len(m.urls))
	var wg sync.WaitGroup
	for i, u := range m.urls {
		wg.Go(func() { _ = wire.DoJSON(ctx, m.client, http.MethodGet, u+"/admin/counters", nil, &all[i]) })
	}
	wg.Wait()
	return all
}

// Finish adds the work that the engines did since [NewMeter] to r. The counters of
// an engine that can't be read count as 0.
func (m *Meter) Finish(ctx context.Context, r *Report) {
	for i, c := range m.readCounters(ctx) {
		b := m.before[i]
		if c.Uptime < b.Uptime {
			b = EngineCounters{} // The engine has restarted, or could not be read, and counts from 0.
		}
		r.Engines.PrefillTokens += c.PrefillTokens - b.PrefillTokens
		r.Engines.CachedTokens += c.CachedTokens - b.CachedTokens
		r.Engines.OutputTokens += c.OutputTokens - b.OutputTokens
		r.Engines.RoleChanges += c.RoleChanges - b.RoleChanges
		r.Engines.Imports += c.Imports - b.Imports
		r.Engines.BusyTime += c.BusyTime - b.BusyTime
		r.Engines.Uptime += c.Uptime - b.Uptime
	}
	r.EngineSeconds = float64(r.Engines.Uptime) / float64(mn.Second)
}
