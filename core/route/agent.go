package route

import (
	"math"

	mn "mustardnotch"
)

const (
	// outputCost is the work of one output token, in prompt tokens.
	outputCost = 4
	// expectedOutputRatio is the part of the allowed output that is expected.
	expectedOutputRatio = 0.5
	// decodeDoublingBatch is the batch size at which an engine's decode step takes twice
	// as long as with an empty batch.
	decodeDoublingBatch = 16
	// maxReportAge is the age of a report past which an agent counts as
	// unreachable.
	maxReportAge = 3 * mn.Second
)

// Bounds of the pause after failures in a row.
const (
	initialBackoff = 250 * mn.Millisecond
	maxBackoff     = 10 * mn.Second
)

// agent is what a table knows of one agent.
type agent struct {
	member       mn.Member
	report       Report
	reportedAt   mn.Millis // the instant the report tells of
	receivedAt   mn.Millis // the instant the report came in, 0 for none
	disconnected bool      // the stream of reports broke
	subscribed   bool      // the table gets its reports
	inFlight     map[*request]struct{}
	endedSince   int // own requests in the report that have ended since
	firstEpoch   int // the first epoch
	epoch        int // grows with each gap in the cache events
	failures     int
	avoidUntil   mn.Millis // no new work before this instant
}

// request is one of the table's own requests at an agent.
type request struct {
	started       mn.Millis
	prefillTokens float64 // prompt tokens that need prefill
	outputTokens  float64
}

func (r *request) cost() float64 { return r.prefillTokens + r.outputTokens*outputCost }

func newAgent(m mn.Member, epoch int) *agent {
	return &agent{member: m, firstEpoch: epoch, epoch: epoch, report: initialReport(), inFlight: make(map[*request]struct{})}
}

// update takes in a report that has just come in.
func (a *agent) update(r Report, now mn.Millis) {
	if r.PrefillMillis <= 0 {
		r.PrefillMillis = a.report.PrefillMillis
	}
	if r.DecodeMillis <= 0 {
		r.DecodeMillis = a.report.DecodeMillis
	}
	if r.Role == "" {
		r.Role = mn.EngineMixed
	}
	if r.Limit <= 0 {
		r.Limit = initialLimit
	}
	a.report = r
	a.reportedAt = now - r.Age
	a.receivedAt = now
	a.disconnected = false
	a.endedSince = 0
}

// usable says whether new work may go to the agent.
func (a *agent) usable(now mn.Millis) bool {
	return !a.report.Unavailable && !a.unreachable(now) && now >= a.avoidUntil
}

func (a *agent) unreachable(now mn.Millis) bool {
	return a.disconnected || a.receivedAt != 0 && now-a.receivedAt > maxReportAge
}

// unreported sums up the own requests that the last report can't know of.
func (a *agent) unreported() (count, prompt, cost float64) {
	for r := range a.inFlight {
		if r.started < a.reportedAt {
			continue
		}
		count++
		prompt += r.prefillTokens
		cost += r.cost()
	}
	return count, prompt, cost
}

// answerMillis estimates the milliseconds until a request there is answered.
func (a *agent) answerMillis(req *request, now mn.Millis) float64 {
	r := &a.report
	count, prompt, cost := a.unreported()
	age := float64(now - a.reportedAt)
	if a.receivedAt == 0 {
		age = 0
	}
	running := max(r.Running+count-float64(a.endedSince), float64(len(a.inFlight)))
	prefill := max(r.PrefillTokens+prompt-age/r.PrefillMillis, 0) * r.PrefillMillis
	decode := r.DecodeMillis * (decodeDoublingBatch + min(running, r.Limit)) / (decodeDoublingBatch + r.Running)
	return a.queueMillis(running, cost, age) + prefill + req.prefillTokens*r.PrefillMillis + req.outputTokens*decode
}

// queueMillis estimates the time in the agent's queue.
func (a *agent) queueMillis(running, unreportedCost, age float64) float64 {
	r := &a.report
	if running < r.Limit && r.Backlog == 0 {
		return 0
	}
	throughput := r.Throughput
	if throughput <= 0 {
		throughput = r.Limit * outputCost / r.DecodeMillis
	}
	return max(r.Backlog+unreportedCost-age*throughput, 0) / throughput
}

// backOff lengthens the pause after each failure in a row.
func (a *agent) backOff(now mn.Millis, jitter float64) {
	pause := float64(initialBackoff) * math.Pow(2, float64(a.failures))
	a.failures++
	a.avoidUntil = now + mn.Millis(min(pause, float64(maxBackoff))*(0.5+jitter/2))
}
