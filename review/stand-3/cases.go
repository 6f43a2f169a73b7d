package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// isBroken reports whether a verdict says that the rule was broken.
func isBroken(verdict string) bool { return strings.HasPrefix(verdict, "broken") }

// cases are the cases by name. Each returns its verdict.
var cases = map[string]func(c *cluster, trouble bool) (string, error){
	"burst":  playBurst,
	"chunks": playChunks,
	"parts":  playParts,
	"plain":  playPlain,
	"shift":  playShift,
	"split":  playSplit,
}

// route describes a route in the configuration.
type route struct {
	prefix, kind string
	services     []string
	attempts     int
}

// writeConfig writes the operator's configuration.
func (c *cluster) writeConfig(version int, routes []route, services []service) error {
	var rs, ss []any
	for i, r := range routes {
		w := map[string]any{"name": fmt.Sprintf("r-%d", i+1), "host": host, "prefix": r.prefix, "kind": r.kind, "timeout_ms": 5000,
			"goal_ms": 300, "priority": 1, "attempts": r.attempts, "public": false, "resumable": false}
		if len(r.services) == 1 {
			w["service"] = r.services[0]
		} else {
			var split []any
			for _, s := range r.services {
				split = append(split, map[string]any{"service": s, "weight": 100 / len(r.services)})
			}
			w["split"] = split
		}
		if r.kind == "streaming" {
			w["gap_aim_ms"], w["sticky"] = 250, true
		}
		rs = append(rs, w)
	}
	for _, s := range services {
		w := map[string]any{"name": s.name, "health_path": "/healthz", "max_conns": 110}
		if s.engine {
			w["engine"] = map[string]any{"capacity": s.capacity, "kv_capacity": 764636, "token_kv_bytes": 18432, "link_mbps": 320000, "stride": 1}
		}
		ss = append(ss, w)
	}
	return c.store.Write("keyed.op", "config", map[string]any{"version": version, "routes": rs, "services": ss,
		"tenants": []any{map[string]any{"name": "tenant-1", "api_keys": []string{key}, "priority": 1, "unit": "token_stream",
			"plain_tokens": 200, "rate_per_s": 600000, "burst": 600000},
			map[string]any{"name": "tenant-2", "api_keys": []string{crowdKey}, "priority": 1, "unit": "token_stream",
				"plain_tokens": 200, "rate_per_s": 600000, "burst": 600000}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
}

// begin starts the platform, the fronts and the runners.
func (c *cluster) begin(routes []route, services []service) error {
	storeAddr, dutiesAddr, err := c.listenPlatform()
	if err != nil {
		return err
	}
	if err := c.writeConfig(1, routes, services); err != nil {
		return err
	}
	for i, s := range services {
		c.serveRunners(s, 30+20*i)
	}
	if err := c.startFronts(2, storeAddr, dutiesAddr); err != nil {
		return err
	}
	if err := c.waitReady(); err != nil {
		return err
	}
	c.sleep(3 * time.Second)
	c.note("the fronts are ready")
	return nil
}

// traffic counts how the requests of clients ended.
type traffic struct {
	c    *cluster
	stop chan struct{}
	wait sync.WaitGroup

	mu     sync.Mutex
	counts map[string]int
	// recent is what has ended since the last call of take.
	recent tally
}

// tally counts requests that have ended: those that succeeded, those that the front answered with
// a 4xx of its own that promises nothing, and those without a whole answer.
type tally struct{ sent, good, denied, broken int }

// take returns what has ended since the last call.
func (t *traffic) take() tally {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.recent
	t.recent = tally{}
	return out
}

func newTraffic(c *cluster) *traffic {
	return &traffic{c: c, stop: make(chan struct{}), counts: map[string]int{}}
}

// every sends the call that next returns at each front in turn, every interval.
func (t *traffic) every(name string, interval time.Duration, next func(n int) call) {
	var clients []*client
	for _, ip := range t.c.ips {
		clients = append(clients, newClient(ip))
	}
	t.wait.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-t.stop:
				return
			case <-time.After(interval):
			}
			t.wait.Go(func() { t.send(name, clients[n%len(clients)], next(n)) })
		}
	})
}

func (t *traffic) send(name string, from *client, k call) {
	o := from.do(k)
	result := fmt.Sprintf("status %d", o.status)
	if o.status == 0 || o.err != nil {
		result = fmt.Sprintf("broken off after status %d", o.status)
	}
	t.mu.Lock()
	t.counts[name+": "+result]++
	t.recent.sent++
	switch {
	case o.good():
		t.recent.good++
	case o.denied():
		t.recent.denied++
	case o.err != nil:
		t.recent.broken++
	}
	t.mu.Unlock()
	t.c.noteRequest(o.id, "client: %s request %s %s %s: %s, sealed %t", name, o.id, k.method, k.path, result, o.sealed)
}

// end stops the sending and writes down the counts.
func (t *traffic) end() {
	close(t.stop)
	t.wait.Wait()
	var lines []string
	for k, n := range t.counts {
		lines = append(lines, fmt.Sprintf("%s %d", k, n))
	}
	slices.Sort(lines)
	t.c.note("answers: %s", strings.Join(lines, "; "))
}

// lateDeadly returns when the crash with the given number was, and the deadly requests that
// reached runners later than stable_ms after it.
func lateDeadly(all []occurrence, crash int) (at int64, late []occurrence) {
	slices.SortStableFunc(all, func(a, b occurrence) int { return int(a.AtMs - b.AtMs) })
	crashes := 0
	for _, o := range all {
		if o.Kind == kindCrash {
			if crashes++; crashes == crash {
				at = o.AtMs
			}
		}
		if at > 0 && o.Kind == kindArrival && o.Deadly && o.AtMs > at+stable {
			late = append(late, o)
		}
	}
	return at, late
}

// judgeDeadly checks that no more than three requests reach runners later than stable_ms after
// the crash with the given number.
func (c *cluster) judgeDeadly(crash int) string {
	all := c.occurrences()
	at, late := lateDeadly(all, crash)
	crashes := 0
	for _, o := range all {
		if o.Kind == kindCrash {
			crashes++
		}
	}
	verdict := "held"
	if len(late) > 3 {
		verdict = "broken"
	}
	where := "never came"
	if at > 0 {
		where = fmt.Sprintf("was at %d ms", c.sinceStart(at))
	}
	return fmt.Sprintf("%s: crash %d %s; %d crashes in all; %d requests reached runners later than %d ms after it, 3 are allowed", verdict, crash, where, crashes, len(late), stable)
}

// mark returns the mark of a deadly request, or another one without trouble.
func mark(trouble bool) string {
	if trouble {
		return deadlyMark
	}
	return "sound001"
}

// playTime, partTime and longPlayTime are how long clients send requests. The pages' day with a part
// that crashes runners has it for partTime.
const playTime, partTime, longPlayTime = 30 * time.Second, 22 * time.Second, 50 * time.Second

// playPlain: a booking crashes each runner that begins to run it, after the first part of its
// answer.
func playPlain(c *cluster, trouble bool) (string, error) {
	services := []service{{name: "records", runners: 5, capacity: 8, flags: []string{"--before", before("part")}}}
	routes := []route{{prefix: "/book/", kind: "non_idempotent", services: []string{"records"}, attempts: 1}}
	if err := c.begin(routes, services); err != nil {
		return "", err
	}
	t := newTraffic(c)
	t.every("sound", 20*time.Millisecond, func(n int) call {
		return call{method: "POST", path: "/book/reel", body: fmt.Sprintf("order %d", n), deadline: 1500 * time.Millisecond}
	})
	t.every("repeated", time.Second, func(int) call {
		return call{method: "POST", path: "/book/reel", body: "order " + mark(trouble), deadline: 1500 * time.Millisecond}
	})
	c.sleep(playTime)
	t.end()
	return c.judgeDeadly(3), nil
}

// playParts: a part of a prompt crashes each engine that begins to write an answer on it.
func playParts(c *cluster, trouble bool) (string, error) {
	services := []service{{name: "models", runners: 6, engine: true, capacity: 64, flags: []string{"--before", before("event")}}}
	routes := []route{{prefix: "/ask/", kind: "streaming", services: []string{"models"}, attempts: 1}}
	if err := c.begin(routes, services); err != nil {
		return "", err
	}
	t := newTraffic(c)
	prompt := func(kind, part string, n int) string { return fmt.Sprintf("aa01:40,%s:30,%s%06x:50", part, kind, n) }
	t.every("sound", 25*time.Millisecond, func(n int) call {
		return call{method: "POST", path: "/ask/colour", body: "question", prompt: prompt("a", fmt.Sprintf("bb%02x", n%5), n), deadline: 3 * time.Second}
	})
	t.every("deadly", 900*time.Millisecond, func(n int) call {
		return call{method: "POST", path: "/ask/colour", body: "question", prompt: prompt("b", mark(trouble), n), deadline: 3 * time.Second}
	})
	c.sleep(partTime)
	t.end()
	return c.judgeDeadly(5), nil
}

// playSplit: a booking crashes each runner that begins to run it, on a route that is split among
// services.
func playSplit(c *cluster, trouble bool) (string, error) {
	var services []service
	var names []string
	for _, n := range []string{"records-a", "records-b", "records-c"} {
		services = append(services, service{name: n, runners: 3, capacity: 8, flags: []string{"--before", before("none")}})
		names = append(names, n)
	}
	routes := []route{{prefix: "/book/", kind: "non_idempotent", services: names, attempts: 1}}
	if err := c.begin(routes, services); err != nil {
		return "", err
	}
	t := newTraffic(c)
	t.every("sound", 20*time.Millisecond, func(n int) call {
		return call{method: "POST", path: "/book/reel", body: fmt.Sprintf("order %d", n), deadline: 1500 * time.Millisecond}
	})
	t.every("repeated", 2500*time.Millisecond, func(int) call {
		return call{method: "POST", path: "/book/reel", body: "order " + mark(trouble), deadline: 1500 * time.Millisecond}
	})
	c.sleep(longPlayTime)
	t.end()
	return c.judgeDeadly(3), nil
}

// before returns what of an answer is sent before a crash: the given part, or what the
// environment asks for.
func before(part string) string {
	if v := os.Getenv("BEFORE"); v != "" {
		return v
	}
	return part
}

// playBurst: many callers with long prompts of short lines come at once.
func playBurst(c *cluster, trouble bool) (string, error) {
	services := []service{{name: "models", runners: 10, engine: true, capacity: 64, flags: []string{"--work", "500ms"}}}
	routes := []route{{prefix: "/ask/", kind: "streaming", services: []string{"models"}, attempts: 1}}
	if err := c.begin(routes, services); err != nil {
		return "", err
	}
	t := newTraffic(c)
	line := strings.Repeat("k", lineLength()-1) + "\n"
	text := strings.Repeat(line, ordinaryBody/len(line))
	ask := func(n int) call {
		return call{method: "POST", path: "/ask/ledger", body: text, prompt: fmt.Sprintf("aa01:40,bb%02x:30,a%06x:50", n%5, n), deadline: 5 * time.Second}
	}
	t.every("usual", time.Second/usualRate, ask)
	c.sleep(calmTime)
	calm := t.take()
	c.note("calm: %+v", calm)
	if trouble {
		t.every("more", time.Second/moreRate, ask)
	}
	c.sleep(burstTime)
	pressed := t.take()
	c.note("burst: %+v", pressed)
	t.end()
	verdict := "held"
	if 500*(pressed.denied-5) > pressed.sent {
		verdict = "broken"
	}
	return fmt.Sprintf("%s: before the burst, of %d requests %d succeeded and %d got a 4xx of the front; in it, of %d %d succeeded, %d got a 4xx and %d no whole answer",
		verdict, calm.sent, calm.good, calm.denied, pressed.sent, pressed.good, pressed.denied, pressed.broken), nil
}

// lineLength returns the length of the lines of a prompt: 8 bytes, or what the environment asks for.
func lineLength() int {
	if n, err := strconv.Atoi(os.Getenv("LINE")); err == nil && n > 0 {
		return n
	}
	return 8
}

const (
	// usualRate is the number of requests a second, and moreRate that of a burst beside them,
	// which makes 1.8 times as many.
	usualRate, moreRate = 110, 88
	burstTime           = 14 * time.Second
)

// playShift: the traffic shifts to prompts of many parts.
func playShift(c *cluster, trouble bool) (string, error) {
	services := []service{{name: "models", runners: 8, engine: true, capacity: 64, flags: []string{"--work", "8ms"}}}
	routes := []route{{prefix: "/ask/", kind: "streaming", services: []string{"models"}, attempts: 1}}
	if err := c.begin(routes, services); err != nil {
		return "", err
	}
	c.sampling = true
	c.note("one request in %d is recorded", sampled)
	t := newTraffic(c)
	var parts atomic.Pointer[string]
	setParts := func(n int) {
		var list []string
		for i := range n {
			list = append(list, fmt.Sprintf("%08x:2", 0xa0000000+i))
		}
		text := strings.Join(list, ",")
		parts.Store(&text)
	}
	setParts(usualParts)
	t.every("usual", time.Second/shiftRate, func(n int) call {
		return call{method: "POST", path: "/ask/ledger", body: "q", prompt: fmt.Sprintf("%s,c%07x:10", *parts.Load(), n), deadline: 5 * time.Second}
	})
	c.sleep(5 * time.Second)
	before, err := c.peakMemory()
	if err != nil {
		return "", err
	}
	if trouble {
		setParts(manyParts)
	}
	peak := before
	for end := time.Now().Add(shiftTime); time.Now().Before(end) && peak <= memoryMB<<20 && c.ctx.Err() == nil; c.sleep(time.Second) {
		if peak, err = c.peakMemory(); err != nil {
			return "", err
		}
		c.note("memory of the front with most: %d MiB", peak>>20)
	}
	got := t.take()
	t.end()
	verdict := "held"
	if peak > memoryMB<<20 {
		verdict = "broken"
	}
	return fmt.Sprintf("%s: the front with most memory took %d MiB before and %d MiB at the end, of %d MiB that it may; %d of %d requests succeeded",
		verdict, before>>20, peak>>20, memoryMB, got.good, got.sent), nil
}

const (
	// usualParts is the number of shared parts of a prompt before the shift, and manyParts after
	// it: their list is shorter than the 16,384 bytes that a head may have.
	usualParts, manyParts = 2, 1300
	// shiftRate is the number of requests a second, and shiftTime how long they are sent.
	shiftRate = 800
	shiftTime = 90 * time.Second
)

// crowdKey is the key of callers that nobody controls.
const crowdKey = "key-review-2"

// playChunks: callers that nobody controls send chunked bodies in very small chunks at once, stop
// just short of their end and stay open, beside ordinary callers with long prompts.
func playChunks(c *cluster, trouble bool) (string, error) {
	services := []service{{name: "models", runners: 4, engine: true, capacity: 64}}
	routes := []route{{prefix: "/ask/", kind: "streaming", services: []string{"models"}, attempts: 1}}
	if err := c.begin(routes, services); err != nil {
		return "", err
	}
	t := newTraffic(c)
	text := strings.Repeat("a question of the usual length of a line in a prompt text\n", ordinaryBody/58)
	t.every("ordinary", 40*time.Millisecond, func(n int) call {
		return call{method: "POST", path: "/ask/ledger", body: text, prompt: fmt.Sprintf("aa01:40,bb%02x:30,a%06x:50", n%5, n), deadline: 3 * time.Second}
	})
	c.sleep(calmTime)
	calm := t.take()
	c.note("calm: %+v", calm)
	var crowd crowd
	if trouble {
		crowd.press(c)
	}
	c.sleep(2 * time.Second)
	t.take()
	c.sleep(crowdTime)
	pressed := t.take()
	c.note("beside the crowd: %+v", pressed)
	t.end()
	crowd.end()
	verdict := "held"
	if all := pressed.sent + int(crowd.opened.Load()); 500*(pressed.denied-5) > all {
		verdict = "broken"
	}
	return fmt.Sprintf("%s: before the crowd, of %d ordinary requests %d succeeded and %d got a 4xx of the front; beside it, of %d %d succeeded, %d got a 4xx and %d no whole answer; the crowd opened %d connections, %d at a time at each front",
		verdict, calm.sent, calm.good, calm.denied, pressed.sent, pressed.good, pressed.denied, pressed.broken, crowd.opened.Load(), crowdSize), nil
}

// calmTime is how long ordinary callers are alone, and crowdTime how long they are observed beside
// the crowd.
const calmTime, crowdTime = 8 * time.Second, 20 * time.Second

const (
	// ordinaryBody is the mean length of the bodies of the site's long prompts, in bytes.
	ordinaryBody = 17_000
	// crowdSize is the number of unfinished bodies at each front.
	crowdSize = 250
	// crowdBody is the length of each body, in bytes.
	crowdBody = 32 << 10
	// crowdPause is the time until a caller whose connection was closed opens another one.
	crowdPause = 500 * time.Millisecond
	// chunkSizes is the number of different sizes of chunks: 1, 2, 4 bytes and so on.
	chunkSizes = 7
)

// crowd is callers that nobody controls.
type crowd struct {
	opened atomic.Int64
	wait   sync.WaitGroup
	stop   context.CancelFunc
}

// press has the crowd send its bodies.
func (k *crowd) press(c *cluster) {
	ctx, cancel := context.WithCancel(c.ctx)
	k.stop = cancel
	for _, ip := range c.ips {
		for i := range crowdSize {
			body := unfinishedBody(chunkSize(i))
			k.wait.Go(func() {
				for ctx.Err() == nil {
					k.sendUnfinished(ctx, ip, body)
					select {
					case <-ctx.Done():
					case <-time.After(crowdPause):
					}
				}
			})
		}
	}
}

func (k *crowd) end() {
	if k.stop != nil {
		k.stop()
	}
	k.wait.Wait()
}

// sendUnfinished sends all of a request but the end of its body, and waits until the front closes
// the connection or ctx ends.
func (k *crowd) sendUnfinished(ctx context.Context, ip, body string) {
	conn, err := net.DialTimeout("tcp", ip+":8360", time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	k.opened.Add(1)
	head := fmt.Sprintf("POST /ask/crowd HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %016x\r\nAuthorization: Bearer %s\r\nX-Deadline-Ms: 30000\r\nTransfer-Encoding: chunked\r\n\r\n",
		host, rand.Uint64(), crowdKey)
	if _, err := io.WriteString(conn, head+body); err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, conn) // Ends when the connection does.
}

// chunkSize returns the size of the chunks of a caller of the crowd: from 1 to 64 bytes, or what
// the environment asks for.
func chunkSize(caller int) int {
	if n, err := strconv.Atoi(os.Getenv("CHUNK")); err == nil && n > 0 {
		return n
	}
	return 1 << (caller % chunkSizes)
}

// unfinishedBody returns a chunked body without its last chunk.
func unfinishedBody(chunk int) string {
	one := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk))
	return strings.Repeat(one, crowdBody/chunk)
}
