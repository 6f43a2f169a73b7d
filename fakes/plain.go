package fakes

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"

	mn "mustardnotch"
)

// Faults of the plain service.
const (
	// CallMillis is the time in milliseconds that a call takes.
	CallMillis = "call_ms"
	// CrashBefore ends the process before the next call runs.
	CrashBefore = "crash_before"
	// CrashAfter ends the process after the next call ran, before its response.
	CrashAfter = "crash_after"
	// AnswerLost is the number of calls that run but get no response.
	AnswerLost = "answer_lost"
)

// Run is one call that a plain service ran.
type Run struct {
	ID       string `json:"id"`
	Customer string `json:"customer"`
	Path     string `json:"path"`
	Body     string `json:"body"`
	Headers  string `json:"headers"`
}

// Plain is a stand-in for a plain service. It records every call that it runs in
// memory and, if it has a file, there too, so that the record outlives the process.
// It records a call when the call starts, so calls that a crash ends are recorded too.
type Plain struct {
	Faults *Faults
	clock  mn.Clock
	file   *os.File

	mu   sync.Mutex
	runs []Run
}

// NewPlain returns a service that appends its runs to file, unless file is nil.
func NewPlain(clock mn.Clock, file *os.File) *Plain {
	return &Plain{
		Faults: NewFaults(CallMillis, CrashBefore, CrashAfter, AnswerLost),
		clock:  clock,
		file:   file,
	}
}

// Handler returns the service's HTTP interface. A POST to any path except /fault
// is a call. For tests, GET /admin/runs lists the calls that ran.
func (p *Plain) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /fault", p.Faults)
	mux.HandleFunc("GET /admin/runs", func(w http.ResponseWriter, _ *http.Request) {
		p.mu.Lock()
		defer p.mu.Unlock()
		writeJSON(w, p.runs)
	})
	mux.HandleFunc("POST /", p.handleCall)
	return mux
}

func (p *Plain) handleCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if p.Faults.Consume(CrashBefore) {
		os.Exit(3)
	}
	run := Run{
		ID:       r.Header.Get("X-Request-Id"),
		Customer: r.Header.Get("X-Customer"),
		Path:     r.URL.Path,
		Body:     string(body),
		Headers:  fmt.Sprint(r.Header),
	}
	p.recordRun(run)
	if delay := mn.Millis(p.Faults.Get(CallMillis)); delay > 0 {
		_ = p.clock.Sleep(r.Context(), delay)
	}
	if p.Faults.Consume(CrashAfter) {
		os.Exit(3)
	}
	if p.Faults.Consume(AnswerLost) {
		abortResponse()
	}
	fmt.Fprintf(w, "done %s", body)
}

// recordRun records the run, in the file with a single write.
func (p *Plain) recordRun(run Run) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs = append(p.runs, run)
	if p.file != nil {
		fmt.Fprintf(p.file, "%s\t%s\t%s\t%q\n", run.ID, run.Customer, run.Path, run.Body)
	}
}
