package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	mn "mustardnotch"
	"mustardnotch/platform/stand"
	"mustardnotch/procs"
)

const (
	host = "review.example"
	zone = "zone-a"
	key  = "key-review-1"
	// heartbeat is the time between two entries of a runner, and silence how long its entry
	// outlives it.
	heartbeat, silence = 1200 * time.Millisecond, 3600 * time.Millisecond
	// restartAfter is how long a runner is away after a crash.
	restartAfter = 2500 * time.Millisecond
	// memoryMB is the memory that a front may take, in MiB.
	memoryMB = 284
	// stable is the bound stable_ms.
	stable = 3000
)

// service describes the runners of a service.
type service struct {
	name     string
	runners  int
	engine   bool
	capacity int64
	// flags are further flags of the runners' processes.
	flags []string
}

// cluster is fronts, runners and the platform of a small deployment.
type cluster struct {
	dir     string
	bin     string
	subnet  string
	record  *os.File
	store   *stand.Store
	duties  *stand.Duties
	fronts  []*procs.Proc
	ips     []string
	ctx     context.Context
	cancel  context.CancelFunc
	workers sync.WaitGroup

	// sampling is set if only one request in sampled is recorded.
	sampling bool

	mu    sync.Mutex
	seen  []occurrence
	start time.Time
}

func newCluster(bin, recordFile string) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	return &cluster{dir: dir, bin: bin, record: record, store: stand.NewStore(), duties: &stand.Duties{}, ctx: ctx, cancel: cancel, start: time.Now()}, nil
}

// note writes a line to the record.
func (c *cluster) note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, "%8d ms  %s\n", time.Since(c.start).Milliseconds(), fmt.Sprintf(format, args...))
}

// sampled is the number of requests of which one is recorded where there are many.
const sampled = 200

// noteRequest writes a line about a request to the record.
func (c *cluster) noteRequest(id, format string, args ...any) {
	if n, err := strconv.ParseUint(id, 16, 64); c.sampling && (err != nil || n%sampled != 0) {
		return
	}
	c.note(format, args...)
}

// sinceStart returns a time of day as milliseconds since the start.
func (c *cluster) sinceStart(atMs int64) int64 { return atMs - c.start.UnixMilli() }

// listenPlatform starts the store and the receiver of duty calls.
func (c *cluster) listenPlatform() (storeAddr, dutiesAddr string, err error) {
	l, err := c.listenFree()
	if err != nil {
		return "", "", err
	}
	storeAddr, dutiesAddr = l.Addr().String(), c.subnet+".1:8362"
	c.serve(l, c.store)
	if l, err = net.Listen("tcp", dutiesAddr); err != nil {
		return "", "", err
	}
	c.serve(l, c.duties.Handler(mn.NewSystemClock()))
	return storeAddr, dutiesAddr, nil
}

// listenFree chooses a loopback subnet that no other case uses, and returns the listener of its
// store.
func (c *cluster) listenFree() (l net.Listener, err error) {
	for range 20 {
		c.subnet = fmt.Sprintf("127.%d.%d", 50+rand.IntN(150), 1+rand.IntN(250))
		if l, err = net.Listen("tcp", c.subnet+".1:8361"); err == nil {
			return l, nil
		}
	}
	return nil, err
}

func (c *cluster) serve(l net.Listener, h http.Handler) {
	server := &http.Server{Handler: h}
	go server.Serve(l)
	context.AfterFunc(c.ctx, func() { server.Close() })
}

// startFronts starts the fronts with the command of the deploy file.
func (c *cluster) startFronts(n int, storeAddr, dutiesAddr string) error {
	bounds := stand.Bounds{RevokeWithin: 5000, DrainWithin: 2000, DutyLease: 3000, GracePeriod: 8000, QuotaWindow: 8000,
		UsageWindow: 5000, UsageReportWithin: 10000, QuotaTolerance: 0.1, QuotaSlack: 190000, RetryRatio: 0.2, RetrySlack: 56,
		RetryWindow: 10000, MemoryMB: memoryMB}
	for i := range n {
		ip, vm := fmt.Sprintf("%s.%d", c.subnet, 10+i), mn.VMID(fmt.Sprintf("front-%d", i+1))
		file := filepath.Join(c.dir, string(vm)+".conf")
		text := stand.Settings(vm, zone, ip, 8360, 8365, 7500, storeAddr, dutiesAddr, bounds)
		if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
			return err
		}
		os.Setenv("MUSTARDNOTCH_NODE_FILE", file)
		p, err := procs.Start(c.dir, string(vm), c.bin, "front")
		if err != nil {
			return err
		}
		c.fronts, c.ips = append(c.fronts, p), append(c.ips, ip)
	}
	return nil
}

// peakMemory returns the most memory that a front has taken so far, in bytes.
func (c *cluster) peakMemory() (int64, error) {
	var most int64
	for _, p := range c.fronts {
		n, err := p.PeakMemory()
		if err != nil {
			return 0, err
		}
		most = max(most, n)
	}
	return most, nil
}

// waitReady waits until all fronts answer their readiness checks with 200.
func (c *cluster) waitReady() error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, ip := range c.ips {
			resp, err := http.Get("http://" + ip + ":8365/readyz")
			if err != nil {
				continue
			}
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(c.ips) {
			return nil
		}
	}
	return errors.New("the fronts do not become ready")
}

// serveRunners keeps the runners of a service running until the cluster ends: one that has
// crashed is started again.
func (c *cluster) serveRunners(s service, firstIP int) {
	for i := range s.runners {
		c.workers.Add(1)
		go func() {
			defer c.workers.Done()
			addr := fmt.Sprintf("%s.%d:8080", c.subnet, firstIP+i)
			for run := 1; c.ctx.Err() == nil; run++ {
				id := fmt.Sprintf("%s-%d-run%d", s.name, i+1, run)
				if err := c.runOnce(s, id, addr); err != nil && c.ctx.Err() == nil {
					c.note("runner %s: %v", id, err)
				}
				c.sleep(restartAfter)
			}
		}()
	}
}

func (c *cluster) sleep(d time.Duration) {
	select {
	case <-c.ctx.Done():
	case <-time.After(d):
	}
}

// runOnce runs one run of a runner, with its entry in the store, until its process ends.
func (c *cluster) runOnce(s service, id, addr string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	args := append([]string{"runner", "--id", id, "--addr", addr, "--capacity", fmt.Sprint(s.capacity)}, s.flags...)
	if s.engine {
		args = append(args, "--engine")
	}
	cmd := exec.CommandContext(c.ctx, self, args...)
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	cmd.Stderr = os.Stderr
	// A runner ends when its standard input does, so that none outlives this process.
	in, err := cmd.StdinPipe()
	if err != nil {
		return err
	}
	defer in.Close()
	entry := mn.Endpoint{ID: mn.EndpointID(id), Pool: mn.PoolID(s.name), Addr: addr, DataCentre: zone, Capacity: s.capacity,
		State: mn.EndpointReady, StartedAt: mn.Millis(time.Now().UnixMilli())}
	if s.engine {
		entry.Role = mn.EngineDecode
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go c.beat(entry, ended)
	c.readOccurrences(out)
	err = cmd.Wait()
	close(ended)
	return err
}

// beat writes the runner's entries while it runs, and removes the last one when it has been
// silent for long enough. A runner that starts again has another id.
func (c *cluster) beat(entry mn.Endpoint, ended chan struct{}) {
	for {
		entry.Heartbeat++
		if err := c.store.WriteEndpoint(entry); err != nil {
			c.note("entry of %s: %v", entry.ID, err)
		}
		select {
		case <-time.After(heartbeat):
			continue
		case <-ended:
		}
		c.sleep(silence)
		if err := c.store.DropEndpoint(entry.ID); err != nil {
			c.note("entry of %s: %v", entry.ID, err)
		}
		return
	}
}

func (c *cluster) readOccurrences(in io.Reader) {
	for lines := bufio.NewScanner(in); lines.Scan(); {
		var o occurrence
		if json.Unmarshal(lines.Bytes(), &o) != nil {
			continue
		}
		c.mu.Lock()
		c.seen = append(c.seen, o)
		c.mu.Unlock()
		c.noteRequest(o.Request, "runner %s: %s of request %s, deadly %t", o.Runner, o.Kind, o.Request, o.Deadly)
	}
}

// occurrences returns what the runners have told so far.
func (c *cluster) occurrences() []occurrence {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]occurrence(nil), c.seen...)
}

// close ends all processes.
func (c *cluster) close() {
	c.cancel()
	for _, p := range c.fronts {
		p.Kill()
	}
	c.workers.Wait()
	c.record.Close()
	os.RemoveAll(c.dir)
}
