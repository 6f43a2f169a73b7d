//go:build review

// Command stand plays the cases of the review. It starts the fronts as the deploy file
// does, stands in for the platform, the runners and the clients as the users' pages
// describe them, makes the disruption, and checks the rule.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

const (
	zone         = "kutahya"
	plainService = "huvo11a"
	host         = "ficu95.example"
	deadlyPath   = "tainted"
	// crashedFor is how long a runner that crashed is away.
	crashedFor = 3 * time.Second
	stable     = 3 * time.Second
	revokeIn   = 5 * time.Second
)

// world is what a case plays in.
type world struct {
	dir     string
	trouble bool
	started time.Time
	record  *os.File
	store   *store
	fleet   *fleet
	fronts  []*front
	version int
	// connect returns the addresses at which a front finds the store and the receiver of
	// duty calls; if it is nil, it finds them at their own.
	connect func(front, storeAddr string) (store, cloud string, err error)
}

// cases holds the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(*world) (bool, error){
	"crashing-request": crashingRequest,
	"extra-answer":     extraAnswers,
	"late-call":        lateCall,
	"revoked-key":      revokedKey,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, file string) int {
	w := &world{trouble: os.Getenv("TROUBLE") != "0", started: time.Now(), store: newStore()}
	w.fleet = &fleet{store: w.store, extraAt: map[string]string{}}
	var err error
	if w.record, err = os.Create(file); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.record.Close()
	if w.dir, err = os.MkdirTemp("", "review-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(w.dir)
	defer func() {
		for _, f := range w.fronts {
			f.kill()
		}
		if dir := os.Getenv("LOGS"); dir != "" {
			w.keepLogs(dir)
		}
	}()
	broken, err := cases[name](w)
	switch {
	case err != nil:
		w.say("could not run: %v", err)
		return 2
	case broken:
		w.say("the rule was broken")
		return 1
	}
	w.say("the rule held")
	return 0
}

// say writes a line with the time since the start to the record.
func (w *world) say(format string, args ...any) { w.sayAt(time.Now(), format, args...) }

func (w *world) sayAt(at time.Time, format string, args ...any) {
	line := fmt.Sprintf("%9.3f s  ", at.Sub(w.started).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(w.record, line)
	fmt.Println(line)
}

// keepLogs copies the logs of the fronts to dir.
func (w *world) keepLogs(dir string) {
	for _, f := range w.fronts {
		if b, err := os.ReadFile(f.log); err == nil {
			_ = os.WriteFile(filepath.Join(dir, filepath.Base(f.log)), b, 0o600) // Only for whoever reads them.
		}
	}
}

// serve serves h at a free port and returns the address.
func serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }() // It ends with the process.
	return l.Addr().String(), nil
}

// start starts the platform, the runners and the fronts, with a first configuration.
func (w *world) start(runners, fronts int, c config) error {
	storeAddr, err := serve(w.store)
	if err != nil {
		return err
	}
	cloudAddr, err := serve(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // Accepts every report.
	}))
	if err != nil {
		return err
	}
	w.configure(c)
	for range runners {
		if err := w.fleet.start(""); err != nil {
			return err
		}
	}
	for n := range fronts {
		name, store, cloud := fmt.Sprintf("front-%s-%d", zone, n+1), storeAddr, cloudAddr
		if w.connect != nil {
			if store, cloud, err = w.connect(name, storeAddr); err != nil {
				return err
			}
		}
		f, err := newFront(w.dir, name, store, cloud)
		if err != nil {
			return err
		}
		if err := f.start(); err != nil {
			return err
		}
		w.fronts = append(w.fronts, f)
	}
	for _, f := range w.fronts {
		if err := f.awaitReady(); err != nil {
			return err
		}
	}
	w.say("%d fronts and %d runners are ready", fronts, runners)
	return nil
}

// config is what differs between configurations.
type config struct {
	keys []string
	// idleRoutes is how many routes it has that no request uses.
	idleRoutes int
}

// configure writes a configuration as the operator does, and returns when it was
// acknowledged.
func (w *world) configure(c config) time.Time {
	w.version += 3
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{"name": name, "host": host, "prefix": prefix, "kind": kind, "service": plainService, "timeout_ms": 1000,
			"goal_ms": 150, "priority": 2, "attempts": attempts, "public": false, "sticky": false, "resumable": false}
	}
	routes := []any{route("r-look", "/puxa403/", "idempotent", 2), route("r-book", "/pule252/", "non_idempotent", 1)}
	for n := range c.idleRoutes {
		routes = append(routes, route(fmt.Sprintf("r-idle-%05d", n), fmt.Sprintf("/idle%05d/", n), "idempotent", 2))
	}
	value := map[string]any{
		"version": w.version, "routes": routes,
		"services": []any{map[string]any{"name": plainService, "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "huka270", "api_keys": c.keys, "priority": 1, "unit": "token_stream",
			"plain_tokens": 200, "rate_per_s": 600890, "burst": 600890}},
	}
	w.store.put("keyed.op", "config", value)
	acked := time.Now()
	w.sayAt(acked, "configuration %d of %d bytes is acknowledged, keys %v", w.version, len(mustJSON(value)), c.keys)
	return acked
}
