// Package poison finds requests that crash the endpoints that run them.
//
// Every request that ran on an endpoint when it crashed is a suspect. A suspect may
// run on one more endpoint, and an endpoint never runs more than one suspect at a
// time, so a second crash singles out the request that caused it. Requests with the
// same content as one that crashed two endpoints are quarantined.
//
// Fronts only count crashes, without a [Quarantine]: their endpoints may run several
// suspects at a time, so their [Config.CrashThreshold] is higher. They also find prompt
// segments that crash engines whatever else a request holds, with a [SegmentTracker].
package poison

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"sync"

	mn "mustardnotch"
)

// EndpointCrashed means that the endpoint's process ended while it worked on a
// request.
const EndpointCrashed mn.Code = 325

func init() {
	mn.RegisterCode(mn.CodeDoc{Code: EndpointCrashed, Title: "endpoint crashed", Since: "0.1",
		Severity: mn.SeverityRetry, Outcome: mn.OutcomeUnknown,
		Text: "The endpoint's process ended while it worked on the request. A generation continues at one other endpoint."})
}

// Config configures a Tracker.
type Config struct {
	// CrashThreshold is how many crashes put a request into quarantine.
	CrashThreshold int
	// TTL is how long a crash counts.
	TTL mn.Millis
	// MaxSuspects bounds the tracked fingerprints; beyond it, the one with the
	// oldest last crash is evicted.
	MaxSuspects int
}

// DefaultConfig returns the configuration of entries and agents.
func DefaultConfig() Config {
	return Config{CrashThreshold: 2, TTL: 10 * mn.Minute, MaxSuspects: 10_000}
}

// Fingerprint returns a hash of a request's content: its pool and the given parts. The
// parts don't include the request's id, so that requests with the same content have the
// same fingerprint.
func Fingerprint(pool mn.PoolID, parts ...string) string {
	return FingerprintOfPieces(nil, append([]string{string(pool)}, parts...)...)
}

// FingerprintOfPieces returns a hash of the given parts and, unless it is nil, of a body in
// pieces, however it is cut.
func FingerprintOfPieces(body [][]byte, parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		sum := sha256.Sum256([]byte(p))
		h.Write(sum[:])
	}
	if body != nil {
		part := sha256.New()
		for _, piece := range body {
			part.Write(piece)
		}
		h.Write(part.Sum(nil))
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// Tracker counts crashes by fingerprint. It is safe for concurrent use.
type Tracker struct {
	config Config
	clock  mn.Clock

	mu       sync.Mutex
	suspects map[string][]crash
	// clearedAt is when a suspect was cleared. Records of earlier crashes may still come.
	clearedAt map[string]mn.Millis
	// version counts the changes of what Snapshot returns.
	version int64
}

type crash struct {
	vm     mn.VMID
	seenAt mn.Millis
}

// New returns a Tracker without crashes.
func New(config Config, clock mn.Clock) *Tracker {
	return &Tracker{config: config, clock: clock, suspects: map[string][]crash{}, clearedAt: map[string]mn.Millis{}}
}

// Add counts a crash. Records of the same VM and fingerprint within minCrashInterval
// count once, since a record of one crash may arrive on several paths.
func (t *Tracker) Add(r mn.CrashRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.Fingerprint == "" || t.expired(r.SeenAt) || r.SeenAt < t.clearedAt[r.Fingerprint] {
		return
	}
	known := t.suspects[r.Fingerprint]
	if slices.ContainsFunc(known, func(c crash) bool { return c.vm == r.VM && sameCrash(c.seenAt, r.SeenAt) }) {
		return
	}
	if known == nil && len(t.suspects) >= t.config.MaxSuspects {
		t.evict()
	}
	t.suspects[r.Fingerprint] = append(known, crash{r.VM, r.SeenAt})
	if t.count(r.Fingerprint) >= t.config.CrashThreshold-1 {
		t.version++
	}
}

// minCrashInterval is the minimum time between two crashes of one endpoint.
const minCrashInterval = mn.Second

func sameCrash(a, b mn.Millis) bool { return a-b < minCrashInterval && b-a < minCrashInterval }

// HasSuspects reports whether any crash is tracked. While there is none, requests need
// no fingerprint.
func (t *Tracker) HasSuspects() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.suspects) > 0
}

// Crashes returns the number of crashes of a fingerprint that have not expired.
func (t *Tracker) Crashes(fingerprint string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.count(fingerprint)
}

func (t *Tracker) count(fingerprint string) int {
	known, ok := t.suspects[fingerprint]
	if !ok {
		return 0
	}
	known = slices.DeleteFunc(known, func(c crash) bool { return t.expired(c.seenAt) })
	t.suspects[fingerprint] = known
	if len(known) == 0 {
		delete(t.suspects, fingerprint)
	}
	return len(known)
}

func (t *Tracker) expired(seenAt mn.Millis) bool { return seenAt+t.config.TTL <= t.clock.Wall() }

// Records returns the crashes of quarantined fingerprints, the newest first, at most
// limit. Adding them to another Tracker quarantines these there.
func (t *Tracker) Records(limit int) []mn.CrashRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.records(limit, t.config.CrashThreshold)
}

// Snapshot returns the crashes of the fingerprints that are in quarantine or one crash
// short of it, the newest first, at most limit, and a number that grows when they change.
// Another Tracker that adds them goes on counting.
func (t *Tracker) Snapshot(limit int) ([]mn.CrashRecord, int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.records(limit, t.config.CrashThreshold-1), t.version
}

// records returns the crashes of fingerprints with minCrashes or more.
func (t *Tracker) records(limit, minCrashes int) []mn.CrashRecord {
	var out []mn.CrashRecord
	for f := range t.suspects {
		if t.count(f) < minCrashes {
			continue
		}
		for _, c := range t.suspects[f] {
			out = append(out, mn.CrashRecord{Fingerprint: f, VM: c.vm, SeenAt: c.seenAt})
		}
	}
	slices.SortFunc(out, func(a, b mn.CrashRecord) int { return cmp.Compare(b.SeenAt, a.SeenAt) })
	return out[:min(limit, len(out))]
}

// NearQuarantine reports whether one more crash would put a fingerprint into quarantine.
func (t *Tracker) NearQuarantine(fingerprint string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.count(fingerprint) >= t.config.CrashThreshold-1
}

// Check returns an Error with code Quarantined if the fingerprint has CrashThreshold
// crashes or more.
func (t *Tracker) Check(fingerprint string) *mn.Error {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := t.count(fingerprint)
	if n < t.config.CrashThreshold {
		return nil
	}
	return mn.Errorf(mn.Quarantined, "requests with fingerprint %s crashed %d endpoints", fingerprint, n)
}

// Clear clears a suspect that ran to its end. A quarantined fingerprint stays
// quarantined.
func (t *Tracker) Clear(fingerprint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := t.count(fingerprint)
	if n == 0 || n >= t.config.CrashThreshold {
		return
	}
	delete(t.suspects, fingerprint)
	if len(t.clearedAt) >= t.config.MaxSuspects {
		clear(t.clearedAt)
	}
	t.clearedAt[fingerprint] = t.clock.Wall()
}

// Quarantined returns how many fingerprints are quarantined.
func (t *Tracker) Quarantined() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for f := range t.suspects {
		if t.count(f) >= t.config.CrashThreshold {
			n++
		}
	}
	return n
}

func (t *Tracker) evict() {
	var oldest string
	var at mn.Millis
	for f, crashes := range t.suspects {
		last := crashes[len(crashes)-1].seenAt
		if oldest == "" || last < at {
			oldest, at = f, last
		}
	}
	delete(t.suspects, oldest)
}
