package fleet

import (
	"math"

	mn "mustardnotch"
)

// Load is the offered load by phase, in engines: a load of 1 keeps one engine
// fully busy.
type Load struct {
	Prefill, Decode float64
}

// Sum returns the total load of both phases.
func (l Load) Sum() float64 { return l.Prefill + l.Decode }

// CustomerLoads is the load on a pool by customer.
type CustomerLoads map[mn.CustomerID]Load

// Total returns the total load of all customers.
func (m CustomerLoads) Total() Load {
	var total Load
	for _, l := range m {
		total.Prefill += l.Prefill
		total.Decode += l.Decode
	}
	return total
}

// PrefillShare returns the share of prefill in the total load, from 0 to 1.
func (m CustomerLoads) PrefillShare() float64 {
	total := m.Total()
	if total.Sum() == 0 {
		return 0
	}
	return total.Prefill / total.Sum()
}

// RoleCounts is the number of engines of a pool by role.
type RoleCounts struct {
	Prefill, Decode, Mixed int
}

// plus returns r with n more engines of a role.
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

// ServiceLevel is how well the engines of a pool serve its customers.
type ServiceLevel struct {
	// Goodput is the load that is served in both phases, in engines.
	Goodput float64
	// WorstShare is the served share of the worst-served customer, from 0 to 1.
	WorstShare float64
}

// Evaluate returns the service level that the engines r give to loads under fair
// queueing. An engine of mixed role does the fraction efficiency, from 0 to 1, of
// the work of a dedicated one.
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

// capacity returns the capacity for each phase. It divides the mixed engines so
// that the same share of both phases is served, as far as the dedicated engines
// allow.
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

// fairShares divides capacity between the customers with max-min fairness and
// returns the served share of each customer's load in one phase.
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

// Forecast tracks the level and trend of a load by double exponential smoothing.
type Forecast struct {
	// Level and Trend are the smoothing factors of the level and of the trend,
	// which are the weights of a new sample, from 0 to 1.
	Level, Trend float64

	last    mn.Millis
	started bool
	value   Load
	slope   Load
}

// Add adds the sample l, measured at now. A sample that isn't newer than the last
// one is ignored.
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

// Predict returns the load expected at the time ahead after the last sample.
func (f *Forecast) Predict(ahead mn.Millis) Load {
	return Load{
		Prefill: math.Max(0, f.value.Prefill+f.slope.Prefill*float64(ahead)),
		Decode:  math.Max(0, f.value.Decode+f.slope.Decode*float64(ahead)),
	}
}
