package fakes

import (
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	mn "mustardnotch"
)

// Faults of the platform.
const (
	// LogDown fails all calls to the log while it is not 0.
	LogDown = "log_down"
	// LogSlow is the delay in milliseconds of all calls to the log.
	LogSlow = "log_slow_ms"
	// AppendLost is the number of appends that take effect but get no response.
	AppendLost = "append_lost"
	// AppendDropped is the number of appends that neither take effect nor get a
	// response.
	AppendDropped = "append_dropped"
	// UsageLost is the number of usage reports that take effect but get no response.
	UsageLost = "usage_lost"
	// FleetLost is the number of fleet orders that take effect but get no response.
	FleetLost = "fleet_lost"
	// PlatformDown fails all calls while it is not 0.
	PlatformDown = "platform_down"
	// LogRetention is the maximum number of records that a stream retains, 0 for
	// no limit.
	LogRetention = "log_keep"
	// FleetSlow is the delay in milliseconds before a fleet order takes effect.
	FleetSlow = "fleet_slow_ms"
)

// weightLoadInterval is the minimum time between two loads from the weight store.
const weightLoadInterval = 500 * mn.Millisecond

// logStream is one stream of the platform's log. The channel changed is closed at the
// next append.
type logStream struct {
	entries []mn.LogEntry
	head    mn.Offset
	changed chan struct{}
}

// TimedOrder is a fleet order and the time at which it took effect.
type TimedOrder struct {
	mn.FleetOrder
	Wall mn.Millis `json:"wall"`
}

// TimedReport is a usage report and the time at which it arrived.
type TimedReport struct {
	mn.UsageReport
	Wall mn.Millis `json:"wall"`
	// Conflict reports whether an earlier report of the same window had different
	// content.
	Conflict bool `json:"conflict"`
}

// Platform is a stand-in for the platform's log, list of VMs, fleet orders, usage
// reports and weight store. It holds everything in memory.
type Platform struct {
	Faults *Faults
	clock  mn.Clock

	mu             sync.Mutex
	streams        map[mn.Stream]*logStream
	vms            []mn.VM
	fleetStates    map[string]mn.FleetState
	orders         []TimedOrder
	reports        []TimedReport
	nextWeightLoad mn.Millis
	appends        int64
}

// NewPlatform returns an empty platform.
func NewPlatform(clock mn.Clock) *Platform {
	return &Platform{
		Faults:      NewFaults(LogDown, LogSlow, AppendLost, AppendDropped, UsageLost, FleetLost, PlatformDown, LogRetention, FleetSlow),
		clock:       clock,
		streams:     map[mn.Stream]*logStream{},
		fleetStates: map[string]mn.FleetState{},
	}
}

// Handler returns the platform's HTTP interface. Paths below /admin are for
// tests: they return what took effect and set the list of VMs.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /fault", p.Faults)
	mux.HandleFunc("POST /log/{stream}", p.logHandler(p.handleAppend))
	mux.HandleFunc("GET /log/{stream}", p.logHandler(p.handleRead))
	mux.HandleFunc("GET /vms", p.apiHandler(p.handleVMs))
	mux.HandleFunc("POST /fleet", p.apiHandler(p.handleFleetOrder))
	mux.HandleFunc("GET /fleet", p.apiHandler(p.handleFleetStates))
	mux.HandleFunc("POST /usage", p.apiHandler(p.handleUsage))
	mux.HandleFunc("POST /weights", p.apiHandler(p.handleWeights))
	mux.HandleFunc("PUT /admin/vms", p.handleSetVMs)
	mux.HandleFunc("GET /admin/orders", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, lockedValue(p, &p.orders)) })
	mux.HandleFunc("GET /admin/usage", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, lockedValue(p, &p.reports)) })
	mux.HandleFunc("GET /admin/appends", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, lockedValue(p, &p.appends)) })
	return mux
}

// lockedValue reads a field of p under its mutex.
func lockedValue[T any](p *Platform, v *T) T {
	p.mu.Lock()
	defer p.mu.Unlock()
	return *v
}

// apiHandler wraps h and fails calls while PlatformDown is set.
func (p *Platform) apiHandler(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if p.Faults.Get(PlatformDown) != 0 {
			http.Error(w, "platform is down", http.StatusServiceUnavailable)
			return
		}
		h(w, r)
	}
}

// logHandler wraps h and applies the faults of the log.
func (p *Platform) logHandler(h http.HandlerFunc) http.HandlerFunc {
	return p.apiHandler(func(w http.ResponseWriter, r *http.Request) {
		if delay := mn.Millis(p.Faults.Get(LogSlow)); delay > 0 {
			_ = p.clock.Sleep(r.Context(), delay)
		}
		if p.Faults.Get(LogDown) != 0 {
			http.Error(w, "log is down", http.StatusServiceUnavailable)
			return
		}
		h(w, r)
	})
}

func (p *Platform) stream(name string) *logStream {
	stream, ok := p.streams[mn.Stream(name)]
	if !ok {
		stream = &logStream{changed: make(chan struct{})}
		p.streams[mn.Stream(name)] = stream
	}
	return stream
}

func (p *Platform) handleAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if p.Faults.Consume(AppendDropped) {
		abortResponse()
	}
	offset := p.Append(r.PathValue("stream"), data)
	if p.Faults.Consume(AppendLost) {
		abortResponse()
	}
	writeJSON(w, map[string]mn.Offset{"offset": offset})
}

// Append appends data to a stream and returns its offset.
func (p *Platform) Append(name string, data []byte) mn.Offset {
	p.mu.Lock()
	defer p.mu.Unlock()
	stream := p.stream(name)
	stream.head++
	p.appends++
	stream.entries = append(stream.entries, mn.LogEntry{Offset: stream.head, Data: data})
	if retention := int(p.Faults.Get(LogRetention)); retention > 0 && len(stream.entries) > retention {
		stream.entries = append([]mn.LogEntry(nil), stream.entries[len(stream.entries)-retention:]...)
	}
	close(stream.changed)
	stream.changed = make(chan struct{})
	return stream.head
}

func (p *Platform) handleRead(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseInt(r.FormValue("from"), 10, 64)
	limit, _ := strconv.Atoi(r.FormValue("limit"))
	wait, _ := strconv.ParseInt(r.FormValue("wait_ms"), 10, 64)
	batch, changed := p.read(r.PathValue("stream"), mn.Offset(from), limit)
	if len(batch.Entries) > 0 || wait <= 0 {
		writeJSON(w, batch)
		return
	}
	timer := time.NewTimer(mn.Millis(wait).Duration())
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-r.Context().Done():
		return
	}
	if p.Faults.Get(LogDown) != 0 || p.Faults.Get(PlatformDown) != 0 {
		http.Error(w, "log or platform is down", http.StatusServiceUnavailable)
		return
	}
	batch, _ = p.read(r.PathValue("stream"), mn.Offset(from), limit)
	writeJSON(w, batch)
}

// read returns up to limit entries from an offset on, and a channel that is closed at
// the next append to the stream. A limit of 0 means no limit.
func (p *Platform) read(name string, from mn.Offset, limit int) (mn.LogBatch, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	stream := p.stream(name)
	batch := mn.LogBatch{First: 1, Head: stream.head}
	if len(stream.entries) > 0 {
		batch.First = stream.entries[0].Offset
	}
	i := sort.Search(len(stream.entries), func(i int) bool { return stream.entries[i].Offset >= from })
	batch.Entries = stream.entries[i:]
	if limit > 0 && len(batch.Entries) > limit {
		batch.Entries = batch.Entries[:limit]
	}
	return batch, stream.changed
}

func (p *Platform) handleVMs(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, lockedValue(p, &p.vms))
}

func (p *Platform) handleSetVMs(w http.ResponseWriter, r *http.Request) {
	var vms []mn.VM
	if !readJSON(w, r, &vms) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = vms
}

func (p *Platform) handleFleetOrder(w http.ResponseWriter, r *http.Request) {
	var order mn.FleetOrder
	if !readJSON(w, r, &order) {
		return
	}
	if delay := mn.Millis(p.Faults.Get(FleetSlow)); delay > 0 {
		_ = p.clock.Sleep(r.Context(), delay)
	}
	p.mu.Lock()
	key := string(order.Pool) + "/" + string(order.DataCentre)
	p.fleetStates[key] = mn.FleetState{Pool: order.Pool, DataCentre: order.DataCentre, Target: order.Target, Running: order.Target}
	p.orders = append(p.orders, TimedOrder{order, p.clock.Wall()})
	p.mu.Unlock()
	if p.Faults.Consume(FleetLost) {
		abortResponse()
	}
}

func (p *Platform) handleFleetStates(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	states := []mn.FleetState{}
	for _, s := range p.fleetStates {
		states = append(states, s)
	}
	writeJSON(w, states)
}

func (p *Platform) handleUsage(w http.ResponseWriter, r *http.Request) {
	var usage mn.UsageReport
	if !readJSON(w, r, &usage) {
		return
	}
	p.mu.Lock()
	report := TimedReport{UsageReport: usage, Wall: p.clock.Wall()}
	for _, o := range p.reports {
		if o.Window == usage.Window && !equalReports(o.UsageReport, usage) {
			report.Conflict = true
		}
	}
	p.reports = append(p.reports, report)
	p.mu.Unlock()
	if p.Faults.Consume(UsageLost) {
		abortResponse()
	}
}

func equalReports(a, b mn.UsageReport) bool {
	if a.Marker != b.Marker || len(a.Lines) != len(b.Lines) {
		return false
	}
	for i := range a.Lines {
		if a.Lines[i] != b.Lines[i] {
			return false
		}
	}
	return true
}

// handleWeights reserves the next free time at which weights may be loaded, and
// returns how long the caller has to wait for it.
func (p *Platform) handleWeights(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if p.nextWeightLoad < now {
		p.nextWeightLoad = now
	}
	wait := p.nextWeightLoad - now
	p.nextWeightLoad += weightLoadInterval
	writeJSON(w, map[string]mn.Millis{"wait_ms": wait})
}
