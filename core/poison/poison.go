// Package poison finds requests that crash the endpoints that run them.
//
// Every request that ran on an endpoint when it crashed is a suspect. A suspect
// may run on one more endpoint, and there is never more than one suspect on an
// endpoint, so a second crash tells the culprit from those that ran beside it.
// A request with the same content as one that crashed two endpoints is
// quarantined.
package poison

import (
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
		Text: "The endpoint's process ended while it worked on the request. A generation goes on at one other endpoint."})
}

// Config bounds a tracker.
type Config struct {
	// MaxCrashes is how many endpoints a request may crash.
	MaxCrashes int
	// TTL is how long a crash counts.
	TTL mn.Millis
	// MaxSuspects bounds the fingerprints remembered; beyond it the one whose
	// last crash is the oldest is forgotten.
	MaxSuspects int
}

// DefaultConfig returns the bounds of a process.
func DefaultConfig() Config {
	return Config{MaxCrashes: 2, TTL: 10 * mn.Minute, MaxSuspects: 10_000}
}

// Fingerprint returns a hash of a request's content. The customer and the
// request's id don't enter into it.
func Fingerprint(pool mn.PoolID, parts ...string) string {
	h := sha256.New()
	for _, p := range append([]string{string(pool)}, parts...) {
		sum := sha256.Sum256([]byte(p))
		h.Write(sum[:])
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// Tracker counts crashes by fingerprint. It is safe for concurrent use.
type Tracker struct {
	config Config
	clock  mn.Clock

	mu       sync.Mutex
	suspects map[string][]crash
}

type crash struct {
	vm     mn.VMID
	seenAt mn.Millis
}

// New returns a tracker that knows of no crash.
func New(config Config, clock mn.Clock) *Tracker {
	return &Tracker{config: config, clock: clock, suspects: map[string][]crash{}}
}

// Add counts a crash. A second one of the same VM by the same fingerprint
// counts only if at least apart has passed since the first, so that a record
// of a crash may arrive by several ways.
func (t *Tracker) Add(p mn.CrashRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p.Fingerprint == "" || t.expired(p.SeenAt) {
		return
	}
	known := t.suspects[p.Fingerprint]
	if slices.ContainsFunc(known, func(c crash) bool { return c.vm == p.VM && sameCrash(c.seenAt, p.SeenAt) }) {
		return
	}
	if known == nil && len(t.suspects) >= t.config.MaxSuspects {
		t.evict()
	}
	t.suspects[p.Fingerprint] = append(known, crash{p.VM, p.SeenAt})
}

// minCrashInterval is how far two crashes of one endpoint lie apart at least.
const minCrashInterval = mn.Second

func sameCrash(a, b mn.Millis) bool { return a-b < minCrashInterval && b-a < minCrashInterval }

// HasSuspects says whether any crash is remembered. While none is, no request needs a
// fingerprint.
func (t *Tracker) HasSuspects() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.suspects) > 0
}

// Crashes returns how many crashes count against a fingerprint.
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

func (t *Tracker) expired(wall mn.Millis) bool { return wall+t.config.TTL <= t.clock.Wall() }

// Check returns an Error with code Quarantined if the fingerprint has crashed
// as many endpoints as it may.
func (t *Tracker) Check(fingerprint string) *mn.Error {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := t.count(fingerprint)
	if n < t.config.MaxCrashes {
		return nil
	}
	return mn.Errorf(mn.Quarantined, "request %s crashed %d endpoints", fingerprint, n)
}

// Clear forgets a suspect, after it ran to its end. One that is quarantined
// stays so.
func (t *Tracker) Clear(fingerprint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.count(fingerprint) < t.config.MaxCrashes {
		delete(t.suspects, fingerprint)
	}
}

// Quarantined returns how many fingerprints are quarantined.
func (t *Tracker) Quarantined() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for f := range t.suspects {
		if t.count(f) >= t.config.MaxCrashes {
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
