package poison

import (
	"slices"

	mn "mustardnotch"
)

// SegmentCursor records what a peer front was sent. The zero value is for one that was
// sent nothing.
type SegmentCursor struct{ change int64 }

// Since returns what this front observed since c of crashes and cleared segments, and
// advances c. If all is set, for a peer that may have missed what others observed, it
// returns the crashes that Snapshot returns, and the segments cleared by any front within
// recentTime.
func (t *SegmentTracker) Since(c *SegmentCursor, all bool) (crashes []mn.EngineCrash, sound []mn.ClearedSegment) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !all && c.change == t.changes {
		return nil, nil
	}
	now := t.clock.Now()
	for s, r := range t.cleared {
		if all && now-r.at < recentTime || !all && r.change > c.change {
			sound = append(sound, mn.ClearedSegment{Segment: s, Age: now - r.at})
		}
	}
	if all {
		c.change = t.changes
		return t.snapshot(), sound
	}
	for _, e := range t.crashes {
		if e.change > c.change {
			crashes = append(crashes, e.report(now))
		}
	}
	c.change = t.changes
	return crashes, sound
}

// Snapshot returns the crashes that count against suspects and segments in quarantine,
// with only these segments, for a process that starts after all others have ended. The
// version changes with each change of what the tracker knows.
func (t *SegmentTracker) Snapshot() (crashes []mn.EngineCrash, version int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	crashes = t.snapshot()
	return crashes, t.version
}

// snapshot returns the crashes for Snapshot.
func (t *SegmentTracker) snapshot() (crashes []mn.EngineCrash) {
	t.update()
	now := t.clock.Now()
	counts := t.count(nil)
	for _, c := range t.crashes {
		out := c.report(now)
		single := func(s string) bool {
			n := counts[s]
			return n == nil || len(n.crashes) < suspectCrashes || c.at <= t.cleared[s].at
		}
		out.Segments, out.Tried = slices.DeleteFunc(out.Segments, single), slices.DeleteFunc(out.Tried, single)
		if len(out.Segments) > 0 {
			crashes = append(crashes, out)
		}
	}
	return crashes
}

// report returns the crash as it is sent to peers at now.
func (c *engineCrash) report(now mn.Millis) mn.EngineCrash {
	out := mn.EngineCrash{Endpoint: c.endpoint, Age: now - c.at}
	for s, tried := range c.segments {
		out.Segments = append(out.Segments, s)
		if tried {
			out.Tried = append(out.Tried, s)
		}
	}
	slices.Sort(out.Segments)
	slices.Sort(out.Tried)
	return out
}

// Receive applies what a peer front observed or knows.
func (t *SegmentTracker) Receive(crashes []mn.EngineCrash, sound []mn.ClearedSegment) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range crashes {
		t.merge(c)
	}
	for _, s := range sound {
		t.clear(s.Segment, t.clock.Now()-max(0, s.Age))
	}
}
