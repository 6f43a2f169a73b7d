package route

import (
	"math"

	mn "mustardnotch"
)

const (
	// outputCost is the work of one output token, in prompt tokens.
	outputCost = 4
	// outputRatio is the part of the allowed output that is expected.
	outputRatio = 0.5
	// halfBatch is the batch size at which an engine's decode step takes twice
	// as long as with an empty batch.
	halfBatch = 16
	// silence is the age of a report past which an agent counts as
	// unreachable.
	silence = 3 * mn.Second
)

// Bounds of the pause after failures in a row.
const (
	firstBackoff = 250 * mn.Millisecond
	maxBackoff   = 10 * mn.Second
)

// agent is what a table knows of one agent.
type agent struct {
	member   mn.Member
	report   Report
	about    mn.Millis // the instant the report tells of
	heard    mn.Millis // the instant the report came in, 0 for none
	lost     bool      // the stream of reports broke
	fed      bool      // the table gets its reports
	flights  map[*flight]struct{}
	ended    int // own requests in the report that have ended since
	born     int // the first epoch
	epoch    int // grows with each gap in the cache events
	failures int
	avoid    mn.Millis // no new work before this instant
}

// flight is one of the table's own requests at an agent.
type flight struct {
	started mn.Millis
	prompt  float64 // prompt tokens that need prefill
	output  float64
}

func (f *flight) cost() float64 { return f.prompt + f.output*outputCost }

func newAgent(m mn.Member, epoch int) *agent {
	return &agent{member: m, born: epoch, epoch: epoch, report: initialReport(), flights: make(map[*flight]struct{})}
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
	a.about = now - r.Age
	a.heard = now
	a.lost = false
	a.ended = 0
}

// usable says whether new work may go to the agent.
func (a *agent) usable(now mn.Millis) bool {
	return !a.report.Unavailable && !a.unreachable(now) && now >= a.avoid
}

func (a *agent) unreachable(now mn.Millis) bool {
	return a.lost || a.heard != 0 && now-a.heard > silence
}

// newer sums up the own requests that the last report can't know of.
func (a *agent) newer() (count, prompt, cost float64) {
	for f := range a.flights {
		if f.started < a.about {
			continue
		}
		count++
		prompt += f.prompt
		cost += f.cost()
	}
	return count, prompt, cost
}

// expect estimates the milliseconds until a request there is answered.
func (a *agent) expect(f *flight, now mn.Millis) float64 {
	r := &a.report
	count, prompt, cost := a.newer()
	age := float64(now - a.about)
	if a.heard == 0 {
		age = 0
	}
	running := max(r.Running+count-float64(a.ended), float64(len(a.flights)))
	prefill := max(r.PrefillTokens+prompt-age/r.PrefillMillis, 0) * r.PrefillMillis
	decode := r.DecodeMillis * (halfBatch + min(running, r.Limit)) / (halfBatch + r.Running)
	return a.wait(running, cost, age) + prefill + f.prompt*r.PrefillMillis + f.output*decode
}

// wait estimates the time in the agent's queue.
func (a *agent) wait(running, newer, age float64) float64 {
	r := &a.report
	if running < r.Limit && r.Backlog == 0 {
		return 0
	}
	pace := r.Throughput
	if pace <= 0 {
		pace = r.Limit * outputCost / r.DecodeMillis
	}
	return max(r.Backlog+newer-age*pace, 0) / pace
}

// fail lengthens the pause after each failure in a row.
func (a *agent) fail(now mn.Millis, jitter float64) {
	pause := float64(firstBackoff) * math.Pow(2, float64(a.failures))
	a.failures++
	a.avoid = now + mn.Millis(min(pause, float64(maxBackoff))*(0.5+jitter/2))
}
