package route

import (
	"math"

	mn "mustardnotch"
)

const (
	// outputCost is the work of generating one token, in units of the prefill
	// of one prompt token.
	outputCost = 4
	// expectedOutputRatio is the expected ratio of the output of a request to the
	// output that it allows.
	expectedOutputRatio = 0.5
	// decodeDoublingBatch is the batch size at which a decode step of an engine
	// takes twice as long as with an empty batch.
	decodeDoublingBatch = 16
	// maxReportAge is the time since the last report was received after which
	// an agent counts as unreachable.
	maxReportAge = 3 * mn.Second
)

// Bounds of the exponential backoff after consecutive failures, before jitter.
const (
	initialBackoff = 250 * mn.Millisecond
	maxBackoff     = 10 * mn.Second
)

// agent is the state that a table keeps for one agent.
type agent struct {
	member       mn.Member
	report       LoadReport
	reportedAt   mn.Millis // when the figures of the report were current
	receivedAt   mn.Millis // when the report was received, 0 before the first
	disconnected bool      // the report stream broke after the last report
	subscribed   bool      // the table receives the agent's reports
	inFlight     map[*request]struct{}
	// endedSince counts the table's requests that started before reportedAt and
	// have ended since the report was received.
	endedSince int
	firstEpoch int       // epoch when the agent joined the table
	epoch      int       // increased at each gap in the cache events
	failures   int       // consecutive failures
	avoidUntil mn.Millis // no new requests before this instant unless no other agent is usable
}

// request is a request that this table sent to an agent, or is about to send.
type request struct {
	started       mn.Millis
	prefillTokens float64 // prompt tokens to prefill
	outputTokens  float64
}

func (r *request) cost() float64 { return r.prefillTokens + r.outputTokens*outputCost }

func newAgent(m mn.Member, epoch int) *agent {
	return &agent{member: m, firstEpoch: epoch, epoch: epoch, report: initialReport(), inFlight: make(map[*request]struct{})}
}

// update applies a report that was received at now. A prefill or decode time that
// the report lacks keeps its last value; a missing role or limit gets its initial
// value.
func (a *agent) update(r LoadReport, now mn.Millis) {
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

// usable reports whether the agent takes new requests.
func (a *agent) usable(now mn.Millis) bool {
	return !a.report.Unavailable && !a.unreachable(now) && now >= a.avoidUntil
}

func (a *agent) unreachable(now mn.Millis) bool {
	return a.disconnected || a.receivedAt != 0 && now-a.receivedAt > maxReportAge
}

// unreported sums up the table's requests in flight that started at or after
// reportedAt, and so are missing from the last report.
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

// answerMillis estimates the milliseconds until the agent has answered req if it
// is sent now.
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

// queueMillis estimates the milliseconds that a new request waits in the agent's
// queue. unreportedCost is the work sent since the last report and age is the age
// of that report. Until the agent has reported a throughput, it is derived from
// the time of a decode step and the limit on running requests.
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

// backOff keeps new requests from the agent for a pause that doubles with each
// consecutive failure up to maxBackoff. jitter is from 0 to 1 and scales the pause
// to between half and all of it.
func (a *agent) backOff(now mn.Millis, jitter float64) {
	pause := float64(initialBackoff) * math.Pow(2, float64(a.failures))
	a.failures++
	a.avoidUntil = now + mn.Millis(min(pause, float64(maxBackoff))*(0.5+jitter/2))
}
