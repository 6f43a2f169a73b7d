// Package soak runs fronts as separate processes against stand-ins of the users'
// platform, injects faults from outside the processes in an order derived from a
// seed, and checks what callers and endpoints observed.
package soak

import (
	"fmt"
	"sort"
	"strings"

	mn "mustardnotch"
	"mustardnotch/platform/stand"
)

// Bounds of the platform, as set in the fronts' settings.
const (
	drainBound  = 2 * mn.Second
	revokeBound = 5 * mn.Second
	// The drain bound applies only if no fault was active from stableWindow before
	// the endpoint started to leave until the run.
	stableWindow   = 3 * mn.Second
	dutyLease      = 3 * mn.Second
	quotaWindow    = 8 * mn.Second
	quotaTolerance = 0.1
	// quotaSlack is the cost in tokens of eleven of the largest requests, as on the
	// users' deployments.
	quotaSlack = 33_000.0
	// recoverBound is how long after the last fault service must have recovered.
	recoverBound = 8 * mn.Second
	// memoryMB is the memory of a front's VM on the users' deployments, in MiB.
	memoryMB = 284
	// minServed is the minimum share of requests served from then on.
	minServed = 0.75
)

// Request is a request that a caller sent, with its answer.
type Request struct {
	ID         mn.RequestID
	Customer   mn.CustomerID
	Key        string
	Method     string
	Target     string
	Body       string
	Repeatable bool
	Stream     bool
	Sent       mn.Millis
	// Front is the front that the request was sent to.
	Front string
	// After is the last event that the caller had before it went on with a stream, 0 if none.
	After int
	// SignedBy is the endpoint that signed the answer.
	SignedBy mn.EndpointID
	// Announced reports whether the answer said that its endpoint leaves, and Answered is
	// when its head arrived.
	Announced bool
	Answered  mn.Millis
	// Status is 0 if no answer arrived.
	Status int
	Answer string
	// Complete reports whether the answer was read to its end without an error.
	Complete bool
}

// FaultWindow is the time in which a fault was active.
type FaultWindow struct {
	From, To mn.Millis
	Fault    string
	// Front is the front that had the fault, empty if none had.
	Front string
}

// Evacuation is an evacuation of a data centre: from its acknowledgement until it is taken back.
type Evacuation struct {
	DataCentre mn.DataCentre
	From, To   mn.Millis
}

// History records what callers and endpoints observed, and which faults and
// changes were made.
type History struct {
	Requests  []Request
	Runs      []stand.Run
	Arrivals  []stand.Arrival
	DutyCalls []stand.DutyCall
	// UntoldCuts holds the requests a stream of which was cut so that a front can't tell.
	UntoldCuts   map[mn.RequestID]bool
	Faults       []FaultWindow
	LeavingSince map[mn.EndpointID]mn.Millis
	Evacuations  []Evacuation
	// DataCentres holds the data centre of each endpoint.
	DataCentres  map[mn.EndpointID]mn.DataCentre
	RevokedAt    map[string]mn.Millis
	Rates        map[mn.CustomerID]float64
	LastFaultEnd mn.Millis
	// PeakMemory is the most memory that each front has taken, in bytes.
	PeakMemory map[string]int64
}

// Violation is a violated rule. Rule is the rule's name.
type Violation struct {
	Rule   string
	Detail string
}

// Check returns all violations in the history.
func (h *History) Check() []Violation {
	var out []Violation
	report := func(rule, format string, args ...any) {
		out = append(out, Violation{rule, fmt.Sprintf(format, args...)})
	}
	requests := map[mn.RequestID]*Request{}
	for i := range h.Requests {
		requests[h.Requests[i].ID] = &h.Requests[i]
	}
	runCount := map[mn.RequestID]int{}
	for _, r := range h.Runs {
		runCount[r.ID]++
		req := requests[r.ID]
		if req == nil || req.Method != r.Method || req.Target != r.Target || req.Body != r.Body || r.HasKey {
			report("UNASKED", "run %+v does not match request %+v", r, req)
			continue
		}
		if req.Customer != r.Customer {
			report("UNASKED", "%s ran for %q, requested by %q", r.ID, r.Customer, req.Customer)
		}
		if at, ok := h.RevokedAt[req.Key]; ok && req.Sent > at+revokeBound {
			report("CONFIG", "%s ran, sent %d ms after its key was revoked", r.ID, req.Sent-at)
		}
		if at, ok := h.LeavingSince[r.Endpoint]; ok && r.At > at+drainBound && req.Sent > at+drainBound && h.faultFree(at-stableWindow, r.At) {
			report("DRAIN", "%s ran at %s %d ms after it started to leave", r.ID, r.Endpoint, r.At-at)
		}
	}
	for i := range h.Requests {
		req := &h.Requests[i]
		n := runCount[req.ID]
		if !req.Repeatable && n > 1 {
			report("TWICE", "%s ran %d times", req.ID, n)
		}
		if !req.Repeatable && n > 0 && (req.Status == 429 || req.Status == 503 || req.Status == 408 || req.Status == 421) {
			report("REFUSED", "%s ran and was answered %d", req.ID, req.Status)
		}
		if !req.Stream && req.Status == 200 && req.Complete && req.Answer != stand.Answer(req.ID, req.Body) {
			report("MIXED", "%s got the wrong answer %q", req.ID, req.Answer)
		}
		if fault := req.streamFault(); req.Stream && req.Status == 200 && fault != "" && !(fault == streamIsShort && h.UntoldCuts[req.ID]) {
			report("ORDER", "%s %s through %s, after event %d: the stream %s", req.Target, req.ID, req.Front, req.After, fault)
		}
	}
	for front, peak := range h.PeakMemory {
		if peak > memoryMB<<20 {
			report("LOST", "%s took %d MiB, its VM has %d", front, peak>>20, memoryMB)
		}
	}
	h.checkStops(report)
	h.checkNotices(report, requests)
	h.checkEvacuations(report, requests)
	h.checkQuota(report)
	h.checkDuties(report)
	h.checkRecovery(report)
	return out
}

// streamIsShort is the fault of a stream that ends as complete before its last event.
const streamIsShort = "ends as complete before its last event"

// maxQuoted bounds the bytes of an answer that are quoted in a violation.
const maxQuoted = 120

// streamFault returns what is wrong with the stream that the caller got, empty if nothing is.
// A stream that was broken off must be the beginning of the whole.
func (r *Request) streamFault() string {
	rest := r.Answer
	for n := r.After + 1; n <= stand.EventCount(r.Body); n++ {
		want := stand.Event(r.Body, n)
		after, ok := strings.CutPrefix(rest, want)
		if ok {
			rest = after
			continue
		}
		if !strings.HasPrefix(want, rest) {
			return fmt.Sprintf("has %.*q where event %d belongs", maxQuoted, rest, n)
		}
		if r.Complete {
			return streamIsShort
		}
		return ""
	}
	if rest != "" {
		return fmt.Sprintf("has %.*q after its last event", maxQuoted, rest)
	}
	return ""
}

// faultFree reports whether no fault was active between from and to.
func (h *History) faultFree(from, to mn.Millis) bool {
	for _, w := range h.Faults {
		if w.From <= to && w.To >= from {
			return false
		}
	}
	return true
}

// stopFault is the name of the fault in which a front is asked to stop.
const stopFault = "stop a front"

// checkEvacuations checks that fronts without a fault send nothing to an evacuated data centre.
func (h *History) checkEvacuations(report func(string, string, ...any), requests map[mn.RequestID]*Request) {
	for _, a := range h.Arrivals {
		req := requests[a.ID]
		if req == nil || h.faultAt(req.Front, a.At-stableWindow, a.At) {
			continue
		}
		for _, e := range h.Evacuations {
			if h.DataCentres[a.Endpoint] == e.DataCentre && a.At > e.From+evacuateBound && a.At < e.To {
				report("EVAC", "%s reached %s through %s %d ms after %s was evacuated", a.ID, a.Endpoint, req.Front, a.At-e.From, e.DataCentre)
			}
		}
	}
}

// checkStops checks that a front that is asked to stop answers what it has passed on.
func (h *History) checkStops(report func(string, string, ...any)) {
	arrived := map[mn.RequestID]bool{}
	for _, a := range h.Arrivals {
		arrived[a.ID] = true
	}
	for _, r := range h.Requests {
		if r.Status != 0 || !arrived[r.ID] {
			continue
		}
		for _, w := range h.Faults {
			if w.Fault == stopFault && w.Front == r.Front && w.From <= r.Sent && r.Sent <= w.To {
				report("LOST", "%s, sent %d ms after %s was asked to stop, was passed on and not answered", r.ID, r.Sent-w.From, r.Front)
			}
		}
	}
}

// frontAt identifies a front's requests to an endpoint.
type frontAt struct {
	front    string
	endpoint mn.EndpointID
}

// pauseMargin is how long after it asked for a pause an endpoint may still get requests,
// and maxInPause how many it may get from a front until the pause ends.
const (
	pauseMargin = 500 * mn.Millisecond
	maxInPause  = 2
)

// checkNotices checks that fronts heed what endpoints say in their answers: that they leave,
// and that they want no requests for some time. A fault of the front excuses it.
func (h *History) checkNotices(report func(string, string, ...any), requests map[mn.RequestID]*Request) {
	announced := map[frontAt]mn.Millis{}
	for _, r := range h.Requests {
		at := frontAt{r.Front, r.SignedBy}
		if first, ok := announced[at]; r.Announced && (!ok || r.Answered < first) {
			announced[at] = r.Answered
		}
	}
	arrivals := map[frontAt][]stand.Arrival{}
	for _, a := range h.Arrivals {
		req := requests[a.ID]
		if req == nil {
			continue // It is reported as a run that nobody asked for.
		}
		at := frontAt{req.Front, a.Endpoint}
		arrivals[at] = append(arrivals[at], a)
		if since, ok := announced[at]; ok && req.Sent > since+drainBound && !h.faultAt(req.Front, since, a.At) {
			report("DRAIN", "%s, sent %d ms after %s passed on that %s leaves, reached it", a.ID, req.Sent-since, req.Front, a.Endpoint)
		}
	}
	for at, all := range arrivals {
		for _, p := range all {
			if p.Pause == 0 {
				continue
			}
			count := 0
			for _, a := range all {
				if a.At > p.At+pauseMargin && a.At < p.At+p.Pause {
					count++
				}
			}
			if count > maxInPause && !h.faultAt(at.front, p.At, p.At+p.Pause) {
				report("BUDGET", "%d requests from %s reached %s within the %d ms for which it wanted none", count, at.front, at.endpoint, p.Pause)
			}
		}
	}
}

// faultAt reports whether a front had a fault between from and to.
func (h *History) faultAt(front string, from, to mn.Millis) bool {
	for _, w := range h.Faults {
		if w.Front == front && w.From <= to && w.To >= from {
			return true
		}
	}
	return false
}

func (h *History) checkQuota(report func(string, string, ...any)) {
	byCustomer := map[mn.CustomerID][]stand.Run{}
	for _, r := range h.Runs {
		byCustomer[r.Customer] = append(byCustomer[r.Customer], r)
	}
	for c, rate := range h.Rates {
		runs := byCustomer[c]
		sort.Slice(runs, func(i, j int) bool { return runs[i].At < runs[j].At })
		// The burst of a customer equals its rate.
		maxTokens := (rate*float64(quotaWindow)/1000+rate)*(1+quotaTolerance) + quotaSlack
		sum, repeated, first := 0.0, 0.0, 0
		ran := map[mn.RequestID]bool{}
		again := make([]bool, len(runs)) // whether the run's request has run before
		for n, r := range runs {
			again[n] = ran[r.ID]
			ran[r.ID] = true
			sum += r.Cost
			if again[n] {
				repeated += r.Cost
			}
			for ; runs[first].At <= r.At-quotaWindow; first++ {
				sum -= runs[first].Cost
				if again[first] {
					repeated -= runs[first].Cost
				}
			}
			if sum > maxTokens {
				report("QUOTA", "customer %s used %.0f tokens in the %d ms up to %d, %.0f of them in repeated runs, allowed %.0f", c, sum, quotaWindow, r.At, repeated, maxTokens)
				break
			}
		}
	}
}

func (h *History) checkDuties(report func(string, string, ...any)) {
	reported := map[int64]string{}
	for i, c := range h.DutyCalls {
		if body, ok := reported[c.Window]; ok && body != c.Body {
			report("ONE", "window %d was reported as %s and as %s", c.Window, body, c.Body)
		}
		reported[c.Window] = c.Body
		if i == 0 {
			continue
		}
		previous := h.DutyCalls[i-1]
		if c.Fence < previous.Fence || c.Fence == previous.Fence && c.From != previous.From {
			report("ONE", "%s acted with fencing token %d after %s had acted with fencing token %d", c.From, c.Fence, previous.From, previous.Fence)
		}
		for j := i - 2; j >= 0 && previous.From != c.From && c.At-h.DutyCalls[j].At < dutyLease; j-- {
			if h.DutyCalls[j].From == c.From {
				report("ONE", "%s acted again after %d ms although another front acted in between", c.From, c.At-h.DutyCalls[j].At)
			}
		}
	}
}

func (h *History) checkRecovery(report func(string, string, ...any)) {
	sent, good := 0, 0
	for _, r := range h.Requests {
		if r.Sent <= h.LastFaultEnd+recoverBound || h.RevokedAt[r.Key] > 0 || r.Status == 429 {
			continue // Requests with a revoked key or beyond a customer's rate may be rejected.
		}
		sent++
		if r.Status == 200 && r.Complete {
			good++
		}
	}
	if sent == 0 || float64(good) < minServed*float64(sent) {
		report("RECOVER", "%d of %d requests were served after the time allowed for recovery", good, sent)
	}
}
