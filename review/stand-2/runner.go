package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// runner is a stand-in for a model runner or a plain service. It echoes request ids, signs its
// answers, rejects requests for other instances, and serves one request at a time on a connection.
type runner struct {
	id string
	// unframed answers have neither a length nor chunks and end with their connection.
	unframed bool
	events   int
	gap      time.Duration
	work     time.Duration
	// failStatus answers the given share of requests after they have run, until failUntil after
	// the first request.
	failStatus int
	failShare  float64
	failTime   time.Duration
	failOnce   sync.Once
	failUntil  time.Time
	// deadly is the body of the request that crashes the runner, empty for none.
	deadly string

	out   sync.Mutex
	busy  sync.WaitGroup
	slots chan struct{}
}

func serveRunner(args []string) {
	r := &runner{}
	f := flag.NewFlagSet("runner", flag.ExitOnError)
	addr := f.String("addr", "", "address to listen at")
	capacity := f.Int("capacity", 64, "requests at once")
	f.StringVar(&r.id, "id", "", "id of the runner")
	f.BoolVar(&r.unframed, "unframed", false, "answers end with their connection")
	f.IntVar(&r.events, "events", 0, "events of a stream, 0 for a plain service")
	f.DurationVar(&r.gap, "gap", 100*time.Millisecond, "time between two events")
	f.DurationVar(&r.work, "work", 30*time.Millisecond, "time that a request runs")
	f.IntVar(&r.failStatus, "fail-status", 0, "status of failures")
	f.StringVar(&r.deadly, "deadly", "", "body of the request that crashes the runner")
	f.DurationVar(&r.failTime, "fail-time", 0, "time from the first request for which requests fail")
	f.Float64Var(&r.failShare, "fail-share", 0, "share of requests that fail after they have run")
	if err := f.Parse(args); err != nil {
		os.Exit(exitNotRun)
	}
	r.slots = make(chan struct{}, *capacity)
	l, err := net.Listen("tcp", *addr)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	r.print("listens")
	// A runner that leaves lets what runs end, and then exits.
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM)
	go func() {
		<-term
		_ = l.Close()
		r.busy.Wait()
		os.Exit(0)
	}()
	for {
		c, err := l.Accept()
		if err != nil {
			select {} // The process ends once nothing runs any more.
		}
		go r.serve(c)
	}
}

func (r *runner) print(format string, args ...any) {
	r.out.Lock()
	defer r.out.Unlock()
	fmt.Printf(format+"\n", args...)
}

func (r *runner) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if !r.answer(c, req, string(body)) {
			return
		}
	}
}

// answer answers a request and reports whether the connection stays open.
func (r *runner) answer(c net.Conn, req *http.Request, body string) bool {
	id := req.Header.Get("X-Request-Id")
	head := "X-Request-Id: " + id + "\r\nKeep-Alive: timeout=5\r\n"
	short := func(status int, more, body string) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%s%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), head, more, len(body), body)
		return err == nil
	}
	want := req.Header.Get("X-Expect-Instance")
	switch {
	case req.URL.Path == "/healthz":
		return short(200, "X-Instance-Id: "+r.id+"\r\n", "")
	case want != "" && want != r.id:
		return short(421, "X-Instance-Id: "+r.id+"\r\n", "")
	case req.URL.Path == "/kv-list":
		return short(200, "Content-Type: application/json\r\n", `{"epoch":1,"next_token":0,"held":[]}`)
	case id == "":
		return short(400, "X-Not-Run: 1\r\n", "")
	}
	select {
	case r.slots <- struct{}{}:
		defer func() { <-r.slots }()
	default:
		return short(503, "X-Not-Run: 1\r\n", "")
	}
	r.busy.Add(1)
	defer r.busy.Done()
	r.print("run %s", id)
	head += "X-Server-Seal: " + r.id + "." + id + "\r\n"
	if r.events > 0 {
		return r.stream(c, req, head)
	}
	time.Sleep(r.work)
	if r.deadly != "" && body == r.deadly {
		os.Exit(exitBroken) // The system closes all connections.
	}
	r.failOnce.Do(func() { r.failUntil = time.Now().Add(r.failTime) })
	if time.Now().Before(r.failUntil) && rand.Float64() < r.failShare {
		r.print("fail %s with status %d", id, r.failStatus)
		return short(r.failStatus, "", "failed\n")
	}
	return short(200, "", "done "+id)
}

// stream sends the events after the one that the caller has.
func (r *runner) stream(c net.Conn, req *http.Request, head string) bool {
	last, err := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	if err != nil {
		last = 0
	}
	framing := "Transfer-Encoding: chunked\r\n"
	if r.unframed {
		framing = ""
	}
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n%s\r\n", head, framing); err != nil {
		return false
	}
	for n := last + 1; n <= r.events; n++ {
		time.Sleep(r.gap)
		event := fmt.Sprintf("id: %d\ndata: token %d of %d\n\n", n, n, r.events)
		if !r.unframed {
			event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		if _, err := io.WriteString(c, event); err != nil {
			return false
		}
	}
	if r.unframed {
		return false
	}
	_, err = io.WriteString(c, "0\r\n\r\n")
	return err == nil
}
