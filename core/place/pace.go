package place

import mn "mustardnotch"

const (
	// paceMemory is the time in which what an endpoint said of its pace loses its effect.
	// Neighbours on its VM slow it down for about as long.
	paceMemory = 500 * mn.Millisecond
	// paceWeight is the weight of one report in the moving averages of paces.
	paceWeight = 0.02
	// usualMemory is a time in which an endpoint is at its usual pace at least once.
	usualMemory = 10 * mn.Second
	// minUsualPace and maxUsualPace bound what is believed of an endpoint's usual pace. Its
	// learned slowdown corrects what it says falsely.
	minUsualPace, maxUsualPace = 0.25, 4.0
	// minPace and maxPace bound what is believed of an endpoint, in terms of its usual pace.
	minPace, maxPace = 0.5, 4.0
	// slowPace is the pace from which on an endpoint counts as slowed down.
	slowPace = 1.4
	// minPaceReports is the number of reports in a pool from which on its slow phases count.
	minPaceReports = 50
)

// pace is what an endpoint says of how long work takes there at present. Its VM may be faster or
// slower than others, and has other work too, so this changes many times a second.
type pace struct {
	// said and heard are the lowest figures, in percent, that the endpoint has said to this
	// front, and to others.
	said, heard lowest
	// ratio is what the endpoint said last, in terms of the usual, at the time at.
	ratio float64
	at    mn.Millis
}

// observe notes what the endpoint says in an answer, and returns it in terms of the usual.
func (p *pace) observe(percent int64, now mn.Millis) float64 {
	p.said.add(percent, now)
	p.ratio, p.at = min(maxPace, max(minPace, float64(percent)/(100*p.usual()))), now
	return p.ratio
}

// usual returns by how much longer than at a typical endpoint work takes there while nothing
// slows its VM down: the lowest figure that it has said to any front lately. It is 1 if it says nothing.
func (p *pace) usual() float64 {
	low := lower(p.said.value(), p.heard.value())
	if low == 0 {
		return 1
	}
	return min(maxUsualPace, max(minUsualPace, float64(low)/100))
}

// lowest is the lowest of the figures of the last usualMemory to twice that.
type lowest struct {
	// spans holds the lowest figure in the present span of usualMemory and in the one before,
	// 0 for none. since is when the present one began.
	spans [2]int64
	since mn.Millis
}

func (l *lowest) add(n int64, now mn.Millis) {
	if now-l.since >= usualMemory {
		l.spans, l.since = [2]int64{0, l.spans[0]}, now
	}
	l.spans[0] = lower(l.spans[0], n)
}

// value returns the lowest figure, 0 for none.
func (l *lowest) value() int64 { return lower(l.spans[0], l.spans[1]) }

// lower returns the lower of two figures, of which 0 means none.
func lower(a, b int64) int64 {
	if a == 0 || b > 0 && b < a {
		return b
	}
	return a
}

// factor returns by how much longer than usual work takes at now. It is 1 without a recent
// report.
func (p *pace) factor(now mn.Millis) float64 {
	age := now - p.at
	if p.ratio == 0 || age >= paceMemory {
		return 1
	}
	return 1 + (p.ratio-1)*(1-float64(max(0, age))/float64(paceMemory))
}

// paces is what the endpoints of a pool say of their paces.
type paces struct {
	reports int64
	// slowShare is the moving average of the share of reports of slow phases, and slowFactor
	// that of how slow they are.
	slowShare, slowFactor float64
}

func (p *paces) observe(ratio float64) {
	p.reports++
	slow := 0.0
	if ratio >= slowPace {
		slow = 1
		if p.slowFactor == 0 {
			p.slowFactor = ratio
		}
		p.slowFactor += paceWeight * (ratio - p.slowFactor)
	}
	p.slowShare += paceWeight * (slow - p.slowShare)
}

// pauseRisk returns the share of the time in which a pause that usually takes expected exceeds
// goal, because the endpoint's VM is slowed down.
//
// Load pattern: endpoints of different speed share their VMs with others, which slow each of
// them down several times over for moments that nobody knows in advance. Streams of the fast
// ones stay within their goal even then, those of the slow ones don't.
func (p *paces) pauseRisk(expected, goal float64) float64 {
	if p.reports < minPaceReports || goal <= 0 || expected*p.slowFactor <= goal {
		return 0
	}
	return p.slowShare
}

// usualSlowdown returns by how much longer than at a typical endpoint work takes at s while
// nothing slows its VM down: what it says of itself, and what was learned beyond that.
func (s *endpointState) usualSlowdown() float64 {
	return s.slowdown * s.speed.factor() * s.pace.usual()
}

// SpeedRange tells how far the speeds of a pool's engines differ.
type SpeedRange struct {
	// Fastest and Slowest are the lowest and the highest slowdown in terms of a typical engine.
	Fastest, Slowest float64
	// Told and Shared are the numbers of engines that have told their pace, and whose speed
	// follows from what all fronts observed.
	Told, Shared int64
}

// SpeedRanges returns the range of the speeds of each pool of engines.
func (b *Balancer) SpeedRanges() map[mn.PoolID]SpeedRange {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[mn.PoolID]SpeedRange{}
	for id := range b.engines {
		var r SpeedRange
		for i, s := range b.byPool[id] {
			usual := s.usualSlowdown()
			if i == 0 {
				r.Fastest, r.Slowest = usual, usual
			}
			r.Fastest, r.Slowest = min(r.Fastest, usual), max(r.Slowest, usual)
			if lower(s.pace.said.value(), s.pace.heard.value()) > 0 {
				r.Told++
			}
			if s.speed.factor() != 1 {
				r.Shared++
			}
		}
		out[id] = r
	}
	return out
}

// SlowPhases returns the share of the time in which the endpoints of each pool of engines say
// that their VMs are slowed down, for those that say so.
func (b *Balancer) SlowPhases() map[mn.PoolID]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[mn.PoolID]float64{}
	for id, e := range b.engines {
		if e.paces.reports >= minPaceReports {
			out[id] = e.paces.slowShare
		}
	}
	return out
}

// observePace notes what an endpoint says of its pace.
func (b *Balancer) observePace(s *endpointState, percent int64, now mn.Millis) {
	if percent <= 0 || b.disabled(Paces) {
		return
	}
	ratio := s.pace.observe(percent, now)
	if e := b.engines[s.Pool]; e != nil {
		e.paces.observe(ratio)
	}
}
