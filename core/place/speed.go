package place

import (
	"math"
	"slices"

	mn "mustardnotch"
)

const (
	// speedBuckets is the number of classes of observed slowdowns, bucketsPerOctave for each
	// doubling, the first of which is centred at 2 to the power of -firstOctave.
	speedBuckets     = 20
	bucketsPerOctave = 4
	firstOctave      = 2
	// speedSpan is the length of a span of observations. Those of the present span and of the
	// one before count.
	speedSpan = 15 * mn.Second
	// speedUpdateInterval is the time between two estimates from the observations of all fronts.
	speedUpdateInterval = 1 * mn.Second
	// speedPrior is the number of observations of a typical engine that are assumed in advance.
	// Fewer could not tell a slow engine from one that was slowed down for a moment.
	speedPrior = 2
	// minSpeedDeviation is the factor up to which an engine counts as typical. Requests of other
	// fronts that nobody knew of delay a prefill by about as much.
	minSpeedDeviation = 1.3
)

// speedCounts counts observed slowdowns by their size.
type speedCounts [speedBuckets]uint32

// bucketOf returns the class of a slowdown, the first one for what is none.
func bucketOf(slowdown float64) int {
	if math.IsNaN(slowdown) {
		return 0
	}
	n := math.Round(bucketsPerOctave * (firstOctave + math.Log2(max(slowdown, 1e-3))))
	return int(min(speedBuckets-1, max(0, n)))
}

// slowdownOf returns the slowdown at the centre of a class.
func slowdownOf(bucket int) float64 {
	return math.Exp2(float64(bucket)/bucketsPerOctave - firstOctave)
}

// add adds other counts.
func (c *speedCounts) add(other []uint32) {
	for i, n := range other[:min(len(other), speedBuckets)] {
		c[i] += n
	}
}

// subtract undoes add.
func (c *speedCounts) subtract(other []uint32) {
	for i, n := range other[:min(len(other), speedBuckets)] {
		c[i] -= n
	}
}

// median returns the median of the slowdowns, with those that are assumed in advance.
func (c *speedCounts) median() float64 {
	all := *c
	all[bucketOf(1)] += speedPrior
	var total, below uint32
	for _, n := range all {
		total += n
	}
	for i, n := range all {
		if below += n; 2*below >= total {
			return slowdownOf(i)
		}
	}
	return 1
}

// speed is what fronts have observed of an engine's slowdown.
type speed struct {
	// own are this front's observations in the present span and the one before. The present
	// one began at since.
	own   [2]speedCounts
	since mn.Millis
	// peers is the sum of the observations of all other fronts.
	peers speedCounts
	// shared is by how much longer than at a typical engine prefills take, by the observations
	// of all fronts. It is 0 before the first estimate.
	shared float64
}

// observe notes that a prefill took slowdown times as long as at a typical engine.
func (s *speed) observe(slowdown float64, now mn.Millis) {
	s.expire(now)
	s.own[0][bucketOf(slowdown)]++
}

// expire drops observations that are too old.
func (s *speed) expire(now mn.Millis) {
	if now-s.since >= speedSpan {
		s.own, s.since = [2]speedCounts{1: s.own[0]}, now
	}
}

// counts returns this front's observations up to the last class that has any.
func (s *speed) counts() []uint32 {
	sum := s.own[0]
	sum.add(s.own[1][:])
	last := speedBuckets
	for last > 0 && sum[last-1] == 0 {
		last--
	}
	return sum[:last]
}

// factor returns the estimate, 1 before the first.
func (s *speed) factor() float64 {
	if s.shared == 0 {
		return 1
	}
	return s.shared
}

// updateSpeeds estimates the speeds of the pool's prefill engines from the observations of all
// fronts, if it is time to.
//
// Load pattern: engines of different speed prefill long prompts for tens of fronts, each of which
// sends a few to any of them in a minute. One front alone takes a slow engine for a typical one
// until the end of the day, and sends it as much.
func (b *Balancer) updateSpeeds(pool mn.PoolID, e *enginePool, now mn.Millis) {
	if now-e.speedsAt < speedUpdateInterval || b.disabled(SharedSpeeds) {
		return
	}
	e.speedsAt = now
	for _, p := range b.peers {
		if now-p.receivedAt > 2*speedSpan {
			b.dropSpeeds(p)
		}
	}
	var medians []float64
	for _, s := range b.byPool[pool] {
		if s.Role != mn.EnginePrefill {
			s.speed.shared = 1 // They tell it themselves, or are learned from each event.
			continue
		}
		s.speed.expire(now)
		all := s.speed.peers
		all.add(s.speed.counts())
		s.speed.shared = all.median()
		medians = append(medians, s.speed.shared)
	}
	if len(medians) == 0 {
		return
	}
	slices.Sort(medians)
	typical := medians[len(medians)/2]
	for _, s := range b.byPool[pool] {
		if s.Role == mn.EnginePrefill {
			s.speed.shared /= typical
			if s.speed.shared < minSpeedDeviation && s.speed.shared > 1/minSpeedDeviation {
				s.speed.shared = 1
			}
		}
	}
}

// speedReport is what the front tells its peers of an engine. Its sequence is that of the last
// change.
type speedReport struct {
	mn.EngineSpeed
	sequence int64
}

// updateSpeedReports notes which reports have changed, at most once in a second, so that the cost
// doesn't grow with engines times fronts.
func (b *Balancer) updateSpeedReports(now mn.Millis) {
	if now-b.speedReportsAt < speedUpdateInterval {
		return
	}
	b.speedReportsAt = now
	for id := range b.speedReports {
		if b.endpoints[id] == nil {
			delete(b.speedReports, id)
		}
	}
	for id, s := range b.endpoints {
		report := mn.EngineSpeed{Endpoint: id, Counts: s.speed.counts(), Pace: s.pace.said.value()}
		was := b.speedReports[id]
		if report.Pace != was.Pace || !slices.Equal(report.Counts, was.Counts) {
			b.lastSpeedReport++
			b.speedReports[id] = speedReport{report, b.lastSpeedReport}
		}
	}
}

// speedsSince returns the reports that have changed since c, and advances c.
func (b *Balancer) speedsSince(c *Cursor, now mn.Millis) []mn.EngineSpeed {
	if b.disabled(SharedSpeeds) {
		return nil
	}
	b.updateSpeedReports(now)
	if c.speedReport == b.lastSpeedReport {
		return nil
	}
	var out []mn.EngineSpeed
	for _, r := range b.speedReports {
		if r.sequence > c.speedReport {
			out = append(out, r.EngineSpeed)
		}
	}
	c.speedReport = b.lastSpeedReport
	return out
}

// receiveSpeeds takes what a peer front has observed of engines, and what they said to it.
func (b *Balancer) receiveSpeeds(p peerState, f mn.FrontState, now mn.Millis) {
	for _, o := range f.Speeds {
		s := b.endpoints[o.Endpoint]
		if s == nil || b.disabled(SharedSpeeds) {
			continue
		}
		s.speed.peers.subtract(p.speeds[o.Endpoint])
		s.speed.peers.add(o.Counts)
		p.speeds[o.Endpoint] = o.Counts
		if o.Pace > 0 {
			s.pace.heard.add(o.Pace, now)
		}
	}
}

// dropSpeeds drops what a peer front has observed of engines.
func (b *Balancer) dropSpeeds(p peerState) {
	for id, counts := range p.speeds {
		if s := b.endpoints[id]; s != nil {
			s.speed.peers.subtract(counts)
		}
	}
	clear(p.speeds)
}

// forgetSpeeds drops what peer fronts have observed of an earlier run of an engine.
func (b *Balancer) forgetSpeeds(id mn.EndpointID) {
	for _, p := range b.peers {
		delete(p.speeds, id)
	}
}
