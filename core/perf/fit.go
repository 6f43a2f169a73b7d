package perf

import (
	"math"

	mn "mustardnotch"
)

const (
	// relativeNoise is the standard deviation of an observation that the model
	// explains, as a share of what it expects.
	relativeNoise = 0.25
	// minNoise is the least standard deviation of an observation, in milliseconds.
	minNoise = 2.0
	// clip is the number of standard deviations beyond which a longer duration counts
	// less: it contains waits that the front did not know of.
	clip = 1.0
	// lowerWeight is the weight of a duration below the estimate of a fit that follows
	// the longer ones.
	lowerWeight = 0.01
	// memory is the time constant, in milliseconds, with which observations are forgotten
	// while new ones arrive.
	memory = 8000.0
	// maxGap is the longest time between two observations, in milliseconds, that
	// counts for forgetting. Nothing is forgotten while there is no traffic.
	maxGap = 500.0
	// solveRounds is the number of rounds of the projected Gauss-Seidel method. The
	// systems have four unknowns and are well conditioned by the prior.
	solveRounds = 24
)

// terms is the number of terms of a fit.
const terms = 4

// vector holds one value for each term.
type vector [terms]float64

// sums holds the observations of a fit: the normal equations of weighted least squares.
// Sums of different fronts can be added.
type sums struct {
	// xx is the upper triangle of the weighted products of the terms, by rows, and
	// xy the weighted products of the terms and the duration.
	xx [terms * (terms + 1) / 2]float64
	xy vector
	// count is the decayed number of observations, and deviation the decayed sum of
	// their absolute relative errors.
	count, deviation float64
}

// sumValues is the number of values in sums.
const sumValues = terms*(terms+1)/2 + terms + 2

func (s *sums) add(o *sums, factor float64) {
	for i := range s.xx {
		s.xx[i] += factor * o.xx[i]
	}
	for i := range s.xy {
		s.xy[i] += factor * o.xy[i]
	}
	s.count += factor * o.count
	s.deviation += factor * o.deviation
}

func (s *sums) scale(factor float64) { s.add(s, factor-1) }

// values returns the sums as a list.
func (s *sums) values() []float64 {
	out := append(make([]float64, 0, sumValues), s.xx[:]...)
	return append(append(out, s.xy[:]...), s.count, s.deviation)
}

// sumsOf is the inverse of values. It reports whether the list can be sums: anything
// else would spoil the fit for good.
func sumsOf(values []float64) (s sums, ok bool) {
	if len(values) != sumValues {
		return s, false
	}
	for _, v := range values {
		if math.IsNaN(v) || v < 0 || v > 1e12 {
			return s, false
		}
	}
	n := copy(s.xx[:], values)
	n += copy(s.xy[:], values[n:])
	s.count, s.deviation = values[n], values[n+1]
	return s, true
}

// fit is a linear model of a duration in milliseconds with coefficients that are not
// negative, fitted by weighted least squares with a prior.
type fit struct {
	// prior is the most likely coefficients without observations, and spread the standard
	// deviation of each as a multiple of it.
	prior, spread vector
	// upper makes the fit follow the longer of the durations.
	upper bool
	// own holds the observations of this front, peers those of all others.
	own, peers sums
	updatedAt  mn.Millis
	// solution is valid if solved is set.
	solution vector
	solved   bool
}

// estimate returns the expected duration for terms x.
func (f *fit) estimate(x vector) float64 {
	c := f.coefficients()
	var sum float64
	for i := range terms {
		sum += c[i] * x[i]
	}
	return sum
}

// observe adds an observation: terms x took the given number of milliseconds.
func (f *fit) observe(x vector, took float64, now mn.Millis) {
	if f.own.count > 0 {
		f.own.scale(math.Exp(-min(maxGap, max(0, float64(now-f.updatedAt))) / memory))
	}
	f.updatedAt = now
	expected := f.estimate(x)
	noise := max(minNoise, relativeNoise*expected)
	if !f.upper {
		// Relative to the longer of the two, so that a model which is far off recovers.
		noise = max(noise, relativeNoise*took)
	}
	weight := 1 / (noise * noise)
	deviation := (took - expected) / noise
	switch {
	case f.upper && deviation < 0:
		weight *= lowerWeight
	case !f.upper && deviation > clip:
		weight *= clip / deviation // a much longer duration most likely contains a wait
	}
	i := 0
	for r := range terms {
		for c := r; c < terms; c++ {
			f.own.xx[i] += weight * x[r] * x[c]
			i++
		}
		f.own.xy[r] += weight * x[r] * took
	}
	f.own.count++
	f.own.deviation += math.Abs(took-expected) / max(1, expected)
	f.solved = false
}

// setPrior replaces the prior.
func (f *fit) setPrior(prior vector) {
	if f.prior != prior {
		f.prior, f.solved = prior, false
	}
}

// addPeer adds a peer's observations, or subtracts them if factor is -1.
func (f *fit) addPeer(s *sums, factor float64) {
	f.peers.add(s, factor)
	f.solved = false
}

// coefficients returns the coefficients with the least squared error among those
// that are not negative.
func (f *fit) coefficients() vector {
	if f.solved {
		return f.solution
	}
	total := f.own
	total.add(&f.peers, 1)
	var a [terms][terms]float64
	b := total.xy
	i := 0
	for r := range terms {
		for c := r; c < terms; c++ {
			a[r][c], a[c][r] = total.xx[i], total.xx[i]
			i++
		}
		deviation := f.spread[r] * f.prior[r]
		precision := 1 / (deviation * deviation)
		a[r][r] += precision
		b[r] += precision * f.prior[r]
	}
	c := f.solution
	if c == (vector{}) {
		c = f.prior
	}
	for range solveRounds {
		for r := range terms {
			rest := b[r]
			for k := range terms {
				if k != r {
					rest -= a[r][k] * c[k]
				}
			}
			c[r] = max(0, rest/a[r][r])
		}
	}
	f.solution, f.solved = c, true
	return c
}

// observations returns the decayed number of observations, and their mean absolute
// error as a share of what was expected.
func (f *fit) observations() (count, err float64) {
	count = f.own.count + f.peers.count
	if count <= 0 {
		return 0, 0
	}
	return count, (f.own.deviation + f.peers.deviation) / count
}
