package lease

import (
	"context"
	"expvar"
	"math/rand/v2"
	"sync"

	"github.com/sirupsen/logrus"

	mn "mustardnotch"
)

// counters holds the package's measures: claims, renewals, releases, each by
// what became of them, and how often a lease lapsed.
var counters = expvar.NewMap("lease")

// maxDriftDivisor bounds how fast clocks may run apart: over a span the slower
// clock of a pair falls behind by at most span/driftDivisor.
const maxDriftDivisor = 20

// Settings are the times of an election.
type Settings struct {
	// TTL is how long the lease lasts from each renewal.
	TTL mn.Millis
	// RenewInterval is the time between renewals. Several fit into Span, so that one
	// lost append does not cost the lease.
	RenewInterval mn.Millis
	// DriftMargin is what a challenger waits beyond the lease's span, for clocks
	// that run at different rates. At least Span/20 is taken.
	DriftMargin mn.Millis
	// ClaimJitter is the mean wait of the first of several challengers.
	ClaimJitter mn.Millis
	// WriteTimeout bounds one append with its reading back.
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

// Elector keeps one process in the election of the control holder. Held may
// be called from any goroutine.
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

	// The fields below belong to the goroutine that runs Run.

	// lastRecord is the lease record that was read last, at readAt.
	lastRecord mn.Offset
	observed   bool
	readAt     mn.Millis
	// claimDelay is the random wait drawn for last.
	claimDelay mn.Millis
	// lastSent is when the last renewal was sent.
	lastSent   mn.Millis
	heldLogged bool
}

// New returns an elector for the process incarnation on the VM self. Call Run
// to take part.
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

// Held implements [mn.Authority]. The lease is counted from just before the
// process sent the last record that it has since read back.
func (e *Elector) Held() (mn.Term, mn.Millis, bool) {
	now := e.clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.term, e.expiresAt, e.holdsAt(now)
}

func (e *Elector) holdsAt(now mn.Millis) bool {
	return !e.released && e.term != 0 && now < e.expiresAt
}

// Remaining returns how much of the lease is left, 0 if none is.
func (e *Elector) Remaining() mn.Millis {
	now := e.clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.holdsAt(now) {
		return 0
	}
	return e.expiresAt - now
}

// Run takes part in the election until ctx is done, and returns its error.
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

// Release gives the lease up at once, if the process holds it. Call it after
// Run has returned and after all orders under the lease have ended. The
// elector holds no lease any more, even if Release fails.
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

// step does what is due now and returns how long to wait for the next step.
func (e *Elector) step(ctx context.Context, v *mn.View) mn.Millis {
	if e.owns(v.Lease) {
		return e.renew(ctx, v.Lease)
	}
	e.markLost(v.Lease)
	return e.claimIfExpired(ctx, v)
}

// observe remembers when the lease's last record was first read.
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

// randomDelay returns a random wait. With n challengers the first of them waits
// Spread on average, so neither the wait for a claim nor the number of void
// claims grows with n.
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

// renew renews the lease l of this process when that is due. After a lapse it
// renews at once: the renewal is valid unless another process claimed first.
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

// claimIfExpired claims the lease once it has surely run out.
func (e *Elector) claimIfExpired(ctx context.Context, v *mn.View) mn.Millis {
	l := v.Lease
	ready := e.readAt + e.claimDelay
	if l.Term != 0 {
		ready += l.TTL + max(e.settings.DriftMargin, l.TTL/maxDriftDivisor)
	}
	if now := e.clock.Now(); now < ready {
		return ready - now
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

// extend raises the end of the lease.
func (e *Elector) extend(term mn.Term, until mn.Millis) {
	now := e.clock.Now()
	e.mu.Lock()
	if term != e.term {
		e.term = term
		e.expiresAt = until
	}
	e.expiresAt = max(e.expiresAt, until)
	holds := e.holdsAt(now)
	e.mu.Unlock()
	if holds && !e.heldLogged {
		e.heldLogged = true
		e.log.WithFields(logrus.Fields{"event": "lease_held", "term": term}).Info()
	}
}

// markLost ends a lease that the log has given to another process.
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

// checkLapse reports a lease that ran out before it was renewed.
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

// waitForChange waits for span, or until changed is closed.
func (e *Elector) waitForChange(ctx context.Context, span mn.Millis, changed <-chan struct{}) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer cancel()
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}()
	_ = e.clock.Sleep(ctx, span) // Woken early is as good as slept.
}

func (e *Elector) countOutcome(what string, err error) {
	switch {
	case err == nil:
		counters.Add(what, 1)
	case mn.CodeOf(err) == mn.LeaseLost:
		counters.Add(what+"_void", 1)
	default:
		counters.Add(what+"_unknown", 1)
		e.log.WithFields(logrus.Fields{"event": "lease_record_unknown", "record": what}).Warn(err)
	}
}
