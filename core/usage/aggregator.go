package usage

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	mn "mustardnotch"
)

const (
	// maxLateMarkers is the number of markers by which a record may be late, in
	// addition to maxLateness. The limit counts markers rather than time because
	// no window closes during an outage of the log, however long it lasts.
	maxLateMarkers = 3
	// maxLateness is how long before the oldest of these markers the answer of a
	// record may have ended.
	maxLateness = 60 * mn.Second
	// repeatWindow is the maximum difference between the end times in the records
	// of one request. It covers the time in which an answer can be resumed, and
	// the skew between the clocks of the processes that recorded it.
	repeatWindow = 60 * mn.Second
)

// billedUsage is the usage that has been counted for a request so far.
type billedUsage struct {
	Prompt int64 `json:"prompt"`
	Output int64 `json:"output"`
	// Wall is the latest time at which the request's answer ended.
	Wall mn.Millis `json:"wall"`
}

// State is the state of an aggregator at some offset of the usage stream.
type State struct {
	// Window is the number of the last closed window, Marker the offset of its
	// marker.
	Window int64     `json:"window"`
	Marker mn.Offset `json:"marker"`
	// MarkerWalls has the wall-clock times of the last markers, the latest one last.
	// They never decrease.
	MarkerWalls []mn.Millis `json:"walls,omitempty"`
	// OpenLines has the usage lines of the open window.
	OpenLines []mn.UsageLine `json:"open,omitempty"`
	// CountedRequests has the requests of which further records may still count.
	CountedRequests map[mn.RequestID]billedUsage `json:"counted,omitempty"`
	// Unreported has the closed windows without a Reported record, in order.
	Unreported []mn.UsageReport `json:"unreported,omitempty"`
	// Expired is the number of items that were ignored because they came too late.
	Expired int64 `json:"expired,omitempty"`
}

// lineKey identifies a line of a report.
type lineKey struct {
	customer mn.CustomerID
	pool     mn.PoolID
}

// Aggregator turns the usage stream into reports. It is safe for concurrent use.
//
// After marker n, a record has no effect if its answer ended before the wall time
// of marker n-2 minus maxLateness. At marker n, the aggregator forgets requests that
// ended repeatWindow before that limit, because records of the same request may have
// different end times. Both limits depend only on the log.
type Aggregator struct {
	mu     sync.Mutex
	offset mn.Offset
	state  State
	lines  map[lineKey]mn.UsageLine
	// started is false while the aggregator searches for a summary to start from.
	// buffered has the records that it has read in the meantime.
	started  bool
	buffered []mn.LogEntry
}

// NewAggregator returns an aggregator that starts at the beginning of the stream.
func NewAggregator() *Aggregator {
	a := &Aggregator{}
	a.restoreState(0, State{})
	a.started = true
	return a
}

// restoreState sets the state to a copy of s, which is the state at offset.
func (a *Aggregator) restoreState(offset mn.Offset, s State) {
	a.offset = offset
	a.state = s
	a.state.CountedRequests = maps.Clone(s.CountedRequests)
	if a.state.CountedRequests == nil {
		a.state.CountedRequests = map[mn.RequestID]billedUsage{}
	}
	a.state.MarkerWalls = slices.Clone(s.MarkerWalls)
	a.state.Unreported = slices.Clone(s.Unreported)
	a.lines = map[lineKey]mn.UsageLine{}
	for _, l := range s.OpenLines {
		a.lines[lineKey{l.Customer, l.Pool}] = l
	}
}

// Offset returns the offset of the last record that was read.
func (a *Aggregator) Offset() mn.Offset {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.offset
}

// Apply applies entries in order and ignores those that were applied before. After
// a gap in the offsets, where records have expired, the aggregator continues from
// the first summary for which all records after the summary's offset are present.
// Until it finds one, Apply returns an Error with code [mn.RecordsExpired]; the
// caller should pass further entries.
func (a *Aggregator) Apply(entries []mn.LogEntry) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, e := range entries {
		if e.Offset <= a.offset {
			continue
		}
		r, err := Decode(e.Data)
		if err != nil {
			return err
		}
		if a.started && e.Offset != a.offset+1 {
			a.started = false
			a.buffered = nil
		}
		a.offset = e.Offset
		if !a.started {
			a.searchSummary(e, r)
			continue
		}
		a.applyRecord(e.Offset, r)
	}
	if !a.started {
		return mn.Errorf(mn.RecordsExpired, "usage stream: records have expired, and no summary up to offset %d covers them", a.offset)
	}
	return nil
}

// searchSummary buffers entries until it finds a summary that covers all records
// before the first of them. It then applies the buffered entries after the offset
// of the summary.
func (a *Aggregator) searchSummary(e mn.LogEntry, r *Record) {
	a.buffered = append(a.buffered, e)
	if r.Summary == nil || r.Summary.Offset+1 < a.buffered[0].Offset {
		return
	}
	entries := a.buffered
	a.buffered = nil
	a.started = true
	a.restoreState(r.Summary.Offset, r.Summary.State)
	for _, e := range entries {
		if e.Offset <= r.Summary.Offset {
			continue
		}
		a.offset = e.Offset
		if r, err := Decode(e.Data); err == nil {
			a.applyRecord(e.Offset, r)
		}
	}
}

// applyRecord applies the record r at offset.
func (a *Aggregator) applyRecord(offset mn.Offset, r *Record) {
	for _, it := range r.Batch {
		a.addItem(it)
	}
	if r.Marker != nil {
		a.closeWindow(offset, *r.Marker)
	}
	if r.Reported != nil {
		a.state.Unreported = slices.DeleteFunc(a.state.Unreported, func(u mn.UsageReport) bool {
			return u.Window <= r.Reported.Window
		})
	}
}

// minWall returns the earliest end time with which an item still counts.
func (a *Aggregator) minWall() mn.Millis {
	if len(a.state.MarkerWalls) < maxLateMarkers {
		return 0
	}
	return a.state.MarkerWalls[0] - maxLateness
}

// addItem adds to the open window the usage by which item exceeds earlier items of
// the same request.
func (a *Aggregator) addItem(item Item) {
	if item.Wall < a.minWall() {
		a.state.Expired++
		return
	}
	before, known := a.state.CountedRequests[item.ID]
	after := billedUsage{
		Prompt: max(before.Prompt, item.PromptTokens),
		Output: max(before.Output, item.OutputTokens),
		Wall:   max(before.Wall, item.Wall),
	}
	a.state.CountedRequests[item.ID] = after
	key := lineKey{item.Customer, item.Pool}
	line := a.lines[key]
	line.Customer = item.Customer
	line.Pool = item.Pool
	line.PromptTokens += after.Prompt - before.Prompt
	line.OutputTokens += after.Output - before.Output
	if !known {
		line.Requests++
	}
	a.lines[key] = line
}

// closeWindow closes the open window if m has its number, and forgets requests of
// which no further item can count.
func (a *Aggregator) closeWindow(offset mn.Offset, m Marker) {
	if m.Window != a.state.Window+1 {
		return
	}
	a.state.Window = m.Window
	a.state.Marker = offset
	a.state.Unreported = append(a.state.Unreported, mn.UsageReport{Window: m.Window, Marker: offset, Lines: a.sortedOpenLines()})
	a.lines = map[lineKey]mn.UsageLine{}
	wall := m.Wall
	if n := len(a.state.MarkerWalls); n > 0 {
		wall = max(wall, a.state.MarkerWalls[n-1])
	}
	a.state.MarkerWalls = append(a.state.MarkerWalls, wall)
	if len(a.state.MarkerWalls) > maxLateMarkers {
		a.state.MarkerWalls = slices.Delete(a.state.MarkerWalls, 0, len(a.state.MarkerWalls)-maxLateMarkers)
	}
	forget := a.minWall() - repeatWindow
	maps.DeleteFunc(a.state.CountedRequests, func(_ mn.RequestID, c billedUsage) bool { return c.Wall < forget })
}

// sortedOpenLines returns the lines of the open window, sorted by customer and pool.
func (a *Aggregator) sortedOpenLines() []mn.UsageLine {
	lines := []mn.UsageLine{}
	for _, l := range a.lines {
		if l.Requests != 0 || l.PromptTokens != 0 || l.OutputTokens != 0 {
			lines = append(lines, l)
		}
	}
	slices.SortFunc(lines, func(a, b mn.UsageLine) int {
		return cmp.Or(cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Pool, b.Pool))
	})
	return lines
}

// NextReport returns the oldest closed window without a Reported record.
func (a *Aggregator) NextReport() (mn.UsageReport, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.started || len(a.state.Unreported) == 0 {
		return mn.UsageReport{}, false
	}
	return a.state.Unreported[0], true
}

// OpenWindow returns the number of the open window, the wall-clock time of the last
// marker, and whether the open window has any usage.
func (a *Aggregator) OpenWindow() (open int64, last mn.Millis, used bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if n := len(a.state.MarkerWalls); n > 0 {
		last = a.state.MarkerWalls[n-1]
	}
	return a.state.Window + 1, last, len(a.sortedOpenLines()) > 0
}

// Summary returns the aggregator's state, for a record from which other aggregators
// can start. It returns false while Apply searches for a summary itself.
func (a *Aggregator) Summary() (Summary, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.state
	s.OpenLines = a.sortedOpenLines()
	s.CountedRequests = maps.Clone(s.CountedRequests)
	s.MarkerWalls = slices.Clone(s.MarkerWalls)
	s.Unreported = slices.Clone(s.Unreported)
	return Summary{Offset: a.offset, State: s}, a.started
}
