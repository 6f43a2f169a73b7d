package lease

import (
	"context"
	"expvar"
	"math/rand/v2"
	"sync"

	"github.com/sirupsen/logrus"

	mn "mustardnotch"
)

// counters counts claims, renewals and releases by their outcome, and leases
// that were lost or lapsed.
var counters = expvar.NewMap("lease")

// maxDriftDivisor is the inverse of the largest difference between clock rates
// that the election allows for: over a duration d, the slower of two clocks
// falls behind by at most d/maxDriftDivisor.
const maxDriftDivisor = 20

// Settings holds the timing of an election.
type Settings struct {
	// TTL is how long the lease lasts from each renewal.
	TTL mn.Millis
	// RenewInterval is the time between renewals. Several intervals fit into
	// TTL, so that one lost append does not cost the lease.
	RenewInterval mn.Millis
	// DriftMargin is how long a challenger waits after the TTL of the lease, to
	// allow for clocks that run at different rates. The wait is at least
	// TTL/20.
	DriftMargin mn.Millis
	// ClaimJitter is the mean random delay of the earliest of several
	// challengers.
	ClaimJitter mn.Millis
	// WriteTimeout bounds one append, including the wait until the record has
	// been read back.
	WriteTimeout mn.Millis
}

// DefaultSettings returns the settings of a production system.
func DefaultSettings() Settings {
	return Settings{
		TTL:           3 * mn.Second,
		RenewInterval: 1 * mn.Second,
		DriftMargin:   150 * mn.Millisecond,
		ClaimJitter:   50 * mn.Millisecond,
		WriteTimeout:  2 * mn.Second,
	}
}

// Elector takes part in the election of the control holder on behalf of one
// process. Held and Remaining may be called from any goroutine.
type Elector struct {
	self        mn.VMID
	incarnation mn.Incarnation
	settings    Settings
	clock       mn.Clock
	views       mn.ViewSource
	writer      mn.RecordWriter
	log         logrus.FieldLogger

	mu        sync.Mutex
	term      mn.Term
	expiresAt mn.Millis
	released  bool

	// The fields below are accessed only by the goroutine that runs Run.

	// lastRecord is the offset of the last lease record, first read at readAt.
	// Both are valid once observed is true.
	lastRecord mn.Offset
	observed   bool
	readAt     mn.Millis
	// claimDelay is the random delay of a claim that replaces lastRecord. Each
	// failed claim raises it.
	claimDelay mn.Millis
	// lastSent is when the last confirmed claim or renewal was sent.
	lastSent mn.Millis
	// heldLogged is true after the lease_held event until the lease is lost or
	// lapses.
	heldLogged bool
}

// New returns an elector for the process that runs as incarnation on the VM
// self. Call Run to take part in the election.
func New(self mn.VMID, incarnation mn.Incarnation, settings Settings, clock mn.Clock, views mn.ViewSource, writer mn.RecordWriter, log logrus.FieldLogger) *Elector {
	return &Elector{
		self:        self,
		incarnation: incarnation,
		settings:    settings,
		clock:       clock,
		views:       views,
		writer:      writer,
		log:         log,
	}
}

// Held implements [mn.LeaseChecker]. The lease runs from just before the
// process sent the last claim or renewal that it has since read back.
func (e *Elector) Held() (mn.Term, mn.Millis, bool) {
	now := e.clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.term, e.expiresAt, e.holdsAt(now)
}

func (e *Elector) holdsAt(now mn.Millis) bool {
	return !e.released && e.term != 0 && now < e.expiresAt
}

// Remaining returns the remaining time of the lease, or 0 if the process does
// not hold it.
func (e *Elector) Remaining() mn.Millis {
	now := e.clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.holdsAt(now) {
		return 0
	}
	return e.expiresAt - now
}

// Run takes part in the election until ctx is done, and returns the error of
// ctx.
func (e *Elector) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := e.views.Changed()
		v := e.views.View()
		e.observe(v)
		wait := e.step(ctx, v)
		if wait > 0 {
			e.waitForChange(ctx, wait, changed)
		}
	}
	return ctx.Err()
}

// Release gives up the lease at once if the process holds it. Call it after Run
// has returned and all orders under the lease have ended. The elector no longer
// holds the lease afterwards, even if Release fails.
func (e *Elector) Release(ctx context.Context) error {
	e.mu.Lock()
	term := e.term
	held := !e.released && term != 0
	e.released = true
	e.mu.Unlock()
	if !held {
		return nil
	}
	r := e.record()
	r.Release = &mn.Release{Term: term, Incarnation: e.incarnation}
	_, err := e.writer.Write(ctx, r)
	e.countOutcome("releases", err)
	return err
}

// step takes the action that is due and returns how long to wait for the next
// step.
func (e *Elector) step(ctx context.Context, v *mn.View) mn.Millis {
	if e.owns(v.Lease) {
		return e.renew(ctx, v.Lease)
	}
	e.markLost(v.Lease)
	return e.claimIfExpired(ctx, v)
}

// observe records when the last record of the lease was first read. It also
// checks whether the process's own lease has lapsed.
func (e *Elector) observe(v *mn.View) {
	e.checkLapse()
	if e.observed && v.Lease.Last == e.lastRecord {
		return
	}
	e.observed = true
	e.lastRecord = v.Lease.Last
	e.readAt = e.clock.Now()
	e.claimDelay = e.randomDelay(len(v.Entries()))
}

// randomDelay returns a random delay of a claim. The delays of n challengers
// are uniform over n times ClaimJitter, so the earliest waits ClaimJitter on
// average: neither the time until a claim nor the number of void claims grows
// with n.
func (e *Elector) randomDelay(n int) mn.Millis {
	limit := int64(e.settings.ClaimJitter) * int64(max(n, 1))
	if limit <= 0 {
		return 0
	}
	return mn.Millis(rand.Int64N(limit))
}

func (e *Elector) owns(l mn.Lease) bool {
	return l.Term != 0 && l.Holder == e.self && l.Incarnation == e.incarnation
}

// renew renews the lease l of this process if a renewal is due, and returns how
// long to wait for the next step. It renews at once if the claim of l was not
// confirmed in time, and after a lapse: the renewal is valid unless another
// process has claimed the lease first.
func (e *Elector) renew(ctx context.Context, l mn.Lease) mn.Millis {
	e.mu.Lock()
	known := e.term == l.Term
	e.mu.Unlock()
	now := e.clock.Now()
	due := e.lastSent + e.settings.RenewInterval
	if known && now < due {
		return due - now
	}
	r := e.record()
	r.Renewal = &mn.Renewal{Term: l.Term, Incarnation: e.incarnation}
	sent := e.clock.Now()
	_, err := e.write(ctx, r)
	e.countOutcome("renewals", err)
	if err != nil {
		return e.settings.RenewInterval / 4
	}
	e.lastSent = sent
	e.extend(l.Term, sent+l.TTL)
	return 0
}

// claimIfExpired claims the lease once it has certainly expired, and returns how
// long to wait for the next step.
func (e *Elector) claimIfExpired(ctx context.Context, v *mn.View) mn.Millis {
	l := v.Lease
	earliest := e.readAt + e.claimDelay
	if l.Term != 0 {
		earliest += l.TTL + max(e.settings.DriftMargin, l.TTL/maxDriftDivisor)
	}
	if now := e.clock.Now(); now < earliest {
		return earliest - now
	}
	r := e.record()
	r.Claim = &mn.Claim{Incarnation: e.incarnation, Replaces: l.Last, TTL: e.settings.TTL}
	sent := e.clock.Now()
	off, err := e.write(ctx, r)
	e.countOutcome("claims", err)
	if err != nil {
		e.claimDelay += e.randomDelay(len(v.Entries())) + e.settings.RenewInterval/4
		return e.settings.RenewInterval / 4
	}
	e.lastSent = sent
	e.extend(mn.Term(off), sent+e.settings.TTL)
	return 0
}

// extend records that the process holds the lease of term until expiresAt. An
// earlier time does not shorten the lease.
func (e *Elector) extend(term mn.Term, expiresAt mn.Millis) {
	now := e.clock.Now()
	e.mu.Lock()
	if term != e.term {
		e.term = term
		e.expiresAt = expiresAt
	}
	e.expiresAt = max(e.expiresAt, expiresAt)
	holds := e.holdsAt(now)
	e.mu.Unlock()
	if holds && !e.heldLogged {
		e.heldLogged = true
		e.log.WithFields(logrus.Fields{"event": "lease_held", "term": term}).Info()
	}
}

// markLost ends the lease of this process, if it had one: according to the log
// the lease l is not, or no longer, that of this process.
func (e *Elector) markLost(l mn.Lease) {
	e.mu.Lock()
	term := e.term
	e.term = 0
	e.expiresAt = 0
	e.mu.Unlock()
	e.heldLogged = false
	if term != 0 {
		counters.Add("lost", 1)
		e.log.WithFields(logrus.Fields{"event": "lease_lost", "term": term, "holder": l.Holder}).Warn()
	}
}

// checkLapse counts and logs a lease that expired before it was renewed.
func (e *Elector) checkLapse() {
	if !e.heldLogged {
		return
	}
	if term, _, ok := e.Held(); !ok {
		e.heldLogged = false
		counters.Add("lapsed", 1)
		e.log.WithFields(logrus.Fields{"event": "lease_lapsed", "term": term}).Warn()
	}
}

func (e *Elector) record() *mn.Record {
	return &mn.Record{Version: mn.RecordVersion, ID: mn.NewRecordID(), Writer: e.self}
}

func (e *Elector) write(ctx context.Context, r *mn.Record) (mn.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, e.settings.WriteTimeout.Duration())
	defer cancel()
	return e.writer.Write(ctx, r)
}

// waitForChange waits for timeout or until changed is closed.
func (e *Elector) waitForChange(ctx context.Context, timeout mn.Millis, changed <-chan struct{}) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer cancel()
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}()
	_ = e.clock.Sleep(ctx, timeout) // An early wake-up needs no handling.
}

func (e *Elector) countOutcome(kind string, err error) {
	switch {
	case err == nil:
		counters.Add(kind, 1)
	case mn.CodeOf(err) == mn.LeaseLost:
		counters.Add(kind+"_void", 1)
	default:
		counters.Add(kind+"_unknown", 1)
		e.log.WithFields(logrus.Fields{"event": "lease_record_unknown", "record": kind}).Warn(err)
	}
}
