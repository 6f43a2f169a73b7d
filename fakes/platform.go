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

// Faults of the platform. Values in milliseconds or counts of calls.
const (
	// LogDown refuses all calls of the log while it is not 0.
	LogDown = "log_down"
	// LogSlow delays all calls of the log, in milliseconds.
	LogSlow = "log_slow_ms"
	// AppendLost lets so many appends take effect without an answer.
	AppendLost = "append_lost"
	// AppendDropped loses so many appends without effect or answer.
	AppendDropped = "append_dropped"
	// UsageLost lets so many usage reports take effect without an answer.
	UsageLost = "usage_lost"
	// FleetLost lets so many fleet orders take effect without an answer.
	FleetLost = "fleet_lost"
	// PlatformDown refuses every call while it is not 0.
	PlatformDown = "platform_down"
	// LogRetention bounds the records that a stream keeps, 0 for no bound.
	LogRetention = "log_keep"
	// FleetSlow delays fleet orders before they take effect, in milliseconds.
	FleetSlow = "fleet_slow_ms"
)

// weightLoadInterval is the span between loads that the weight store allows.
const weightLoadInterval = 500 * mn.Millisecond

// stream is one stream of the platform's log.
type stream struct {
	entries []mn.LogEntry
	head    mn.Offset
	changed chan struct{}
}

// TimedOrder is a fleet order with the time at which it took effect.
type TimedOrder struct {
	mn.FleetOrder
	Wall mn.Millis `json:"wall"`
}

// TimedReport is a usage report with the time at which it came in.
type TimedReport struct {
	mn.UsageReport
	Wall mn.Millis `json:"wall"`
	// Conflict says that an earlier report of the window had other figures.
	Conflict bool `json:"conflict"`
}

// Platform is a stand-in for the platform's service.
type Platform struct {
	Faults *Faults
	clock  mn.Clock

	mu             sync.Mutex
	streams        map[mn.Stream]*stream
	vms            []mn.VM
	targets        map[string]mn.FleetState
	orders         []TimedOrder
	reports        []TimedReport
	nextWeightLoad mn.Millis
	appends        int64
}

// NewPlatform returns an empty platform.
func NewPlatform(clock mn.Clock) *Platform {
	return &Platform{
		Faults:  NewFaults(LogDown, LogSlow, AppendLost, AppendDropped, UsageLost, FleetLost, PlatformDown, LogRetention, FleetSlow),
		clock:   clock,
		streams: map[mn.Stream]*stream{},
		targets: map[string]mn.FleetState{},
	}
}

// Handler returns the platform's HTTP interface. Paths below /admin are for
// tests: they read what took effect and set the list of VMs.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /fault", p.Faults)
	mux.HandleFunc("POST /log/{stream}", p.logHandler(p.handleAppend))
	mux.HandleFunc("GET /log/{stream}", p.logHandler(p.handleRead))
	mux.HandleFunc("GET /vms", p.apiHandler(p.handleVMs))
	mux.HandleFunc("POST /fleet", p.apiHandler(p.handleOrder))
	mux.HandleFunc("GET /fleet", p.apiHandler(p.handleStates))
	mux.HandleFunc("POST /usage", p.apiHandler(p.handleUsage))
	mux.HandleFunc("POST /weights", p.apiHandler(p.handleWeights))
	mux.HandleFunc("PUT /admin/vms", p.handleSetVMs)
	mux.HandleFunc("GET /admin/orders", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, lockedValue(p, &p.orders)) })
	mux.HandleFunc("GET /admin/usage", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, lockedValue(p, &p.reports)) })
	mux.HandleFunc("GET /admin/appends", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, lockedValue(p, &p.appends)) })
	return mux
}

func lockedValue[T any](p *Platform, v *T) T {
	p.mu.Lock()
	defer p.mu.Unlock()
	return *v
}

func (p *Platform) apiHandler(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if p.Faults.Get(PlatformDown) != 0 {
			http.Error(w, "platform is down", http.StatusServiceUnavailable)
			return
		}
		h(w, r)
	}
}

func (p *Platform) logHandler(h http.HandlerFunc) http.HandlerFunc {
	return p.apiHandler(func(w http.ResponseWriter, r *http.Request) {
		if d := mn.Millis(p.Faults.Get(LogSlow)); d > 0 {
			_ = p.clock.Sleep(r.Context(), d)
		}
		if p.Faults.Get(LogDown) != 0 {
			http.Error(w, "log is down", http.StatusServiceUnavailable)
			return
		}
		h(w, r)
	})
}

func (p *Platform) stream(name string) *stream {
	s, ok := p.streams[mn.Stream(name)]
	if !ok {
		s = &stream{changed: make(chan struct{})}
		p.streams[mn.Stream(name)] = s
	}
	return s
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
	off := p.Append(r.PathValue("stream"), data)
	if p.Faults.Consume(AppendLost) {
		abortResponse()
	}
	writeJSON(w, map[string]mn.Offset{"offset": off})
}

// Append adds data to a stream and returns its offset.
func (p *Platform) Append(name string, data []byte) mn.Offset {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stream(name)
	s.head++
	p.appends++
	s.entries = append(s.entries, mn.LogEntry{Offset: s.head, Data: data})
	if retention := int(p.Faults.Get(LogRetention)); retention > 0 && len(s.entries) > retention {
		s.entries = append([]mn.LogEntry(nil), s.entries[len(s.entries)-retention:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.head
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
		http.Error(w, "log is down", http.StatusServiceUnavailable)
		return
	}
	batch, _ = p.read(r.PathValue("stream"), mn.Offset(from), limit)
	writeJSON(w, batch)
}

func (p *Platform) read(name string, from mn.Offset, limit int) (mn.LogBatch, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stream(name)
	batch := mn.LogBatch{First: 1, Head: s.head}
	if len(s.entries) > 0 {
		batch.First = s.entries[0].Offset
	}
	i := sort.Search(len(s.entries), func(i int) bool { return s.entries[i].Offset >= from })
	batch.Entries = s.entries[i:]
	if limit > 0 && len(batch.Entries) > limit {
		batch.Entries = batch.Entries[:limit]
	}
	return batch, s.changed
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

func (p *Platform) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order mn.FleetOrder
	if !readJSON(w, r, &order) {
		return
	}
	if d := mn.Millis(p.Faults.Get(FleetSlow)); d > 0 {
		_ = p.clock.Sleep(r.Context(), d)
	}
	p.mu.Lock()
	key := string(order.Pool) + "/" + string(order.DataCentre)
	p.targets[key] = mn.FleetState{Pool: order.Pool, DataCentre: order.DataCentre, Target: order.Target, Running: order.Target}
	p.orders = append(p.orders, TimedOrder{order, p.clock.Wall()})
	p.mu.Unlock()
	if p.Faults.Consume(FleetLost) {
		abortResponse()
	}
}

func (p *Platform) handleStates(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	states := []mn.FleetState{}
	for _, s := range p.targets {
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
