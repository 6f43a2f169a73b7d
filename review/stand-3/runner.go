package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// deadlyMark stands in the body, or among the segments of the prompt, of a request that
// crashes the runners that run it.
const deadlyMark = "dead0001"

// occurrence is a line that a runner writes to its standard output.
type occurrence struct {
	Kind    string `json:"kind"`
	Runner  string `json:"runner"`
	Request string `json:"request"`
	// Deadly reports whether the request crashes runners.
	Deadly bool `json:"deadly"`
	// AtMs is the time of day in milliseconds.
	AtMs int64 `json:"at_ms"`
}

// Kinds of occurrences.
const (
	kindArrival = "arrival"
	kindRun     = "run"
	kindCrash   = "crash"
)

// runner is a stand-in for a runner of the users' platform.
type runner struct {
	id       string
	engine   bool
	capacity int64
	work     time.Duration
	// before is what of an answer is on its way when a deadly request crashes the runner:
	// "none", "head", "part" or "event".
	before string

	running atomic.Int64
	mu      sync.Mutex
}

func runRunner(args []string) error {
	r := &runner{}
	f := flag.NewFlagSet("runner", flag.ContinueOnError)
	addr := f.String("addr", "", "listening address")
	f.StringVar(&r.id, "id", "", "id of this run")
	f.BoolVar(&r.engine, "engine", false, "model engine that generates")
	f.Int64Var(&r.capacity, "capacity", 8, "requests at once")
	f.DurationVar(&r.work, "work", 30*time.Millisecond, "time for a request")
	f.StringVar(&r.before, "before", "none", "what of an answer is sent before a crash")
	if err := f.Parse(args); err != nil {
		return err
	}
	l, err := net.Listen("tcp", *addr)
	if err != nil {
		return err
	}
	go func() {
		// The other process holds this end open for as long as it runs.
		_, _ = io.Copy(io.Discard, os.Stdin)
		os.Exit(0)
	}()
	return (&http.Server{Handler: r}).Serve(l)
}

// tell writes an occurrence.
func (r *runner) tell(kind string, q *http.Request, deadly bool) {
	line, err := json.Marshal(occurrence{Kind: kind, Runner: r.id, Request: q.Header.Get("X-Request-Id"), Deadly: deadly,
		AtMs: time.Now().UnixMilli()})
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Println(string(line))
}

// ServeHTTP implements [http.Handler].
func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	h := w.Header()
	id := q.Header.Get("X-Request-Id")
	if id != "" {
		h.Set("X-Request-Id", id)
	}
	h.Set("X-Instance-Id", r.id)
	h.Set("Keep-Alive", "timeout=5")
	if want := q.Header.Get("X-Expect-Instance"); want != "" && want != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if q.URL.Path == "/kv-list" {
		h.Set("Content-Type", "application/json")
		io.WriteString(w, `{"epoch":1,"next_token":0,"held":[]}`)
		return
	}
	if q.Method == http.MethodDelete || q.URL.Path == "/healthz" {
		w.WriteHeader(http.StatusOK)
		return
	}
	deadly := strings.Contains(string(body), deadlyMark) || strings.Contains(q.Header.Get("X-Prompt-Prefix"), deadlyMark)
	r.tell(kindArrival, q, deadly)
	full := r.running.Add(1) > r.capacity
	defer r.running.Add(-1)
	if full {
		h.Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.tell(kindRun, q, deadly)
	h.Set("X-Server-Seal", r.id+"."+id)
	if r.engine {
		r.stream(w, q, deadly)
		return
	}
	r.answer(w, q, deadly)
}

// crash ends the process as a fault of its own would.
func (r *runner) crash(q *http.Request) {
	r.tell(kindCrash, q, true)
	os.Exit(3)
}

// answer answers a plain request. It sends the head and the first half as soon as it has them.
func (r *runner) answer(w http.ResponseWriter, q *http.Request, deadly bool) {
	text := "answer to " + q.Header.Get("X-Request-Id") + strings.Repeat(".", 760)
	w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	time.Sleep(r.work / 2)
	if deadly && r.before == "none" {
		r.crash(q)
	}
	io.WriteString(w, text[:len(text)/2])
	if http.NewResponseController(w).Flush() != nil {
		return
	}
	time.Sleep(r.work / 2)
	if deadly {
		r.crash(q)
	}
	io.WriteString(w, text[len(text)/2:])
}

// events is the number of events of a stream.
const events = 9

// stream answers a request with a stream of events.
func (r *runner) stream(w http.ResponseWriter, q *http.Request, deadly bool) {
	flush := http.NewResponseController(w).Flush
	time.Sleep(r.work)
	if deadly && r.before == "none" {
		r.crash(q)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	if flush() != nil {
		return
	}
	if deadly && r.before == "head" {
		time.Sleep(r.work)
		r.crash(q)
	}
	var last int
	fmt.Sscan(q.Header.Get("Last-Event-Id"), &last)
	for n := last + 1; n <= events; n++ {
		fmt.Fprintf(w, "id: %d\ndata: token %d of %s\n\n", n, n, q.Header.Get("X-Request-Id"))
		if flush() != nil || q.Context().Err() != nil {
			return
		}
		if deadly {
			time.Sleep(5 * time.Millisecond)
			r.crash(q)
		}
		time.Sleep(r.work / 2)
	}
}
