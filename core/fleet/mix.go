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
	var t Load
	for _, l := range m {
		t.Prefill += l.Prefill
		t.Decode += l.Decode
	}
	return t
}

// PrefillShare returns the share of prefill in the load, from 0 to 1.
func (m CustomerLoads) PrefillShare() float64 {
	t := m.Total()
	if t.Sum() == 0 {
		return 0
	}
	return t.Prefill / t.Sum()
}

// RoleCounts counts the engines of a pool by role.
type RoleCounts struct {
	Prefill, Decode, Mixed int
}

// with returns s with n more engines of a role.
func (s RoleCounts) with(r mn.EngineRole, n int) RoleCounts {
	switch r {
	case mn.EnginePrefill:
		s.Prefill += n
	case mn.EngineDecode:
		s.Decode += n
	default:
		s.Mixed += n
	}
	return s
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
func (s RoleCounts) Evaluate(mix CustomerLoads, efficiency float64) ServiceLevel {
	t := mix.Total()
	prefill, decode := s.capacity(t, efficiency)
	p := fairShares(mix, prefill, func(l Load) float64 { return l.Prefill })
	d := fairShares(mix, decode, func(l Load) float64 { return l.Decode })
	v := ServiceLevel{WorstShare: 1}
	for c, l := range mix {
		if l.Sum() == 0 {
			continue
		}
		share := min(p[c], d[c])
		v.Goodput += share * l.Sum()
		v.WorstShare = min(v.WorstShare, share)
	}
	return v
}

// capacity divides the mixed engines so that both phases are served to the
// same share, as far as the dedicated engines allow.
func (s RoleCounts) capacity(t Load, efficiency float64) (prefill, decode float64) {
	mixed := float64(s.Mixed) * efficiency
	prefill = float64(s.Prefill)
	decode = float64(s.Decode)
	if t.Sum() == 0 {
		return prefill + mixed/2, decode + mixed/2
	}
	even := (prefill + decode + mixed) * t.Prefill / t.Sum()
	toPrefill := min(max(even-prefill, 0), mixed)
	return prefill + toPrefill, decode + mixed - toPrefill
}

// fairShares divides capacity max-min fairly and returns the served share of
// each customer's load of one phase.
func fairShares(mix CustomerLoads, capacity float64, phase func(Load) float64) map[mn.CustomerID]float64 {
	shares := make(map[mn.CustomerID]float64, len(mix))
	open := map[mn.CustomerID]float64{}
	for c, l := range mix {
		shares[c] = 1
		if w := phase(l); w > 0 {
			open[c] = w
		}
	}
	for len(open) > 0 {
		level := capacity / float64(len(open))
		met := false
		for c, w := range open {
			if w <= level {
				capacity -= w
				delete(open, c)
				met = true
			}
		}
		if met {
			continue
		}
		for c, w := range open {
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

	last  mn.Millis
	begun bool
	value Load
	slope Load
}

// Add takes in the load l, measured at the instant now.
func (f *Forecast) Add(now mn.Millis, l Load) {
	if !f.begun {
		f.begun = true
		f.last = now
		f.value = l
		return
	}
	span := float64(now - f.last)
	if span <= 0 {
		return
	}
	f.last = now
	f.value.Prefill, f.slope.Prefill = f.smooth(f.value.Prefill, f.slope.Prefill, l.Prefill, span)
	f.value.Decode, f.slope.Decode = f.smooth(f.value.Decode, f.slope.Decode, l.Decode, span)
}

func (f *Forecast) smooth(value, slope, sample, span float64) (newValue, newSlope float64) {
	newValue = f.Level*sample + (1-f.Level)*(value+slope*span)
	newSlope = f.Trend*(newValue-value)/span + (1-f.Trend)*slope
	return newValue, newSlope
}

// Predict returns the load expected after ahead.
func (f *Forecast) Predict(ahead mn.Millis) Load {
	return Load{
		Prefill: math.Max(0, f.value.Prefill+f.slope.Prefill*float64(ahead)),
		Decode:  math.Max(0, f.value.Decode+f.slope.Decode*float64(ahead)),
	}
}
