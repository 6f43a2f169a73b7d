package matrix

import (
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	mn "mustardnotch"
	"mustardnotch/fakes"
	"mustardnotch/procs"
)

// maxUsageDelay is the maximum time until all usage is reported. It counts from the
// start of the check, after traffic has ended.
const maxUsageDelay = 15 * mn.Second

// check checks every rule after faults are healed and traffic has ended.
func (s *scenario) check() {
	s.checkConfig()
	s.checkBookings()
	s.checkKeys()
	s.checkFleet()
	s.checkOrders()
	s.checkUsage()
}

// checkConfig checks that every process has applied the head of the control stream
// within maxConfigDelay.
func (s *scenario) checkConfig() {
	batch, err := s.cluster.PlatformClient().Read(s.ctx, mn.ControlStream, 1, 1, 0)
	if err != nil {
		s.recordViolation("configuration", "read control stream: %v", err)
		return
	}
	start := s.clock.Now()
	for _, n := range s.cluster.Nodes {
		for s.offset(n) < batch.Head {
			if s.clock.Now() > start+maxConfigDelay {
				s.recordViolation("configuration", "%s has applied offset %d, %d ms after the check started with the log at %d", n.VM.ID, s.offset(n), maxConfigDelay, batch.Head)
				break
			}
			time.Sleep((50 * mn.Millisecond).Duration())
		}
	}
}

// offset returns the offset of the configuration that a process has applied, 0 if it
// is unknown.
func (s *scenario) offset(n *procs.Node) mn.Offset {
	resp, err := s.http.Get(n.DebugURL() + "/ready")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	line, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0
	}
	for f := range strings.FieldsSeq(string(line)) {
		if value, ok := strings.CutPrefix(f, "offset="); ok {
			off, _ := strconv.ParseInt(value, 10, 64)
			return mn.Offset(off)
		}
	}
	return 0
}

// checkBookings compares the results that callers received with the calls that the
// plain services ran.
func (s *scenario) checkBookings() {
	runs := map[string]int{}
	for _, n := range s.cluster.Nodes {
		if n.VM.Pool != "orderbalie" {
			continue
		}
		data, err := os.ReadFile(n.RunsFile)
		if err != nil && !os.IsNotExist(err) {
			s.recordViolation("bookings", "%v", err)
		}
		for line := range strings.Lines(string(data)) {
			f := strings.Split(strings.TrimSpace(line), "\t")
			if len(f) != 4 {
				continue
			}
			runs[strings.Trim(f[3], `"`)]++
			if f[1] != "voering" {
				s.recordViolation("customer", "booking %s ran for %q", f[3], f[1])
			}
		}
	}
	for _, b := range s.bookings {
		n := runs[b.body]
		switch {
		case n > 1:
			s.recordViolation("at most once", "booking %s ran %d times", b.idempotencyKey, n)
		case b.done && n == 0:
			s.recordViolation("lost booking", "booking %s was reported as done but never ran", b.idempotencyKey)
		case !b.done && b.reportedNotRun && n > 0:
			s.recordViolation("not run", "booking %s was reported as not run but ran", b.idempotencyKey)
		}
	}
}

// checkKeys checks that no caller's key is in the requests that endpoints received.
func (s *scenario) checkKeys() {
	for _, n := range s.cluster.Nodes {
		var seen string
		switch {
		case n.Endpoint == nil:
			continue
		case n.VM.Pool == modelName:
			var all []string
			if procs.FetchJSON(n.EndpointURL()+"/admin/seen", &all) != nil {
				continue
			}
			seen = strings.Join(all, "\n")
		default:
			var all []fakes.Run
			if procs.FetchJSON(n.EndpointURL()+"/admin/runs", &all) != nil {
				continue
			}
			seen = fmt.Sprint(all)
		}
		for _, k := range []string{mainKey, otherKey, string(mn.HashKey(mainKey)), string(mn.HashKey(otherKey))} {
			if strings.Contains(seen, k) {
				s.recordViolation("keys", "endpoint %s received a caller's key", n.VM.ID)
			}
		}
	}
}

// checkFleet checks that no fleet order of an older term took effect after one of a
// newer term.
func (s *scenario) checkFleet() {
	var orders []fakes.TimedOrder
	if err := procs.FetchJSON(s.cluster.PlatformURL()+"/admin/orders", &orders); err != nil {
		s.recordViolation("fleet orders", "%v", err)
		return
	}
	var newest mn.Term
	for _, o := range orders {
		if o.Term < newest {
			s.recordViolation("fleet orders", "an order of term %d took effect after one of term %d", o.Term, newest)
		}
		newest = max(newest, o.Term)
	}
}

// checkOrders checks that every engine loads the version that the step declared within
// maxOrderDelay.
func (s *scenario) checkOrders() {
	if !s.versionOrdered {
		return
	}
	start := s.clock.Now()
	for _, n := range s.cluster.Nodes {
		if n.VM.Pool != modelName {
			continue
		}
		for {
			var state mn.EngineState
			err := procs.FetchJSON(n.EndpointURL()+"/state", &state)
			if err == nil && state.Version == "2" {
				break
			}
			if s.clock.Now() > start+maxOrderDelay {
				s.recordViolation("orders", "engine %s has version %q, %d ms after the check started; want version 2", n.VM.ID, state.Version, maxOrderDelay)
				break
			}
			time.Sleep((100 * mn.Millisecond).Duration())
		}
	}
}

// checkUsage checks that within maxUsageDelay the reports sum up to at least the usage
// that callers received, and that no window was reported with different content.
func (s *scenario) checkUsage() {
	start := s.clock.Now()
	var output, prompt int64
	for {
		var err error
		if output, prompt, err = s.reportedTokens(); err != nil {
			s.recordViolation("usage", "%v", err)
			return
		}
		if output >= s.receivedTokens["output"] && prompt >= s.receivedTokens["prompt"] || s.clock.Now() > start+maxUsageDelay {
			break
		}
		time.Sleep((200 * mn.Millisecond).Duration())
	}
	if output < s.receivedTokens["output"] || prompt < s.receivedTokens["prompt"] {
		s.recordViolation("usage", "%d output and %d prompt tokens were reported, callers received %d and %d", output, prompt, s.receivedTokens["output"], s.receivedTokens["prompt"])
	}
}

// reportedTokens returns the sums of the tokens in the usage reports. It counts each
// window once, even if it was reported several times.
func (s *scenario) reportedTokens() (output, prompt int64, err error) {
	var reports []fakes.TimedReport
	if err := procs.FetchJSON(s.cluster.PlatformURL()+"/admin/usage", &reports); err != nil {
		return 0, 0, err
	}
	seen := map[int64]bool{}
	for _, r := range reports {
		if r.Conflict {
			return 0, 0, fmt.Errorf("window %d was reported with different content", r.Window)
		}
		if seen[r.Window] {
			continue
		}
		seen[r.Window] = true
		for _, l := range r.Lines {
			output += l.OutputTokens
			prompt += l.PromptTokens
		}
	}
	return output, prompt, nil
}
