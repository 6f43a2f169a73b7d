package usage

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	mn "mustardnotch"
)

const (
	// maxLateMarkers is how many markers a record may be late by, besides
	// maxLateness: an outage of the log lasts one window however long it is.
	maxLateMarkers = 3
	// maxLateness is how old an answer may be when its record lands.
	maxLateness = 60 * mn.Second
	// repeatWindow is how far apart the records of one request may have ended,
	// by the clocks of the processes that recorded them. It covers the time in
	// which an answer can be resumed, and clock skew.
	repeatWindow = 60 * mn.Second
)

// billedUsage is what a request has been billed for so far.
type billedUsage struct {
	Prompt int64 `json:"prompt"`
	Output int64 `json:"output"`
	// Wall is the latest end of the request's answer.
	Wall mn.Millis `json:"wall"`
}

// State is all that a fold knows as of the last marker or later.
type State struct {
	// Window is the last window that was closed, Marker its marker.
	Window int64     `json:"window"`
	Marker mn.Offset `json:"marker"`
	// MarkerWalls are those of the last markers, latest last.
	MarkerWalls []mn.Millis `json:"walls,omitempty"`
	// OpenLines has the lines of the open window.
	OpenLines []mn.UsageLine `json:"open,omitempty"`
	// CountedRequests holds the requests for which a further record may still come.
	CountedRequests map[mn.RequestID]billedUsage `json:"counted,omitempty"`
	// Unreported holds closed windows in order that aren't known to be reported.
	Unreported []mn.UsageReport `json:"unreported,omitempty"`
	// Expired counts records that were void because they came too late.
	Expired int64 `json:"expired,omitempty"`
}

// lineKey names a line of a report.
type lineKey struct {
	customer mn.CustomerID
	pool     mn.PoolID
}

// Aggregator turns the usage stream into reports. It is safe for concurrent use.
//
// At marker n, the fold forgets requests that ended before the wall time of
// marker n-2, less a minute for lateness and a minute more for records of the
// same request that ended at different times. A record that ended before the
// former bound is void. Both are read from the log alone.
type Aggregator struct {
	mu     sync.Mutex
	offset mn.Offset
	state  State
	lines  map[lineKey]mn.UsageLine
	// started is false while the fold looks for a summary to start from.
	started  bool
	buffered []mn.LogEntry
}

// NewAggregator returns a fold before the first record.
func NewAggregator() *Aggregator {
	f := &Aggregator{}
	f.restoreState(0, State{})
	f.started = true
	return f
}

func (f *Aggregator) restoreState(off mn.Offset, s State) {
	f.offset = off
	f.state = s
	f.state.CountedRequests = maps.Clone(s.CountedRequests)
	if f.state.CountedRequests == nil {
		f.state.CountedRequests = map[mn.RequestID]billedUsage{}
	}
	f.state.MarkerWalls = slices.Clone(s.MarkerWalls)
	f.state.Unreported = slices.Clone(s.Unreported)
	f.lines = map[lineKey]mn.UsageLine{}
	for _, l := range s.OpenLines {
		f.lines[lineKey{l.Customer, l.Pool}] = l
	}
}

// Offset returns the last offset that the fold has taken in.
func (f *Aggregator) Offset() mn.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.offset
}

// Apply takes entries in. Entries that were taken in before are dropped. Where
// the entries leave a gap, because records have expired, the fold goes on from
// the first summary whose own successors are all there; until it has found one
// it returns an Error with code [mn.RecordsExpired], and keeps reading.
func (f *Aggregator) Apply(entries []mn.LogEntry) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range entries {
		if e.Offset <= f.offset {
			continue
		}
		r, err := Decode(e.Data)
		if err != nil {
			return err
		}
		if f.started && e.Offset != f.offset+1 {
			f.started = false
			f.buffered = nil
		}
		f.offset = e.Offset
		if !f.started {
			f.searchSummary(e, r)
			continue
		}
		f.applyRecord(e.Offset, r)
	}
	if !f.started {
		return mn.Errorf(mn.RecordsExpired, "usage stream: no summary up to offset %d covers what has expired", f.offset)
	}
	return nil
}

// searchSummary keeps entries until a summary is found that reaches back to before
// the first of them.
func (f *Aggregator) searchSummary(e mn.LogEntry, r *Record) {
	f.buffered = append(f.buffered, e)
	if r.Summary == nil || r.Summary.Offset+1 < f.buffered[0].Offset {
		return
	}
	entries := f.buffered
	f.buffered = nil
	f.started = true
	f.restoreState(r.Summary.Offset, r.Summary.State)
	for _, e := range entries {
		if e.Offset <= r.Summary.Offset {
			continue
		}
		f.offset = e.Offset
		if r, err := Decode(e.Data); err == nil {
			f.applyRecord(e.Offset, r)
		}
	}
}

func (f *Aggregator) applyRecord(off mn.Offset, r *Record) {
	for _, it := range r.Batch {
		f.addItem(it)
	}
	if r.Marker != nil {
		f.closeWindow(off, *r.Marker)
	}
	if r.Reported != nil {
		f.state.Unreported = slices.DeleteFunc(f.state.Unreported, func(u mn.UsageReport) bool {
			return u.Window <= r.Reported.Window
		})
	}
}

// minWall returns the end before which a record is void.
func (f *Aggregator) minWall() mn.Millis {
	if len(f.state.MarkerWalls) < maxLateMarkers {
		return 0
	}
	return f.state.MarkerWalls[0] - maxLateness
}

// addItem adds what it has more than earlier records of the same request.
func (f *Aggregator) addItem(it Item) {
	if it.Wall < f.minWall() {
		f.state.Expired++
		return
	}
	before, known := f.state.CountedRequests[it.ID]
	after := billedUsage{
		Prompt: max(before.Prompt, it.PromptTokens),
		Output: max(before.Output, it.OutputTokens),
		Wall:   max(before.Wall, it.Wall),
	}
	f.state.CountedRequests[it.ID] = after
	key := lineKey{it.Customer, it.Pool}
	line := f.lines[key]
	line.Customer = it.Customer
	line.Pool = it.Pool
	line.PromptTokens += after.Prompt - before.Prompt
	line.OutputTokens += after.Output - before.Output
	if !known {
		line.Requests++
	}
	f.lines[key] = line
}

// closeWindow ends the open window, unless the marker is for another.
func (f *Aggregator) closeWindow(off mn.Offset, m Marker) {
	if m.Window != f.state.Window+1 {
		return
	}
	f.state.Window = m.Window
	f.state.Marker = off
	f.state.Unreported = append(f.state.Unreported, mn.UsageReport{Window: m.Window, Marker: off, Lines: f.sortedOpenLines()})
	f.lines = map[lineKey]mn.UsageLine{}
	wall := m.Wall
	if n := len(f.state.MarkerWalls); n > 0 {
		wall = max(wall, f.state.MarkerWalls[n-1])
	}
	f.state.MarkerWalls = append(f.state.MarkerWalls, wall)
	if len(f.state.MarkerWalls) > maxLateMarkers {
		f.state.MarkerWalls = slices.Delete(f.state.MarkerWalls, 0, len(f.state.MarkerWalls)-maxLateMarkers)
	}
	forget := f.minWall() - repeatWindow
	maps.DeleteFunc(f.state.CountedRequests, func(_ mn.RequestID, c billedUsage) bool { return c.Wall < forget })
}

// sortedOpenLines returns the lines of the open window, sorted.
func (f *Aggregator) sortedOpenLines() []mn.UsageLine {
	lines := []mn.UsageLine{}
	for _, l := range f.lines {
		if l.Requests != 0 || l.PromptTokens != 0 || l.OutputTokens != 0 {
			lines = append(lines, l)
		}
	}
	slices.SortFunc(lines, func(a, b mn.UsageLine) int {
		return cmp.Or(cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Pool, b.Pool))
	})
	return lines
}

// NextReport returns the oldest window that isn't known to be reported.
func (f *Aggregator) NextReport() (mn.UsageReport, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.started || len(f.state.Unreported) == 0 {
		return mn.UsageReport{}, false
	}
	return f.state.Unreported[0], true
}

// OpenWindow returns the number of the open window, the wall time of the last
// marker, and whether anything was counted since.
func (f *Aggregator) OpenWindow() (open int64, last mn.Millis, used bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := len(f.state.MarkerWalls); n > 0 {
		last = f.state.MarkerWalls[n-1]
	}
	return f.state.Window + 1, last, len(f.sortedOpenLines()) > 0
}

// Summary returns the fold's state, for a record that readers may start from.
// It returns false while the fold has no state.
func (f *Aggregator) Summary() (Summary, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.state
	s.OpenLines = f.sortedOpenLines()
	s.CountedRequests = maps.Clone(s.CountedRequests)
	s.MarkerWalls = slices.Clone(s.MarkerWalls)
	s.Unreported = slices.Clone(s.Unreported)
	return Summary{Offset: f.offset, State: s}, f.started
}
