package poison

import (
	"cmp"
	"slices"
	"sync"

	mn "mustardnotch"
)

// SuspectedSegment means that a request shares a prompt segment with requests that were
// running on endpoints as these crashed.
const SuspectedSegment mn.Code = 327

func init() {
	mn.RegisterCode(mn.CodeDoc{Code: SuspectedSegment, Title: "suspected prompt segment", Since: "0.3",
		Severity: mn.SeverityRetry, Outcome: mn.OutcomeNotRun,
		Text: "A segment of the prompt may crash endpoints. A trial with another request decides within a second or two."})
}

const (
	// suspectCrashes is how many crashes make a segment a suspect.
	suspectCrashes = 2
	// quarantineTrials is how many crashes in trials put a segment into quarantine. One
	// is enough for a segment with sureCrashes crashes: endpoints also crash for other
	// reasons, and a trial may be running there.
	quarantineTrials = 2
	sureCrashes      = 5
	// doubtfulTrials is the same while most crashes have nothing to do with the segment.
	doubtfulTrials = 3
	// trialStagger is the time after which the front with the next rank may try a
	// suspect as well. The first may get no request with it.
	trialStagger = 300 * mn.Millisecond
	// suspectRetryAfter is when a caller with a suspected segment comes back: a trial
	// has mostly ended by then.
	suspectRetryAfter = 300 * mn.Millisecond
	// restartTime is less than an endpoint takes to be back after a crash. Reports of
	// crashes of an endpoint within it are of the same one.
	restartTime = 2 * mn.Second
	// segmentTTL is how long a crash counts.
	segmentTTL = 10 * mn.Minute
	// maxCrashes bounds the crashes that are kept, and maxCrashSegments the segments of
	// each.
	maxCrashes       = 256
	maxCrashSegments = 512
	// recentTime is longer than the time between two full states.
	recentTime = 15 * mn.Second
	// maxCleared bounds the segments that are known to be sound.
	maxCleared = 4096
)

// maxBeginning is how many events of an answer belong to its beginning. Without a bound, the trial
// of a long answer would hold back sound requests for as long as the answer runs.
const maxBeginning = 32

// IsBeginning reports whether an answer of which the given number of events has arrived is at its
// beginning, where a segment of its prompt may crash the engine. A request that is past it clears
// its segments, as one does that has run to its end.
func IsBeginning(events int) bool { return events <= maxBeginning }

// SegmentTracker finds prompt segments that crash the engines which begin to answer
// requests with them. It combines the observations of all fronts, and is safe for
// concurrent use.
//
// Load pattern: now and then a request has a segment that ends any engine. Each request
// is different; they share their other segments and their callers with sound requests.
// An engine runs tens of requests when it ends.
//
// All segments of requests are counted whose answers were at their beginning or had not begun
// when the engine crashed: it may send some events before it ends. A request that runs to its
// end, or past the beginning of its answer, clears its segments of the crashes before.
// A segment with suspectCrashes crashes is a suspect: only one request with it may run
// at a time, as a trial. If engines crash in trials, the segments with the most crashes
// are in quarantine, and the crashes that they explain no longer count against others.
// Segments that were part of exactly the same crashes can't be told apart, so only
// requests with all of them are rejected.
type SegmentTracker struct {
	clock mn.Clock

	mu      sync.Mutex
	crashes []*engineCrash
	// cleared is when a request with a segment last ran to its end, for segments that
	// were part of a crash before.
	cleared map[string]cleared
	// changes numbers this front's own observations.
	changes int64

	// version is the number of times that suspects and quarantined were computed.
	version int64
	// stale means that crashes or cleared have changed since suspects and quarantined
	// were computed from them.
	stale bool
	// suspects holds when each suspect became one. quarantined holds sets of segments:
	// requests with all segments of a set are rejected.
	suspects    map[string]mn.Millis
	quarantined [][]string
	// running holds the segments with a trial at this front.
	running map[string]bool
}

// engineCrash is a crash of an engine.
type engineCrash struct {
	endpoint mn.EndpointID
	at       mn.Millis
	// segments holds the segments of requests whose answers were not past their beginning.
	// The value reports whether one of these was a trial of the segment.
	segments map[string]bool
	// change numbers this front's last observation of it, 0 if only peers have any.
	change int64
}

// cleared is a run of a request with a segment.
type cleared struct {
	at mn.Millis
	// change is the number of this front's observation, 0 if a peer's.
	change int64
}

// NewSegmentTracker returns a SegmentTracker without crashes.
func NewSegmentTracker(clock mn.Clock) *SegmentTracker {
	return &SegmentTracker{clock: clock, cleared: map[string]cleared{}, running: map[string]bool{}}
}

// Trial is permission to run the only request with a suspected segment. A request without
// suspects has none; a nil Trial has no segments.
type Trial struct {
	tracker  *SegmentTracker
	segments []string
}

// Segments returns the suspects that the request tries.
func (t *Trial) Segments() []string {
	if t == nil {
		return nil
	}
	return t.segments
}

// End ends the trial, so that another request may try the suspects.
func (t *Trial) End() {
	if t == nil {
		return
	}
	t.tracker.mu.Lock()
	defer t.tracker.mu.Unlock()
	for _, s := range t.segments {
		delete(t.tracker.running, s)
	}
	t.segments = nil
}

// Admit decides whether a request with the given shared segments may be sent to an
// engine. It is called before each send, with the request's trial so far, and returns the
// trial to go on with. The function rank returns this front's rank among all fronts for a
// segment. The error has code [mn.Quarantined] or [SuspectedSegment].
func (t *SegmentTracker) Admit(trial *Trial, segments []string, rank func(segment string) int) (*Trial, *mn.Error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.crashes) == 0 {
		return trial, nil
	}
	t.update()
	for _, set := range t.quarantined {
		if containsAll(segments, set) {
			return trial, mn.Errorf(mn.Quarantined, "requests with prompt segments %v crash endpoints", set)
		}
	}
	now := t.clock.Now()
	var untried []string
	for _, s := range segments {
		since, suspect := t.suspects[s]
		if !suspect || slices.Contains(trial.Segments(), s) {
			continue
		}
		if t.running[s] || now < since+mn.Millis(rank(s))*trialStagger {
			return trial, mn.Errorf(SuspectedSegment, "prompt segment %s may crash endpoints", s).WithRetryAfter(suspectRetryAfter)
		}
		untried = append(untried, s)
	}
	if len(untried) == 0 {
		return trial, nil
	}
	if trial == nil {
		trial = &Trial{tracker: t}
	}
	for _, s := range untried {
		t.running[s] = true
	}
	trial.segments = append(trial.segments, untried...)
	return trial, nil
}

func containsAll(segments, set []string) bool {
	for _, s := range set {
		if !slices.Contains(segments, s) {
			return false
		}
	}
	return true
}

// AddCrash adds what this front observed of an engine's crash, and reports whether it was
// news.
func (t *SegmentTracker) AddCrash(c mn.EngineCrash) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	crash := t.merge(c)
	if crash == nil {
		return false
	}
	t.changes++
	crash.change = t.changes
	return true
}

// merge adds up reports of a crash. It returns the crash, or nil if there was no news.
func (t *SegmentTracker) merge(c mn.EngineCrash) *engineCrash {
	if len(c.Segments) == 0 || c.Age >= segmentTTL {
		return nil
	}
	crash, changed := t.crash(c.Endpoint, t.clock.Now()-max(0, c.Age)), false
	add := func(s string, tried bool) {
		was, known := crash.segments[s]
		if known && (was || !tried) || !known && len(crash.segments) >= maxCrashSegments {
			return
		}
		crash.segments[s], changed = tried, true
	}
	for _, s := range c.Segments {
		add(s, false)
	}
	for _, s := range c.Tried {
		add(s, true)
	}
	if !changed {
		return nil
	}
	t.stale = true
	return crash
}

// crash returns the crash of the endpoint around the time at, and adds it if it is new.
func (t *SegmentTracker) crash(endpoint mn.EndpointID, at mn.Millis) *engineCrash {
	for _, c := range t.crashes {
		if c.endpoint == endpoint && c.at-at < restartTime && at-c.at < restartTime {
			return c
		}
	}
	if len(t.crashes) >= maxCrashes {
		t.crashes = t.crashes[1:]
	}
	c := &engineCrash{endpoint: endpoint, at: at, segments: map[string]bool{}}
	t.crashes = append(t.crashes, c)
	slices.SortStableFunc(t.crashes, func(a, b *engineCrash) int { return cmp.Compare(a.at, b.at) })
	return c
}

// Succeeded records that a request with the given shared segments ran to its end, or past
// the beginning of its answer, and reports whether that clears any of them.
func (t *SegmentTracker) Succeeded(segments []string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	found := false
	for _, s := range segments {
		if t.clear(s, t.clock.Now()) {
			t.changes++
			t.cleared[s] = cleared{t.cleared[s].at, t.changes}
			found = true
		}
	}
	return found
}

// clear clears a segment of the crashes before at, and reports whether there were any.
func (t *SegmentTracker) clear(segment string, at mn.Millis) bool {
	found := slices.ContainsFunc(t.crashes, func(c *engineCrash) bool {
		_, ok := c.segments[segment]
		return ok && c.at <= at && c.at > t.cleared[segment].at
	})
	if found {
		t.cleared[segment] = cleared{at: at}
		t.stale = true
	}
	return found
}

// Status is what a SegmentTracker knows, for logs and metrics.
type Status struct {
	// Crashes is the number of crashes that count, Suspects that of suspected segments.
	Crashes, Suspects int
	// Quarantined holds sets of segments. Requests with all of a set are rejected.
	Quarantined [][]string
}

// Status returns what the tracker knows.
func (t *SegmentTracker) Status() Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.update()
	return Status{len(t.crashes), len(t.suspects), slices.Clone(t.quarantined)}
}
