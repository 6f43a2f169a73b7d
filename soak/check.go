// Package soak runs fronts as separate processes before stand-ins of the users'
// platform, injects faults from outside them by a seed, and checks what callers
// and endpoints see.
package soak

import (
	"fmt"
	"sort"

	mn "mustardnotch"
	"mustardnotch/platform/stand"
)

// Bounds of the platform, as the settings of the fronts give them.
const (
	drainBound     = 2 * mn.Second
	revokeBound    = 5 * mn.Second
	stableWindow   = 3 * mn.Second
	holderLease    = 3 * mn.Second
	quotaWindow    = 8 * mn.Second
	quotaTolerance = 0.1
	// quotaSlack is eleven of the largest requests, as on the users' deployments.
	quotaSlack = 33_000.0
	// recoverBound is the time after the last fault in which service is back.
	recoverBound = 8 * mn.Second
	// minServed is the least share of requests that is served then.
	minServed = 0.75
)

// Request is a request of a caller, and what the caller got.
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
	// Status is 0 if no answer came. Whole says that the answer had its end.
	Status   int
	Answer   string
	Complete bool
}

// FaultWindow is a time in which a fault was on.
type FaultWindow struct {
	From, To mn.Millis
	Fault    string
}

// History is what callers and endpoints saw, and what was done to the system.
type History struct {
	Requests     []Request
	Runs         []stand.Run
	DutyCalls    []stand.DutyCall
	Faults       []FaultWindow
	LeavingSince map[mn.EndpointID]mn.Millis
	RevokedAt    map[string]mn.Millis
	Rates        map[mn.CustomerID]float64
	// LastFaultEnd is when the last fault ended.
	LastFaultEnd mn.Millis
}

// Violation is a promise that was not kept.
type Violation struct {
	Rule   string
	Detail string
}

// Check returns every promise that the history shows broken.
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
		a := requests[r.ID]
		if a == nil || a.Method != r.Method || a.Target != r.Target || a.Body != r.Body || r.HasKey {
			report("UNASKED", "%+v of %+v", r, a)
			continue
		}
		if a.Customer != r.Customer {
			report("UNASKED", "%s ran for %q, asked by %q", r.ID, r.Customer, a.Customer)
		}
		if at, ok := h.RevokedAt[a.Key]; ok && a.Sent > at+revokeBound {
			report("CONFIG", "%s ran, sent %d ms after its key was taken away", r.ID, a.Sent-at)
		}
		if at, ok := h.LeavingSince[r.Endpoint]; ok && r.At > at+drainBound && a.Sent > at+drainBound && h.faultFree(at-stableWindow, r.At) {
			report("DRAIN", "%s ran at %s %d ms after it was leaving", r.ID, r.Endpoint, r.At-at)
		}
	}
	for i := range h.Requests {
		a := &h.Requests[i]
		n := runCount[a.ID]
		if !a.Repeatable && n > 1 {
			report("TWICE", "%s ran %d times", a.ID, n)
		}
		if !a.Repeatable && n > 0 && (a.Status == 429 || a.Status == 503 || a.Status == 408 || a.Status == 421) {
			report("REFUSED", "%s ran and was answered %d", a.ID, a.Status)
		}
		if a.Status == 200 && a.Complete && a.Answer != a.expectedAnswer() {
			report("MIXED", "%s got %q", a.ID, a.Answer)
		}
	}
	h.checkQuota(report)
	h.checkDuties(report)
	h.checkRecovery(report)
	return out
}

// expectedAnswer returns the whole answer to a request.
func (a *Request) expectedAnswer() string {
	if !a.Stream {
		return stand.Answer(a.ID, a.Body)
	}
	answer := ""
	for n := 1; n <= stand.EventCount; n++ {
		answer += stand.Event(a.ID, n)
	}
	return answer
}

// faultFree says whether no fault was on in a time.
func (h *History) faultFree(from, to mn.Millis) bool {
	for _, w := range h.Faults {
		if w.From <= to && w.To >= from {
			return false
		}
	}
	return true
}

func (h *History) checkQuota(report func(string, string, ...any)) {
	byCustomer := map[mn.CustomerID][]stand.Run{}
	for _, r := range h.Runs {
		byCustomer[r.Customer] = append(byCustomer[r.Customer], r)
	}
	for c, rate := range h.Rates {
		runs := byCustomer[c]
		sort.Slice(runs, func(i, j int) bool { return runs[i].At < runs[j].At })
		maxTokens := (rate*float64(quotaWindow)/1000+rate)*(1+quotaTolerance) + quotaSlack
		sum, first := 0.0, 0
		for _, r := range runs {
			sum += r.Cost
			for runs[first].At <= r.At-quotaWindow {
				sum -= runs[first].Cost
				first++
			}
			if sum > maxTokens {
				report("QUOTA", "%s had %.0f tokens in a window, allowed %.0f", c, sum, maxTokens)
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
			report("ONE", "%s with fence %d after %s with %d", c.From, c.Fence, previous.From, previous.Fence)
		}
		for j := i - 2; j >= 0 && previous.From != c.From && c.At-h.DutyCalls[j].At < holderLease; j-- {
			if h.DutyCalls[j].From == c.From {
				report("ONE", "%s acted again %d ms after another did between", c.From, c.At-h.DutyCalls[j].At)
			}
		}
	}
}

func (h *History) checkRecovery(report func(string, string, ...any)) {
	sent, good := 0, 0
	for _, a := range h.Requests {
		if a.Sent <= h.LastFaultEnd+recoverBound || h.RevokedAt[a.Key] > 0 || a.Status == 429 {
			continue // What is beyond a customer's rate is not owed.
		}
		sent++
		if a.Status == 200 && a.Complete {
			good++
		}
	}
	if sent == 0 || float64(good) < minServed*float64(sent) {
		report("RECOVER", "%d of %d requests were served after the last fault", good, sent)
	}
}
