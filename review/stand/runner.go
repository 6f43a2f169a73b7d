//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// beat is how often a runner writes its entry. The store drops the entry after three
	// beats of silence.
	beat = 1200 * time.Millisecond
	// slots and queued are how many requests a runner works on and lets wait, and work
	// how long it works on one: the figures of the sheet.
	slots, queued = 6, 24
	work          = 30 * time.Millisecond
)

// run is a request that reached a runner.
type run struct {
	at     time.Time
	id     string
	runner string
	path   string
	tenant string
}

// fleet is all runners of the plain service, and what they ran.
type fleet struct {
	store *store

	mu    sync.Mutex
	next  int
	runs  []run
	crash []time.Time
	// extra is the share of the answers of the first faulty runners after which an extra
	// answer follows late, 0 for none. extras is how many have followed.
	extra  float64
	faulty int
	extras []time.Time
	// extraAt holds the requests where an extra answer arrived, and the runner.
	extraAt map[string]string
}

// runner is one incarnation of a runner.
type runner struct {
	*fleet
	id      string
	addr    string
	born    int64
	server  *http.Server
	slots   chan struct{}
	waiting chan struct{}
	stop    chan struct{}
	once    sync.Once
	number  int
}

// connection is a connection to a runner.
type connection struct {
	net.Conn
	// extra means that an extra answer follows where the next one is expected.
	extra atomic.Bool
	// last is the id of the last request that was answered on it.
	last string
}

// connectionKey is the key of the connection in the context of a request.
type connectionKey struct{}

// start starts a runner at addr, or at a free port if addr is empty.
func (f *fleet) start(addr string) error {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.next++
	id, n := fmt.Sprintf("i-%04d", f.next), f.next
	f.mu.Unlock()
	r := &runner{fleet: f, id: id, addr: l.Addr().String(), born: time.Now().UnixMilli(),
		slots: make(chan struct{}, slots), waiting: make(chan struct{}, slots+queued), stop: make(chan struct{}), number: n}
	r.server = &http.Server{Handler: r, IdleTimeout: 10 * time.Second, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, &connection{Conn: c})
	}}
	go func() { _ = r.server.Serve(l) }() // It ends when the runner ends.
	go r.writeEntries()
	return nil
}

// writeEntries writes the runner's entry every beat, and drops it three beats after the
// runner's end.
func (r *runner) writeEntries() {
	for n := 1; ; n++ {
		r.store.put("keyed.servers", r.id, map[string]any{"service": plainService, "address": r.addr, "zone": zone, "version": "v1",
			"capacity": slots, "state": "ready", "cold_left_ms": 0, "sequence": n, "born": r.born})
		select {
		case <-time.After(beat):
		case <-r.stop:
			time.Sleep(3 * beat)
			r.store.put("keyed.servers", r.id, nil)
			return
		}
	}
}

// end ends the runner as a crash of its process does: it closes its sockets at once.
func (r *runner) end() {
	r.once.Do(func() {
		r.mu.Lock()
		r.crash = append(r.crash, time.Now())
		r.mu.Unlock()
		close(r.stop)
		r.server.Close()
		go func() {
			time.Sleep(crashedFor)
			_ = r.fleet.start(r.addr) // Without it, the service has one runner less.
		}()
	})
}

// ServeHTTP implements [http.Handler].
func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	c := q.Context().Value(connectionKey{}).(*connection)
	if c.extra.Swap(false) {
		r.sendExtra(c, q.Header.Get("X-Request-Id"))
	}
	h, id := w.Header(), q.Header.Get("X-Request-Id")
	h.Set("X-Request-Id", id)
	h.Set("Keep-Alive", "timeout=10")
	if want := q.Header.Get("X-Expect-Instance"); want != "" && want != r.id {
		h.Set("X-Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case r.waiting <- struct{}{}:
		defer func() { <-r.waiting }()
	default:
		h.Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.slots <- struct{}{}
	defer func() { <-r.slots }()
	r.mu.Lock()
	r.runs = append(r.runs, run{time.Now(), id, r.id, q.URL.Path, q.Header.Get("X-Tenant")})
	r.mu.Unlock()
	if strings.Contains(q.URL.Path, deadlyPath) {
		r.end()
		panic(http.ErrAbortHandler)
	}
	time.Sleep(work)
	answer := "answer to " + id + " " + string(body)
	h.Set("X-Server-Seal", "seal."+r.id+"."+id)
	h.Set("X-Instance-Load", fmt.Sprintf("%d,%d,%d", len(r.slots), max(0, len(r.waiting)-len(r.slots)), slots))
	h.Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer) // The front may have gone.
	r.mu.Lock()
	defer r.mu.Unlock()
	c.last = id
	if r.number <= r.faulty && rand.Float64() < r.extra {
		c.extra.Store(true)
	}
}

// sendExtra sends bytes that belong to no request where the answer to request id is
// expected: an answer as a runner sheds a request, which `fleetbench wire` shows so. With
// EXTRA=id it bears the id of the request that was answered before.
func (r *runner) sendExtra(c *connection, id string) {
	answer := "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n"
	if os.Getenv("EXTRA") == "id" {
		answer += "X-Request-Id: " + c.last + "\r\n"
	}
	if _, err := io.WriteString(c.Conn, answer+"\r\n"); err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.extras = append(r.extras, time.Now())
	r.extraAt[id] = r.id
}

// setExtra has the first faulty runners send an extra answer after a share of theirs.
func (f *fleet) setExtra(faulty int, share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faulty, f.extra = faulty, share
}

// all returns what the runners ran, and when they crashed.
func (f *fleet) all() (runs []run, crashes []time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append(runs, f.runs...), append(crashes, f.crash...)
}
