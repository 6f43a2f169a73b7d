package perf

import (
	mn "mustardnotch"
)

// The prior describes a medium engine. Its spread of 1 allows for engines that are
// several times faster or slower; some ten observations outweigh it.
const (
	priorSpread = 1.0
	// localSpread is the spread of the speed of prefills at engines that also generate:
	// the declared share of the other engines' speed, and their steps, bound it.
	localSpread = 0.3
	// priorPrefillOverhead is the fixed time of a prefill, in milliseconds.
	priorPrefillOverhead = 30.0
	// priorPrefillPer1000 is the time to prefill 1,000 tokens, in milliseconds.
	priorPrefillPer1000 = 14.0
	// priorAttention is the time for a million pairs of a prefilled token and a token
	// in front of it, in milliseconds.
	priorAttention = 0.2
	// priorStartDelay is the fixed time until an engine that has the KV cache of a
	// prompt generates, in milliseconds.
	priorStartDelay = 30.0
	// priorStep and priorStepPerRequest are the time of a decode step, in
	// milliseconds: the fixed part, and the part for each running request.
	priorStep, priorStepPerRequest = 3.5, 0.1
	// priorPerRunning is how much longer the prefill of 1,000 tokens takes for each
	// running request, in milliseconds.
	priorPerRunning = 0.2
	// noPrior stands for a coefficient whose term is always 0.
	noPrior = 1.0
	// priorStall is how much longer a decode step takes that also prefills a chunk of
	// a prompt, in milliseconds. It is on the high side: an engine that prefills little
	// doesn't show how long it would stall.
	priorStall = 40.0
	// maxKnownWaitShare is the known wait of a prefill, as a share of its own work, up
	// to which the prefill is observed.
	maxKnownWaitShare = 0.5
	// maxUnknownWork is how many times the known prefill work of an engine may be what
	// it did between two events, since peer fronts send it more.
	maxUnknownWork = 2.0
)

// quantity is a duration that is fitted.
type quantity int

const (
	// separatePrefill and localPrefill are prefills at an engine that only prefills,
	// and at one that also generates: a fixed time, 1,000 uncached tokens, a million
	// pairs of tokens, and 1,000 uncached tokens for each running request, whose steps
	// alternate with the chunks.
	separatePrefill quantity = iota
	localPrefill
	// eventInterval is the time between two events at an engine that doesn't prefill:
	// a fixed time and running requests.
	eventInterval
	// stall is how much longer that time is at most at an engine that also prefills: a
	// fixed time.
	stall
	// outputStart is the time until the first event of a request whose KV cache is
	// fetched, without the transfer: a fixed time.
	outputStart
	quantities
)

// Timings is what a front has observed of a pool's engines, to be added to that of
// other fronts.
type Timings []float64

// Model is the model of the engines of one pool. It is not safe for concurrent use.
type Model struct {
	fits [quantities]fit
	// localSpeed is the prefill speed of an engine that also generates, as a share of
	// that of one that only prefills.
	localSpeed float64
	tokens     float64
}

// New returns the model of a pool of which nothing was observed yet.
func New(spec mn.EngineSpec) *Model {
	m := &Model{}
	for q := range m.fits {
		m.fits[q].spread = vector{priorSpread, priorSpread, priorSpread, priorSpread}
	}
	m.fits[localPrefill].spread = vector{priorSpread, localSpread, localSpread, priorSpread}
	m.fits[stall].upper = true
	m.fits[separatePrefill].prior = vector{priorPrefillOverhead, priorPrefillPer1000, priorAttention, noPrior}
	m.fits[outputStart].prior = vector{priorStartDelay, noPrior, noPrior, noPrior}
	m.SetSpec(spec)
	return m
}

// SetSpec sets what the platform declares of the engines.
func (m *Model) SetSpec(spec mn.EngineSpec) {
	m.tokens = float64(max(1, spec.TokensPerEvent))
	m.localSpeed = spec.LocalPrefillSpeed
	if m.localSpeed <= 0 || m.localSpeed > 1 {
		m.localSpeed = 1
	}
	m.fits[eventInterval].setPrior(vector{priorStep * m.tokens, priorStepPerRequest * m.tokens, noPrior, noPrior})
	m.fits[stall].setPrior(vector{priorStall * m.tokens, noPrior, noPrior, noPrior})
	m.updateLocalPrior()
}

// updateLocalPrior derives the prior of prefills at engines that also generate from
// the other prefills.
func (m *Model) updateLocalPrior() {
	c := m.fits[separatePrefill].coefficients()
	if c[1] > 0 && c[2] > 0 {
		m.fits[localPrefill].setPrior(vector{priorPrefillOverhead, c[1] / m.localSpeed, c[2] / m.localSpeed, priorPerRunning})
		return
	}
	m.fits[localPrefill].setPrior(vector{priorPrefillOverhead, priorPrefillPer1000 / m.localSpeed, priorAttention / m.localSpeed, priorPerRunning})
}

// Prefill describes a prefill.
type Prefill struct {
	// Local reports whether the engine also generates.
	Local bool
	// Tokens is the length of the prompt, and Uncached how many of its tokens are not
	// in the engine's cache.
	Tokens, Uncached int64
	// Running is the number of requests that the engine runs meanwhile.
	Running int64
}

func (p Prefill) quantity() quantity {
	if p.Local {
		return localPrefill
	}
	return separatePrefill
}

func (p Prefill) terms() vector {
	uncached := float64(p.Uncached)
	return vector{1, uncached / 1e3, uncached * (float64(p.Tokens) - uncached/2) / 1e6, uncached / 1e3 * float64(p.Running)}
}

// PrefillWork returns how long an engine is busy with a prefill, in milliseconds.
func (m *Model) PrefillWork(p Prefill) float64 {
	c, x := m.fits[p.quantity()].coefficients(), p.terms()
	return c[1]*x[1] + c[2]*x[2] + c[3]*x[3]
}

// PrefillOverhead returns the fixed time that an answer takes in addition to its
// prefill, in milliseconds.
func (m *Model) PrefillOverhead(local bool) float64 {
	return m.fits[Prefill{Local: local}.quantity()].coefficients()[0]
}

// ObservePrefill adds a prefill that took the given time from when the request was
// sent until the prefill engine's answer, or until the first event of a local prefill,
// in milliseconds. The front knew that it would wait for knownWait. The durations are
// those of an engine of usual speed.
func (m *Model) ObservePrefill(p Prefill, took, knownWait float64, now mn.Millis) {
	if knownWait > maxKnownWaitShare*m.PrefillWork(p) {
		return
	}
	m.fits[p.quantity()].observe(p.terms(), max(0, took-knownWait), now)
	if !p.Local {
		m.updateLocalPrior()
	}
}

// EventInterval returns the time between two events of a stream at an engine that
// runs the given number of requests and does not prefill, in milliseconds.
func (m *Model) EventInterval(running int64) float64 {
	return m.fits[eventInterval].estimate(vector{1, float64(running)})
}

// Stall returns how much longer the time between two events is at most while the
// engine also prefills, in milliseconds.
func (m *Model) Stall() float64 { return m.fits[stall].coefficients()[0] }

// ObserveInterval adds the time between two events, in milliseconds, at an engine that
// had the given prefill work at the first and at the second event.
func (m *Model) ObserveInterval(took float64, running int64, workBefore, workAfter float64, now mn.Millis) {
	switch {
	case workBefore <= 0 && workAfter <= 0:
		m.fits[eventInterval].observe(vector{1, float64(running)}, took, now)
	case workBefore > 0 && m.trained(eventInterval):
		// What is far beyond the known work has other causes.
		m.fits[stall].observe(vector{1}, min(maxUnknownWork*max(workBefore, workAfter), max(0, took-m.EventInterval(running))), now)
	}
}

// OutputStart returns the time until the first event of a request whose KV cache is
// fetched, without the transfer, in milliseconds.
func (m *Model) OutputStart() float64 { return m.fits[outputStart].estimate(vector{1}) }

// ObserveStart adds the time from when a request whose KV cache was fetched was sent
// until its first event, without the transfer, in milliseconds.
func (m *Model) ObserveStart(took float64, now mn.Millis) {
	m.fits[outputStart].observe(vector{1}, max(0, took), now)
}

// OutputTime returns the time from the first event until the last of an output with
// the given number of tokens, in milliseconds.
func (m *Model) OutputTime(tokens, running int64, prefilling bool) float64 {
	interval := m.EventInterval(running)
	if prefilling {
		interval += m.Stall()
	}
	return interval * float64(tokens) / m.tokens
}

// Trained reports whether there is enough observations of prefills at engines of one kind
// to tell slow engines from a model that is off.
func (m *Model) Trained(local bool) bool {
	return m.trained(Prefill{Local: local}.quantity())
}

func (m *Model) trained(q quantity) bool {
	const enough = 12
	count, _ := m.fits[q].observations()
	return count >= enough
}

// Timings returns what this front has observed.
func (m *Model) Timings() Timings {
	out := make(Timings, 0, int(quantities)*sumValues)
	for q := range m.fits {
		out = append(out, m.fits[q].own.values()...)
	}
	return out
}

// AddPeer adds the timings of a peer front, or subtracts it if factor is -1. It
// reports whether t is a list of timings; it ignores anything else.
func (m *Model) AddPeer(t Timings, factor float64) bool {
	if len(t) != int(quantities)*sumValues {
		return false
	}
	var all [quantities]sums
	for q := range all {
		var ok bool
		if all[q], ok = sumsOf(t[q*sumValues : (q+1)*sumValues]); !ok {
			return false
		}
	}
	for q := range all {
		m.fits[q].addPeer(&all[q], factor)
	}
	m.updateLocalPrior()
	return true
}

// Value is one fitted duration, for logs and metrics.
type Value struct {
	Name string
	// Coefficients are in milliseconds for one unit of each term.
	Coefficients []float64
	// Observations is the decayed number of observations, and Error their mean
	// absolute error as a share of what was expected.
	Observations, Error float64
}

// Values returns the fitted durations.
func (m *Model) Values() []Value {
	names := [quantities]string{separatePrefill: "separate_prefill", localPrefill: "local_prefill", eventInterval: "event_interval", stall: "stall", outputStart: "output_start"}
	var out []Value
	for q := range m.fits {
		c := m.fits[q].coefficients()
		v := Value{Name: names[q], Coefficients: c[:]}
		switch quantity(q) {
		case separatePrefill:
			v.Coefficients = c[:3]
		case eventInterval:
			v.Coefficients = c[:2]
		case stall, outputStart:
			v.Coefficients = c[:1]
		}
		v.Observations, v.Error = m.fits[q].observations()
		out = append(out, v)
	}
	return out
}
