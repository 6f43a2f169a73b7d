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
	drainBound  = 2 * mn.Second
	revokeBound = 5 * mn.Second
	stableSpan  = 3 * mn.Second
	holderApart = 3 * mn.Second
	quotaWindow = 8 * mn.Second
	quotaOver   = 0.1
	// quotaSlack is eleven of the largest requests, as on the users' deployments.
	quotaSlack = 33_000.0
	// recoverBound is the time after the last fault in which service is back.
	recoverBound = 8 * mn.Second
	// served is the least share of requests that is served then.
	served = 0.75
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
	add := func(rule, format string, args ...any) {
		out = append(out, Violation{rule, fmt.Sprintf(format, args...)})
	}
	asked := map[mn.RequestID]*Request{}
	for i := range h.Requests {
		asked[h.Requests[i].ID] = &h.Requests[i]
	}
	ran := map[mn.RequestID]int{}
	for _, r := range h.Runs {
		ran[r.ID]++
		a := asked[r.ID]
		if a == nil || a.Method != r.Method || a.Target != r.Target || a.Body != r.Body || r.HasKey {
			add("UNASKED", "%+v of %+v", r, a)
			continue
		}
		if a.Customer != r.Customer {
			add("UNASKED", "%s ran for %q, asked by %q", r.ID, r.Customer, a.Customer)
		}
		if at, ok := h.RevokedAt[a.Key]; ok && a.Sent > at+revokeBound {
			add("CONFIG", "%s ran, sent %d ms after its key was taken away", r.ID, a.Sent-at)
		}
		if at, ok := h.LeavingSince[r.Endpoint]; ok && r.At > at+drainBound && a.Sent > at+drainBound && h.calm(at-stableSpan, r.At) {
			add("DRAIN", "%s ran at %s %d ms after it was leaving", r.ID, r.Endpoint, r.At-at)
		}
	}
	for i := range h.Requests {
		a := &h.Requests[i]
		n := ran[a.ID]
		if !a.Repeatable && n > 1 {
			add("TWICE", "%s ran %d times", a.ID, n)
		}
		if !a.Repeatable && n > 0 && (a.Status == 429 || a.Status == 503 || a.Status == 408 || a.Status == 421) {
			add("REFUSED", "%s ran and was answered %d", a.ID, a.Status)
		}
		if a.Status == 200 && a.Complete && a.Answer != a.expected() {
			add("MIXED", "%s got %q", a.ID, a.Answer)
		}
	}
	h.checkQuota(add)
	h.checkDuties(add)
	h.checkRecovery(add)
	return out
}

// expected returns the whole answer to a request.
func (a *Request) expected() string {
	if !a.Stream {
		return stand.Answer(a.ID, a.Body)
	}
	all := ""
	for n := 1; n <= stand.EventCount; n++ {
		all += stand.Event(a.ID, n)
	}
	return all
}

// calm says whether no fault was on in a time.
func (h *History) calm(from, to mn.Millis) bool {
	for _, s := range h.Faults {
		if s.From <= to && s.To >= from {
			return false
		}
	}
	return true
}

func (h *History) checkQuota(add func(string, string, ...any)) {
	byCustomer := map[mn.CustomerID][]stand.Run{}
	for _, r := range h.Runs {
		byCustomer[r.Customer] = append(byCustomer[r.Customer], r)
	}
	for c, rate := range h.Rates {
		runs := byCustomer[c]
		sort.Slice(runs, func(i, j int) bool { return runs[i].At < runs[j].At })
		most := (rate*float64(quotaWindow)/1000+rate)*(1+quotaOver) + quotaSlack
		sum, first := 0.0, 0
		for _, r := range runs {
			sum += r.Cost
			for runs[first].At <= r.At-quotaWindow {
				sum -= runs[first].Cost
				first++
			}
			if sum > most {
				add("QUOTA", "%s had %.0f tokens in a window, allowed %.0f", c, sum, most)
				break
			}
		}
	}
}

func (h *History) checkDuties(add func(string, string, ...any)) {
	reported := map[int64]string{}
	for i, c := range h.DutyCalls {
		if body, ok := reported[c.Window]; ok && body != c.Body {
			add("ONE", "window %d was reported as %s and as %s", c.Window, body, c.Body)
		}
		reported[c.Window] = c.Body
		if i == 0 {
			continue
		}
		last := h.DutyCalls[i-1]
		if c.Fence < last.Fence || c.Fence == last.Fence && c.From != last.From {
			add("ONE", "%s with fence %d after %s with %d", c.From, c.Fence, last.From, last.Fence)
		}
		for j := i - 2; j >= 0 && last.From != c.From && c.At-h.DutyCalls[j].At < holderApart; j-- {
			if h.DutyCalls[j].From == c.From {
				add("ONE", "%s acted again %d ms after another did between", c.From, c.At-h.DutyCalls[j].At)
			}
		}
	}
}

func (h *History) checkRecovery(add func(string, string, ...any)) {
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
	if sent == 0 || float64(good) < served*float64(sent) {
		add("RECOVER", "%d of %d requests were served after the last fault", good, sent)
	}
}
