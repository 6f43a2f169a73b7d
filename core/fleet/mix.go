package fleet

import (
	"math"

	mn "mustardnotch"
)

// Load is the work that arrives, in engines: 1 keeps one engine fully busy.
type Load struct {
	Prefill, Decode float64
}

// Sum returns the load of both phases.
func (l Load) Sum() float64 { return l.Prefill + l.Decode }

// CustomerLoads is the load of each customer of a pool.
type CustomerLoads map[mn.CustomerID]Load

// Total returns the load of all customers.
func (m CustomerLoads) Total() Load {
	var total Load
	for _, l := range m {
		total.Prefill += l.Prefill
		total.Decode += l.Decode
	}
	return total
}

// PrefillShare returns the share of prefill in the load, from 0 to 1.
func (m CustomerLoads) PrefillShare() float64 {
	total := m.Total()
	if total.Sum() == 0 {
		return 0
	}
	return total.Prefill / total.Sum()
}

// RoleCounts counts the engines of a pool by role.
type RoleCounts struct {
	Prefill, Decode, Mixed int
}

// plus returns s with n more engines of a role.
func (r RoleCounts) plus(role mn.EngineRole, n int) RoleCounts {
	switch role {
	case mn.EnginePrefill:
		r.Prefill += n
	case mn.EngineDecode:
		r.Decode += n
	default:
		r.Mixed += n
	}
	return r
}

// ServiceLevel is what a split gives the customers of a mix.
type ServiceLevel struct {
	// Goodput is the load that is served in both phases, in engines.
	Goodput float64
	// WorstShare is the served share of the worst-served customer, from 0 to 1.
	WorstShare float64
}

// Evaluate returns what the split s gives to mix under fair queueing. An engine
// of mixed role works at efficiency, from 0 to 1, of a dedicated one.
func (r RoleCounts) Evaluate(loads CustomerLoads, efficiency float64) ServiceLevel {
	total := loads.Total()
	prefill, decode := r.capacity(total, efficiency)
	prefillShares := fairShares(loads, prefill, func(l Load) float64 { return l.Prefill })
	decodeShares := fairShares(loads, decode, func(l Load) float64 { return l.Decode })
	level := ServiceLevel{WorstShare: 1}
	for c, l := range loads {
		if l.Sum() == 0 {
			continue
		}
		share := min(prefillShares[c], decodeShares[c])
		level.Goodput += share * l.Sum()
		level.WorstShare = min(level.WorstShare, share)
	}
	return level
}

// capacity divides the mixed engines so that both phases are served to the
// same share, as far as the dedicated engines allow.
func (r RoleCounts) capacity(total Load, efficiency float64) (prefill, decode float64) {
	mixed := float64(r.Mixed) * efficiency
	prefill = float64(r.Prefill)
	decode = float64(r.Decode)
	if total.Sum() == 0 {
		return prefill + mixed/2, decode + mixed/2
	}
	even := (prefill + decode + mixed) * total.Prefill / total.Sum()
	toPrefill := min(max(even-prefill, 0), mixed)
	return prefill + toPrefill, decode + mixed - toPrefill
}

// fairShares divides capacity max-min fairly and returns the served share of
// each customer's load of one phase.
func fairShares(loads CustomerLoads, capacity float64, phase func(Load) float64) map[mn.CustomerID]float64 {
	shares := make(map[mn.CustomerID]float64, len(loads))
	unsatisfied := map[mn.CustomerID]float64{}
	for c, l := range loads {
		shares[c] = 1
		if w := phase(l); w > 0 {
			unsatisfied[c] = w
		}
	}
	for len(unsatisfied) > 0 {
		level := capacity / float64(len(unsatisfied))
		progress := false
		for c, w := range unsatisfied {
			if w <= level {
				capacity -= w
				delete(unsatisfied, c)
				progress = true
			}
		}
		if progress {
			continue
		}
		for c, w := range unsatisfied {
			shares[c] = level / w
		}
		return shares
	}
	return shares
}

// Forecast follows a load with its trend, by double exponential smoothing.
type Forecast struct {
	// Level and Trend are the weights of a new sample, from 0 to 1.
	Level, Trend float64

	last    mn.Millis
	started bool
	value   Load
	slope   Load
}

// Add takes in the load l, measured at the instant now.
func (f *Forecast) Add(now mn.Millis, l Load) {
	if !f.started {
		f.started = true
		f.last = now
		f.value = l
		return
	}
	elapsed := float64(now - f.last)
	if elapsed <= 0 {
		return
	}
	f.last = now
	f.value.Prefill, f.slope.Prefill = f.smooth(f.value.Prefill, f.slope.Prefill, l.Prefill, elapsed)
	f.value.Decode, f.slope.Decode = f.smooth(f.value.Decode, f.slope.Decode, l.Decode, elapsed)
}

func (f *Forecast) smooth(value, slope, sample, elapsed float64) (newValue, newSlope float64) {
	newValue = f.Level*sample + (1-f.Level)*(value+slope*elapsed)
	newSlope = f.Trend*(newValue-value)/elapsed + (1-f.Trend)*slope
	return newValue, newSlope
}

// Predict returns the load expected after ahead.
func (f *Forecast) Predict(ahead mn.Millis) Load {
	return Load{
		Prefill: math.Max(0, f.value.Prefill+f.slope.Prefill*float64(ahead)),
		Decode:  math.Max(0, f.value.Decode+f.slope.Decode*float64(ahead)),
	}
}
