package poison

import (
	"slices"

	mn "mustardnotch"
)

// update drops crashes that no longer count, and computes suspects and quarantined from
// the others if that is due.
func (t *SegmentTracker) update() {
	oldest := t.clock.Now() - segmentTTL
	if len(t.crashes) > 0 && t.crashes[0].at <= oldest {
		t.crashes = slices.DeleteFunc(t.crashes, func(c *engineCrash) bool { return c.at <= oldest })
		t.stale = true
	}
	if !t.stale {
		return
	}
	if len(t.cleared) > maxCleared {
		t.forgetCleared()
	}
	known := t.quarantined
	t.stale, t.quarantined = false, nil
	t.version++
	explained := map[*engineCrash]bool{}
	counts := t.count(explained)
	quarantine := func(set []string) {
		t.quarantined = append(t.quarantined, set)
		for _, c := range counts[set[0]].crashes {
			explained[c] = true
		}
		counts = t.count(explained)
	}
	// Engines that end for other reasons don't take back what is known: they add crashes to sound
	// segments, which may then have the most.
	for _, set := range known {
		if stillCount(counts, set) {
			quarantine(set)
		}
	}
	for set := worst(counts); set != nil; set = worst(counts) {
		quarantine(set)
	}
	before := t.suspects
	t.suspects = map[string]mn.Millis{}
	for s, n := range counts {
		if len(n.crashes) < suspectCrashes {
			continue
		}
		since, known := before[s]
		if !known {
			since = t.clock.Now()
		}
		t.suspects[s] = since
	}
}

// forgetCleared drops the segments whose crashes have expired.
func (t *SegmentTracker) forgetCleared() {
	for s, c := range t.cleared {
		if len(t.crashes) == 0 || c.at < t.crashes[0].at {
			delete(t.cleared, s)
		}
	}
}

// crashCount holds the crashes that count against a segment.
type crashCount struct {
	crashes []*engineCrash
	// trials is how many of the crashes were in a trial of the segment.
	trials int
	// others is how many crashes had nothing to do with the segment.
	others int
}

// proved reports whether the segment belongs into quarantine. Where most crashes have nothing to
// do with it, engines end for other reasons, which may be so in its trials too.
func (n *crashCount) proved() bool {
	if n.others > len(n.crashes) {
		return n.trials >= doubtfulTrials
	}
	return n.trials >= quarantineTrials || n.trials > 0 && len(n.crashes) >= sureCrashes
}

// count returns the crashes that count against each segment.
func (t *SegmentTracker) count(explained map[*engineCrash]bool) map[string]*crashCount {
	counts := map[string]*crashCount{}
	unexplained := 0
	for _, c := range t.crashes {
		if explained[c] {
			continue
		}
		unexplained++
		for s, tried := range c.segments {
			if c.at <= t.cleared[s].at {
				continue
			}
			n := counts[s]
			if n == nil {
				n = &crashCount{}
				counts[s] = n
			}
			n.crashes = append(n.crashes, c)
			if tried {
				n.trials++
			}
		}
	}
	for _, n := range counts {
		n.others = unexplained - len(n.crashes)
	}
	return counts
}

// stillCount reports whether crashes in trials still count against segments that were put into
// quarantine together, and the same crashes against each.
func stillCount(counts map[string]*crashCount, set []string) bool {
	first := counts[set[0]]
	return first != nil && first.trials > 0 && !slices.ContainsFunc(set, func(s string) bool {
		return counts[s] == nil || !slices.Equal(counts[s].crashes, first.crashes)
	})
}

// worst returns the segments that belong into quarantine next, sorted, or nil: those with
// the most crashes, if that is proved. If several segments have as many, it returns those
// that share all their crashes.
func worst(counts map[string]*crashCount) []string {
	most := 0
	for _, n := range counts {
		most = max(most, len(n.crashes))
	}
	var first string
	for s, n := range counts {
		if len(n.crashes) == most && n.proved() && (first == "" || s < first) {
			first = s
		}
	}
	if first == "" {
		return nil
	}
	set := []string{}
	for s, n := range counts {
		if slices.Equal(n.crashes, counts[first].crashes) {
			set = append(set, s)
		}
	}
	slices.Sort(set)
	return set
}
