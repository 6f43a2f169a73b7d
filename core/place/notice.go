package place

import mn "mustardnotch"

// noticeTTL is how long a notice of a run that is not listed is kept. Its entry may be lost
// for a while, and endpoints that leave have ended by then.
const noticeTTL = 10 * mn.Minute

// runKey identifies a run of an endpoint.
type runKey struct {
	id        mn.EndpointID
	startedAt mn.Millis
}

// notice is what an endpoint has said of itself in its answers to this front. It holds for
// one run of the endpoint, whatever the list says of it: lists may go back to an earlier run.
type notice struct {
	// leaving is set once the endpoint has announced that it leaves.
	leaving bool
	// pausedUntil is the end of the time for which the endpoint wants no requests.
	pausedUntil mn.Millis
	// listedAt is when the endpoint was last in the list.
	listedAt mn.Millis
}

// ObserveReply records what an endpoint says of itself in an answer: that it leaves, or
// that it wants no requests for some time. It reports whether that is new and concerns the
// run that is listed.
//
// Load pattern: endpoints leave, or are overloaded, and the front learns of it from their
// answers long before the list tells it, or while it has no new list at all.
func (b *Balancer) ObserveReply(e mn.Endpoint, r mn.ReplyInfo) bool {
	if !r.Leaving && r.Pause <= 0 && r.Pace <= 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	key, now := runKey{e.ID, e.StartedAt}, b.clock.Now()
	if s := b.endpoints[e.ID]; s != nil && s.StartedAt == e.StartedAt {
		b.observePace(s, r.Pace, now)
	}
	if !r.Leaving && r.Pause <= 0 {
		return false
	}
	n := b.notices[key]
	if n == nil {
		n = &notice{listedAt: now}
		b.notices[key] = n
	}
	s := b.endpoints[e.ID]
	otherRun := s != nil && s.StartedAt != e.StartedAt
	if s != nil && !otherRun {
		s.notice = n
	}
	changed := r.Leaving && !n.leaving || r.Pause > 0 && now+r.Pause > n.pausedUntil
	n.leaving = n.leaving || r.Leaving
	if r.Pause > 0 {
		n.pausedUntil = max(n.pausedUntil, now+r.Pause)
	}
	return changed && !otherRun
}

// updateNotices attaches the notices to the endpoints of a new list, and drops those of
// runs that have not been listed for long.
func (b *Balancer) updateNotices(now mn.Millis) {
	for key, n := range b.notices {
		s := b.endpoints[key.id]
		switch {
		case s != nil && s.StartedAt == key.startedAt:
			n.listedAt, s.notice = now, n
		case now-n.listedAt > noticeTTL:
			delete(b.notices, key)
		}
	}
}

// leaves reports whether the endpoint leaves, by the list, by its own notice or because its
// data centre is evacuated.
func (s *endpointState) leaves() bool {
	return s.evacuated || s.State != mn.EndpointReady || s.notice != nil && s.notice.leaving
}

// asksPause reports whether the endpoint wants no requests at now.
func (s *endpointState) asksPause(now mn.Millis) bool {
	return s.notice != nil && now < s.notice.pausedUntil
}

// CheckSend returns an error if a request that was placed at an endpoint must not be sent
// there any more.
func (b *Balancer) CheckSend(id mn.EndpointID) *mn.Error {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, now := b.endpoints[id], b.clock.Now()
	switch {
	case s == nil:
		return mn.Errorf(mn.NoEndpoint, "endpoint %s is gone", id)
	case s.evacuated:
		return mn.Errorf(mn.NoEndpoint, "data centre %s of endpoint %s is evacuated", s.DataCentre, id)
	case s.leaves():
		return mn.Errorf(mn.NoEndpoint, "endpoint %s is leaving", id)
	case s.asksPause(now):
		return mn.Errorf(mn.NoEndpoint, "endpoint %s wants no requests for %d ms", id, s.notice.pausedUntil-now)
	}
	return nil
}

// untilUsable returns how long until an endpoint of the pool can be used again, among those
// that only pause. It returns false if none does.
func (b *Balancer) untilUsable(j *Job, now mn.Millis) (mn.Millis, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	shortest, found := mn.Millis(0), false
	for _, s := range b.byPool[j.Pool] {
		if s.leaves() || s.Changing || !s.asksPause(now) {
			continue
		}
		if until := max(s.notice.pausedUntil, s.pausedUntil) - now; !found || until < shortest {
			shortest, found = until, true
		}
	}
	return shortest, found
}

// AsksPause reports whether an endpoint wants no requests now, or must not get any.
func (b *Balancer) AsksPause(id mn.EndpointID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.endpoints[id]
	return s != nil && (s.evacuated || s.asksPause(b.clock.Now()))
}
