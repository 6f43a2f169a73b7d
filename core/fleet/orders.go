package fleet

import (
	"context"
	"sync"

	"github.com/sirupsen/logrus"

	mn "mustardnotch"
)

const (
	// maxWaitCalls is for how many times the span of a call an order waits for the
	// log and for a renewal.
	maxWaitCalls = 3
	// renewalPoll is the time between looks at the lease.
	renewalPoll = 50 * mn.Millisecond
)

// OrderSettings are the times of orders to the platform.
type OrderSettings struct {
	// CallTimeout bounds one call of the platform.
	CallTimeout mn.Millis
	// LeaseMargin is what has to be left of the lease when a call must have ended,
	// and what a new holder waits beyond the longest call of the one before.
	LeaseMargin mn.Millis
}

// DefaultOrderSettings returns the settings of a production system.
func DefaultOrderSettings() OrderSettings {
	return OrderSettings{CallTimeout: 1 * mn.Second, LeaseMargin: 200 * mn.Millisecond}
}

// Scaler gives start and stop orders to the platform, one at a time.
type Scaler struct {
	self      mn.VMID
	settings  OrderSettings
	clock     mn.Clock
	authority mn.LeaseChecker
	writer    mn.RecordWriter
	platform  mn.Fleet
	log       logrus.FieldLogger

	mu      sync.Mutex
	term    mn.Term
	readyAt mn.Millis
}

// NewScaler returns an Orders for the process on the VM self.
func NewScaler(self mn.VMID, settings OrderSettings, clock mn.Clock, authority mn.LeaseChecker, writer mn.RecordWriter, platform mn.Fleet, log logrus.FieldLogger) *Scaler {
	return &Scaler{
		self:      self,
		settings:  settings,
		clock:     clock,
		authority: authority,
		writer:    writer,
		platform:  platform,
		log:       log,
	}
}

// States returns what the platform has been ordered, once no call of an
// earlier holder can be under way any more.
func (s *Scaler) States(ctx context.Context) ([]mn.FleetState, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, err := s.readyTerm(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, s.settings.CallTimeout.Duration())
	defer cancel()
	return s.platform.FleetStates(ctx)
}

// SetTarget orders target endpoints of pool in dc. The intent is in the log, and
// read back as valid, before the platform is called; the call's deadline lies
// inside the lease. An error without outcome "not run" leaves it unknown
// whether the order took effect; States tells.
func (s *Scaler) SetTarget(ctx context.Context, pool mn.PoolID, dc mn.DataCentre, target int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	term, err := s.readyTerm()
	if err != nil {
		return err
	}
	r := &mn.Record{Version: mn.RecordVersion, ID: mn.NewRecordID(), Writer: s.self}
	r.Intent = &mn.Intent{Term: term, Pool: pool, DataCentre: dc, Target: target}
	if err := s.writeIntent(ctx, r); err != nil {
		return err
	}
	if err := s.awaitRenewal(ctx, term); err != nil {
		return err
	}
	order := mn.FleetOrder{ID: r.ID, Pool: pool, DataCentre: dc, Target: target, Term: term, Holder: s.self}
	ctx, cancel := context.WithTimeout(ctx, s.settings.CallTimeout.Duration())
	defer cancel()
	if err := s.checkLease(term); err != nil {
		return err
	}
	err = s.platform.OrderFleet(ctx, order)
	s.logOrder(order, err)
	return err
}

// writeIntent writes the intent. The lease may be renewed meanwhile.
func (s *Scaler) writeIntent(ctx context.Context, r *mn.Record) error {
	ctx, cancel := context.WithTimeout(ctx, (maxWaitCalls * s.settings.CallTimeout).Duration())
	defer cancel()
	if _, err := s.writer.Write(ctx, r); err != nil {
		counters.Add("intents_failed", 1)
		return mn.Errorf(mn.PlatformUnavailable, "intent for pool %q: %w", r.Intent.Pool, err).WithOutcome(mn.OutcomeNotRun)
	}
	return nil
}

// readyTerm returns the term to give orders under. A new term waits until the
// longest call of the holder before has ended.
func (s *Scaler) readyTerm() (mn.Term, error) {
	term, _, ok := s.authority.Held()
	if !ok {
		return 0, mn.Errorf(mn.LeaseLost, "no lease to give orders under")
	}
	now := s.clock.Now()
	if term != s.term {
		s.term = term
		s.readyAt = now + s.settings.CallTimeout + s.settings.LeaseMargin
	}
	if now < s.readyAt {
		return 0, mn.Errorf(mn.OrderBusy, "a call of an earlier holder may be under way").WithRetryAfter(s.readyAt - now)
	}
	return term, nil
}

// awaitRenewal waits while the lease of term is held but too short for a call:
// with a slow log the next renewal may make it long enough.
func (s *Scaler) awaitRenewal(ctx context.Context, term mn.Term) error {
	end := s.clock.Now() + maxWaitCalls*s.settings.CallTimeout
	for {
		err := s.checkLease(term)
		held, _, ok := s.authority.Held()
		if err == nil || !ok || held != term || s.clock.Now() >= end {
			return err
		}
		if err := s.clock.Sleep(ctx, renewalPoll); err != nil {
			return err
		}
	}
}

// checkLease says whether a call that starts now ends inside the lease of term.
func (s *Scaler) checkLease(term mn.Term) error {
	now := s.clock.Now()
	held, until, ok := s.authority.Held()
	if !ok || held != term {
		return mn.Errorf(mn.LeaseLost, "lease of term %d has ended", term)
	}
	if until-now < s.settings.CallTimeout+s.settings.LeaseMargin {
		return mn.Errorf(mn.LeaseLost, "%d ms of the lease are left, a call needs %d ms", until-now, s.settings.CallTimeout+s.settings.LeaseMargin)
	}
	return nil
}

func (s *Scaler) logOrder(order mn.FleetOrder, err error) {
	entry := s.log.WithFields(logrus.Fields{
		"pool": order.Pool, "data_centre": order.DataCentre, "target": order.Target, "term": order.Term,
	})
	if err != nil {
		counters.Add("orders_unknown", 1)
		entry.WithField("event", "fleet_order_unknown").Warn(err)
		return
	}
	counters.Add("orders", 1)
	entry.WithField("event", "fleet_order").Info()
}
