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
	// CallMillis is the time a call takes, in milliseconds.
	CallMillis = "call_ms"
	// CrashBefore ends the process before the next call runs.
	CrashBefore = "crash_before"
	// CrashAfter ends the process after the next call ran, before its answer.
	CrashAfter = "crash_after"
	// AnswerLost lets so many calls run without an answer.
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

// Plain is a stand-in for a plain service that keeps a list of its runs. With
// a file it appends each run there too, so that runs outlive the process.
type Plain struct {
	Faults *Faults
	clock  mn.Clock
	file   *os.File

	mu   sync.Mutex
	runs []Run
}

// NewPlain returns a service that appends its runs to file, unless that is nil.
func NewPlain(clock mn.Clock, file *os.File) *Plain {
	return &Plain{
		Faults: NewFaults(CallMillis, CrashBefore, CrashAfter, AnswerLost),
		clock:  clock,
		file:   file,
	}
}

// Handler returns the service's HTTP interface: every path but /fault and
// /admin/runs is a call.
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
	if d := mn.Millis(p.Faults.Get(CallMillis)); d > 0 {
		_ = p.clock.Sleep(r.Context(), d)
	}
	if p.Faults.Consume(CrashAfter) {
		os.Exit(3)
	}
	if p.Faults.Consume(AnswerLost) {
		abortResponse()
	}
	fmt.Fprintf(w, "done %s", body)
}

// recordRun notes the run, as a single write to the file.
func (p *Plain) recordRun(run Run) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs = append(p.runs, run)
	if p.file != nil {
		fmt.Fprintf(p.file, "%s\t%s\t%s\t%q\n", run.ID, run.Customer, run.Path, run.Body)
	}
}
