package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	mn "mustardnotch"
	"mustardnotch/platform/stand"
	"mustardnotch/procs"
)

const (
	host      = "review.example"
	storePort = 8361
	callPort  = 8360
	readyPort = 8365
	peerPort  = 7500
	servePort = 8080
	// heartbeat is the time between two entries of a runner in the store.
	heartbeat = 1200 * time.Millisecond
	// drainMs is the bound of the settings, in milliseconds.
	drainMs = 2000
)

// site is a small deployment: the platform's stand-ins, fronts and runners.
type site struct {
	trouble bool
	program string
	dir     string
	subnet  string
	began   time.Time
	store   *stand.Store
	duties  *stand.Duties
	record  *bufio.Writer
	file    *os.File

	mu      sync.Mutex
	fronts  []*exec.Cmd
	runners map[string]*runnerProc
	// starts holds the starts of runners that are due.
	starts chan func() error
	// runs counts how often each request ran, by its id.
	runs map[string]int
	// restartAfter is how long after a crash a runner is back, 0 if it stays away.
	restartAfter time.Duration
	// links holds the links to the runners by their number, if they are reached over links.
	links map[int]*procs.Link
	// broken holds what broke the rule.
	broken []string
}

// runnerProc is a runner as a process.
type runnerProc struct {
	cmd   *exec.Cmd
	entry mn.Endpoint
	ended chan struct{}
	// listed is set while the runner keeps its entry in the store.
	listed bool
}

func newSite(record, front string, trouble bool) (*site, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	program, err := filepath.Abs(front)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	pid := os.Getpid()
	s := &site{
		trouble: trouble, program: program, dir: dir, began: time.Now(), store: stand.NewStore(), duties: &stand.Duties{},
		record: bufio.NewWriter(f), file: f, runners: map[string]*runnerProc{}, runs: map[string]int{}, starts: make(chan func() error, 64),
		subnet: fmt.Sprintf("127.%d.%d", 20+pid%200, 1+pid/200%250),
	}
	s.note("disruption: %t", trouble)
	if err := s.listen(1, s.store); err != nil {
		return nil, err
	}
	return s, s.listen(2, s.duties.Handler(mn.NewSystemClock()))
}

func (s *site) ip(n int) string { return fmt.Sprintf("%s.%d", s.subnet, n) }

func (s *site) listen(n int, h http.Handler) error {
	l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", s.ip(n), storePort))
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(l, h) }() // It ends with the process.
	return nil
}

// note writes a line to the record.
func (s *site) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f s  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// breakRule records that the rule was broken.
func (s *site) breakRule(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	s.note("BROKEN: %s", text)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = append(s.broken, text)
}

// verdict returns the exit code of the case.
func (s *site) verdict() int {
	s.mu.Lock()
	n := len(s.broken)
	s.mu.Unlock()
	if n > 0 {
		s.note("verdict: the rule was broken %d times", n)
		return exitBroken
	}
	s.note("verdict: the rule held")
	return exitHeld
}

// close ends all processes that the site started.
func (s *site) close() {
	s.mu.Lock()
	runners := s.runners
	s.runners = map[string]*runnerProc{}
	fronts := s.fronts
	s.mu.Unlock()
	for _, f := range fronts {
		_ = f.Process.Kill() // It may have ended.
		_ = f.Wait()
	}
	for _, r := range runners {
		_ = r.cmd.Process.Kill() // Likewise.
		<-r.ended
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.record.Flush()
	_ = s.file.Close()
	_ = os.RemoveAll(s.dir)
}

// startFront starts front n with settings like those of a small deployment and waits until it
// is ready.
func (s *site) startFront(n int) error {
	ip := s.ip(10 + n)
	settings := fmt.Sprintf(`node_name=front-%[1]d
role=front
machine_class=front
serves=front
ip=%[2]s
zone=zone-a
region=region-a
listen.frontend=%[2]s:%[3]d
listen.readiness=%[2]s:%[4]d
port_range=%[5]d,%[6]d
bootstrap=true
limits.cpu_share=0.304
limits.cores=1
limits.memory_mb=284
limits.max_fds=4100
limits.link_mbps=1000.0
discovery=platform
entry=vip
heartbeat_ms=1200
bounds.stable_ms=3000
bounds.drain_ms=%[7]d
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.strict_revoke=true
bounds.revoke_ms=5000
bounds.budget_ratio=0.2
bounds.budget_window_s=10
bounds.budget_slack=58
bounds.quota_window_s=8
bounds.quota_over=0.1
bounds.quota_slack=190000
bounds.require_fence=false
bounds.lease_ms=3000
bounds.thaw_ms=300
bounds.report_window_s=5
bounds.usage_off=0.05
bounds.usage_late_s=10
provider.address=%[8]s:%[9]d
provider.form=log
provider.record_bytes=262144
cloud_api.address=%[10]s:%[9]d
cloud_api.duties=usage_report
`, n, ip, callPort, readyPort, peerPort, peerPort+15, drainMs, s.ip(1), storePort, s.ip(2))
	file := filepath.Join(s.dir, fmt.Sprintf("front-%d.conf", n))
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(s.dir, fmt.Sprintf("front-%d.log", n)))
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(s.program, "front")
	cmd.Env = append(os.Environ(), "MUSTARDNOTCH_NODE_FILE="+file)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	s.mu.Lock()
	s.fronts = append(s.fronts, cmd)
	s.mu.Unlock()
	for range 200 {
		resp, err := http.Get(fmt.Sprintf("http://%s:%d/readyz", ip, readyPort))
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				s.note("front-%d is ready", n)
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("front-%d is not ready after 10 s", n)
}

// startRunner starts a runner of a service at address n and enters it in the store.
func (s *site) startRunner(n int, id, service string, role mn.EngineRole, capacity int64, args ...string) error {
	addr := fmt.Sprintf("%s:%d", s.ip(100+n), servePort)
	self, err := os.Executable()
	if err != nil {
		return err
	}
	own, err := s.ownAddr(n, addr)
	if err != nil {
		return err
	}
	cmd := exec.Command(self, append([]string{"runner", "--id", id, "--addr", own}, args...)...)
	cmd.Stderr = os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	r := &runnerProc{cmd: cmd, ended: make(chan struct{}), listed: true, entry: mn.Endpoint{
		ID: mn.EndpointID(id), Pool: mn.PoolID(service), Addr: addr, DataCentre: "zone-a", Capacity: capacity,
		State: mn.EndpointReady, Role: role, StartedAt: mn.Millis(time.Now().UnixMilli()),
	}}
	lines := bufio.NewScanner(out)
	if !lines.Scan() { // The first line says that it listens.
		return fmt.Errorf("runner %s does not start", id)
	}
	go func() {
		for lines.Scan() {
			s.noteRun(id, lines.Text())
		}
		_ = cmd.Wait() // Runners are killed.
		close(r.ended)
		s.restart(r, func() error { return s.startRunner(n, id, service, role, capacity, args...) })
	}()
	s.mu.Lock()
	s.runners[id] = r
	s.mu.Unlock()
	s.note("runner %s of %s starts", id, service)
	if err := s.store.WriteEndpoint(r.entry); err != nil {
		return err
	}
	go s.beat(r)
	return nil
}

// ownAddr returns the address at which runner n listens, whose address in the store is addr. They
// differ if runners are reached over links.
func (s *site) ownAddr(n int, addr string) (string, error) {
	if s.links == nil {
		return addr, nil
	}
	own := fmt.Sprintf("%s:%d", s.ip(200+n), servePort)
	if s.links[n] != nil {
		return own, nil
	}
	link, err := procs.NewLink(addr, own)
	s.links[n] = link
	return own, err
}

// restart starts a runner again that has crashed, unless its end was intended.
func (s *site) restart(r *runnerProc, start func() error) {
	s.mu.Lock()
	crashed := s.restartAfter > 0 && s.runners[string(r.entry.ID)] == r
	after := s.restartAfter
	r.listed = false // A runner that has crashed sends nothing.
	s.mu.Unlock()
	if !crashed {
		return
	}
	s.note("runner %s has crashed", r.entry.ID)
	s.requestStart(after, start)
}

// requestStart has the main thread start something after a time, since what another thread has
// started ends with that.
func (s *site) requestStart(after time.Duration, start func() error) {
	time.AfterFunc(after, func() { s.starts <- start })
}

// wait waits, and starts what was requested meanwhile.
func (s *site) wait(d time.Duration) error {
	end := time.After(d)
	for {
		select {
		case start := <-s.starts:
			if err := start(); err != nil {
				return err
			}
		case <-end:
			return nil
		}
	}
}

// beat writes the runner's entry at regular intervals while it is listed.
func (s *site) beat(r *runnerProc) {
	for {
		time.Sleep(heartbeat)
		s.mu.Lock()
		r.entry.Heartbeat++
		entry, listed := r.entry, r.listed
		s.mu.Unlock()
		if !listed || s.store.WriteEndpoint(entry) != nil {
			return
		}
	}
}

// noteRun records a line that a runner printed: a request that it begins to run.
func (s *site) noteRun(runner, line string) {
	s.note("runner %s: %s", runner, line)
	if id, ok := strings.CutPrefix(line, "run "); ok {
		s.mu.Lock()
		s.runs[id]++
		s.mu.Unlock()
	}
}

// announce has a runner report draining.
func (s *site) announce(id string) error {
	s.mu.Lock()
	r := s.runners[id]
	r.entry.State = mn.EndpointLeaving
	r.entry.Heartbeat++
	entry := r.entry
	s.mu.Unlock()
	err := s.store.WriteEndpoint(entry)
	s.note("runner %s reports draining", id)
	return err
}

// end ends a runner with a signal and takes its entry out of the store if drop is set.
func (s *site) end(id string, sig syscall.Signal, drop bool) error {
	s.mu.Lock()
	r := s.runners[id]
	r.listed = false
	delete(s.runners, id)
	s.mu.Unlock()
	s.note("runner %s gets %v", id, sig)
	if err := r.cmd.Process.Signal(sig); err != nil {
		return err
	}
	<-r.ended
	s.note("runner %s has ended", id)
	if !drop {
		return nil
	}
	return s.store.DropEndpoint(mn.EndpointID(id))
}

// ranTimes returns how often the request with an id ran.
func (s *site) ranTimes(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}
