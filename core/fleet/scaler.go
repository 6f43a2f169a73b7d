package fleet

import (
	"context"
	"sync"

	"github.com/sirupsen/logrus"

	mn "mustardnotch"
)

const (
	// maxWaitCalls is the maximum time that an order waits for the log, and again
	// for a renewal of the lease, in multiples of the timeout of a call.
	maxWaitCalls = 3
	// renewalPoll is the interval at which the lease is checked for a renewal.
	renewalPoll = 50 * mn.Millisecond
)

// OrderSettings are the timeouts of orders to the platform.
type OrderSettings struct {
	// CallTimeout bounds one call to the platform.
	CallTimeout mn.Millis
	// LeaseMargin is how long the lease has to last after the timeout of a call,
	// and how long a new holder waits in addition to the timeout of a call of the
	// previous holder.
	LeaseMargin mn.Millis
}

// DefaultOrderSettings returns the settings for production.
func DefaultOrderSettings() OrderSettings {
	return OrderSettings{CallTimeout: 1 * mn.Second, LeaseMargin: 200 * mn.Millisecond}
}

// Scaler sends start and stop orders to the platform, one at a time.
type Scaler struct {
	self     mn.VMID
	settings OrderSettings
	clock    mn.Clock
	lease    mn.LeaseChecker
	writer   mn.RecordWriter
	platform mn.Fleet
	log      logrus.FieldLogger

	mu      sync.Mutex
	term    mn.Term
	readyAt mn.Millis
}

// NewScaler returns a scaler for the process on the VM self.
func NewScaler(self mn.VMID, settings OrderSettings, clock mn.Clock, lease mn.LeaseChecker, writer mn.RecordWriter, platform mn.Fleet, log logrus.FieldLogger) *Scaler {
	return &Scaler{
		self:     self,
		settings: settings,
		clock:    clock,
		lease:    lease,
		writer:   writer,
		platform: platform,
		log:      log,
	}
}

// States returns the orders in effect at the platform. It fails with code
// [mn.OrderBusy] while a call of an earlier holder may still be in progress.
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

// SetTarget orders the platform to run target endpoints of pool in dc. Before the
// call to the platform, it writes the intent to the log and reads it back as valid.
// The deadline of the call is before the end of the lease. After an error whose
// outcome isn't "not run", it is unknown whether the order took effect; States
// returns what is in effect.
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

// writeIntent writes the intent to the log. It may take longer than the lease has
// left, because the lease may be renewed in the meantime.
func (s *Scaler) writeIntent(ctx context.Context, r *mn.Record) error {
	ctx, cancel := context.WithTimeout(ctx, (maxWaitCalls * s.settings.CallTimeout).Duration())
	defer cancel()
	if _, err := s.writer.Write(ctx, r); err != nil {
		counters.Add("intents_failed", 1)
		return mn.Errorf(mn.PlatformUnavailable, "write fleet intent for pool %q: %w", r.Intent.Pool, err).WithOutcome(mn.OutcomeNotRun)
	}
	return nil
}

// readyTerm returns the term of the lease that the process holds. In a new term, it
// returns an error until the longest possible call of the previous holder has ended.
func (s *Scaler) readyTerm() (mn.Term, error) {
	term, _, ok := s.lease.Held()
	if !ok {
		return 0, mn.Errorf(mn.LeaseLost, "the process does not hold the control lease")
	}
	now := s.clock.Now()
	if term != s.term {
		s.term = term
		s.readyAt = now + s.settings.CallTimeout + s.settings.LeaseMargin
	}
	if now < s.readyAt {
		return 0, mn.Errorf(mn.OrderBusy, "a call of an earlier holder may still be in progress").WithRetryAfter(s.readyAt - now)
	}
	return term, nil
}

// awaitRenewal waits while the lease of term is held but ends too soon for a call.
// After a slow write to the log, the next renewal may extend it far enough.
func (s *Scaler) awaitRenewal(ctx context.Context, term mn.Term) error {
	end := s.clock.Now() + maxWaitCalls*s.settings.CallTimeout
	for {
		err := s.checkLease(term)
		held, _, ok := s.lease.Held()
		if err == nil || !ok || held != term || s.clock.Now() >= end {
			return err
		}
		if err := s.clock.Sleep(ctx, renewalPoll); err != nil {
			return err
		}
	}
}

// checkLease returns an error unless a call that starts now ends before the lease
// of term does.
func (s *Scaler) checkLease(term mn.Term) error {
	now := s.clock.Now()
	held, until, ok := s.lease.Held()
	if !ok || held != term {
		return mn.Errorf(mn.LeaseLost, "lease of term %d has ended", term)
	}
	if until-now < s.settings.CallTimeout+s.settings.LeaseMargin {
		return mn.Errorf(mn.LeaseLost, "lease ends in %d ms, a call needs %d ms", until-now, s.settings.CallTimeout+s.settings.LeaseMargin)
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
