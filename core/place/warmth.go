package place

import (
	mn "mustardnotch"
	"mustardnotch/core/warm"
)

// shareInterval is the time after which a front computes its share of a cold endpoint again:
// fronts come and go while endpoints are cold.
const shareInterval = 500 * mn.Millisecond

// warmth is what the front knows of how cold an endpoint is.
type warmth struct {
	warm.Gate
	// interval is the time between two requests of this front while the endpoint is cold, and
	// sends false if it sends none. They were computed at sharedAt.
	interval mn.Millis
	sends    bool
	sharedAt mn.Millis
}

// SetEvacuated sets the data centres to whose endpoints nothing may be sent. Endpoints of those
// that are taken back may have become cold without having said so.
func (b *Balancer) SetEvacuated(list []mn.DataCentre) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.evacuated = make(map[mn.DataCentre]bool, len(list))
	for _, dc := range list {
		b.evacuated[dc] = true
	}
	now := b.clock.Now()
	for _, s := range b.endpoints {
		before := s.evacuated
		s.evacuated = b.evacuated[s.DataCentre]
		if before && !s.evacuated {
			s.warmth.Extend(now + b.pools[s.Pool].ColdFor)
		}
	}
}

// limitsCold reports whether an endpoint is cold and bears only some requests.
func (b *Balancer) limitsCold(s *endpointState, now mn.Millis) bool {
	return s.warmth.Cold(now) && b.pools[s.Pool].ColdRate > 0
}

// warmEnough reports whether a request may be placed at s now, as far as s is cold.
func (b *Balancer) warmEnough(s *endpointState, now mn.Millis) bool {
	if !b.limitsCold(s, now) {
		return true
	}
	w := &s.warmth
	if now-w.sharedAt >= shareInterval && b.config.Fronts != nil {
		w.interval, w.sends = warm.Interval(s.ID, b.config.Self, b.config.Fronts(), b.pools[s.Pool].ColdRate, now-b.startedAt)
		w.sharedAt = now
	}
	return w.sends && w.Open(now)
}

// passGate notes that a request is placed at s.
func (b *Balancer) passGate(s *endpointState) {
	if now := b.clock.Now(); b.limitsCold(s, now) {
		s.warmth.Pass(now, s.warmth.interval)
	}
}

// warmingUp reports whether an endpoint of the job's pool could be used if it were not cold.
func (b *Balancer) warmingUp(j *Job, now mn.Millis) bool {
	for _, s := range b.byPool[j.Pool] {
		if s.usable(now, j.Avoid) && b.limitsCold(s, now) {
			return true
		}
	}
	return false
}

// ColdEndpoints returns the number of endpoints that count as cold and bear only some requests,
// and of how many of them this front sends requests to.
func (b *Balancer) ColdEndpoints() (cold, used int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	for _, s := range b.endpoints {
		if !b.limitsCold(s, now) {
			continue
		}
		cold++
		if s.warmth.sends {
			used++
		}
	}
	return cold, used
}
