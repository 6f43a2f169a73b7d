package node

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"

	"github.com/sirupsen/logrus"

	mn "mustardnotch"
	"mustardnotch/core/duty"
	"mustardnotch/core/relay"
)

const (
	// renewInterval is the time between renewals of a holder: two of them may fail
	// before it stops to act.
	renewInterval = 700 * mn.Millisecond
	// maxClaimInterval is the longest time between looks of the others at the feed.
	maxClaimInterval = 3000 * mn.Millisecond
	// storeRunsInterval is the time between writes of the fronts' counts by one of
	// them. What was counted since the last write of any is lost if all fronts are
	// killed at once; the platform takes a report that is off by a twentieth of a
	// window of 5 s.
	storeRunsInterval = 400 * mn.Millisecond
	// maxClaimants is how many of the fronts that are alive look at the feed to claim
	// the duties; when they are gone, others are the first.
	maxClaimants = 4
	// minClaimInterval is the least time between looks.
	minClaimInterval = 150 * mn.Millisecond
	// dutyCallTimeout bounds a call of a holder to the platform.
	dutyCallTimeout = 900 * mn.Millisecond
	// settleDelay is how long after a window's end it is reported if all fronts
	// were heard since; settleLate is when it is reported in any case, as a part
	// of the time in which it is due.
	settleDelay         = 2000 * mn.Millisecond
	settleDeadlineShare = 0.65
)

// performDuties follows the duty feed, and performs the duties while this front
// holds them.
func (f *Front) performDuties(ctx context.Context) error {
	if f.conf().DutiesAddr == "" {
		return nil
	}
	store := newDependency(f, "store", "duties")
	var delivered int64
	held := false
	for ctx.Err() == nil {
		// Fronts that start together do not all bid at once.
		pause := min(maxClaimInterval, f.holder.UntilClaim()+rand.N(renewInterval/5))
		if held {
			pause = renewInterval
		}
		_ = f.clock.Sleep(ctx, max(pause, minClaimInterval))
		if f.leaving.Load() || ctx.Err() != nil {
			return nil
		}
		store.record(f.claimOrRenew(ctx))
		term, ok := f.holder.Held()
		if ok != held {
			held = ok
			f.log.WithFields(logrus.Fields{"event": "duties", "held": held, "term": term}).Info()
		}
		if ok {
			delivered = f.reportUsage(ctx, delivered)
		}
	}
	return nil
}

// claimOrRenew reads the duty feed and claims or renews if it is this front's turn.
func (f *Front) claimOrRenew(ctx context.Context) error {
	_, held := f.holder.Held()
	if !held && f.rank() >= maxClaimants {
		return nil
	}
	if !held {
		items, after, _, err := f.readFeed(ctx, mn.DutyFeed, f.holder.Next(), 0)
		if err != nil {
			return err
		}
		f.holder.Apply(items, after)
	}
	proposal, ok := f.holder.ProposeLease()
	if !ok {
		return nil
	}
	return f.appendProposal(ctx, proposal)
}

// appendProposal adds a bid to the duty feed. After a conflict, or an error that leaves
// the outcome unknown, the feed is read before the next bid.
func (f *Front) appendProposal(ctx context.Context, proposal duty.Proposal) error {
	offset, err := f.platform.Store.Put(ctx, mn.DutyFeed, proposal.Key, proposal.Value, proposal.Offset)
	if err == nil {
		f.holder.Appended(proposal, offset)
		return nil
	}
	items, after, _, readErr := f.readFeed(ctx, mn.DutyFeed, f.holder.Next(), 0)
	if readErr != nil {
		return readErr
	}
	f.holder.Apply(items, after)
	if mn.CodeOf(err) == mn.Conflict {
		return nil
	}
	return err
}

// reportUsage reports windows that are due, and returns the last one that the
// platform has taken.
func (f *Front) reportUsage(ctx context.Context, delivered int64) int64 {
	window := f.conf().UsageWindow
	now := f.runs.Wall()
	last := int64(now/window) - 1
	if r := f.holder.DecidedReport(); r != nil && r.Window > delivered {
		if !f.deliverReport(ctx, *r) {
			return delivered
		}
		delivered = r.Window
	}
	first := last - int64(settleDelay/window)
	if r := f.holder.DecidedReport(); r != nil {
		first = max(r.Window+1, last-int64(f.conf().UsageReportWithin/window))
	}
	for w := first; w <= last; w++ {
		end := mn.Millis(w+1) * window
		if now < end+settleDelay {
			return delivered
		}
		if err := f.restoreRuns(ctx); err != nil {
			f.log.WithField("event", "runs_unread").Warn(err)
		}
		counts, silent := f.runs.Total(w, f.peers.alive(f.clock.Now(), silentFrontTTL))
		if silent > 0 && now < end+mn.Millis(settleDeadlineShare*float64(f.conf().UsageReportWithin)) {
			return delivered
		}
		if !f.decideReport(ctx, duty.Report{Window: w, Counts: counts}, silent) {
			return delivered
		}
		if !f.deliverReport(ctx, *f.holder.DecidedReport()) {
			return delivered
		}
		delivered = w
	}
	return delivered
}

// decideReport writes a report into the duty feed, after which it does not change.
func (f *Front) decideReport(ctx context.Context, r duty.Report, silent int) bool {
	proposal, err := f.holder.ProposeReport(r)
	if err == nil {
		err = f.appendProposal(ctx, proposal)
	}
	decided := f.holder.DecidedReport()
	ok := err == nil && decided != nil && decided.Window == r.Window
	f.log.WithFields(logrus.Fields{"event": "usage_decided", "window": r.Window, "ok": ok, "silent_fronts": silent}).Info()
	return ok
}

// deliverReport reports a decided window to the platform.
func (f *Front) deliverReport(ctx context.Context, r duty.Report) bool {
	term, ok := f.holder.Held()
	if !ok {
		return false
	}
	call, cancel := context.WithTimeout(ctx, dutyCallTimeout.Duration())
	defer cancel()
	err := f.platform.Duties.ReportRuns(call, mn.DutyHolder{VM: f.self.VM, FencingToken: term}, r.Window, r.Counts)
	l := f.log.WithFields(logrus.Fields{"event": "usage_reported", "window": r.Window, "term": term, "customers": len(r.Counts)})
	if err != nil {
		l.Warn(err)
		return false
	}
	l.Info()
	return true
}

// storeRuns writes the counts that this front knows down until ctx is done, if
// it is one of the first by rank, so that they outlive all fronts.
func (f *Front) storeRuns(ctx context.Context) error {
	if f.conf().DutiesAddr == "" {
		return nil
	}
	store := newDependency(f, "store", "runs")
	var last []byte
	restored := false
	for ctx.Err() == nil {
		_ = f.clock.Sleep(ctx, duty.UntilTurn(f.runs.Wall(), f.rank(), relay.ReaderCount, storeRunsInterval))
		if !restored {
			// What this VM wrote before its process started anew must not be lost.
			err := f.restoreRuns(ctx)
			store.record(err)
			if err != nil {
				continue
			}
			restored = true
		}
		if f.rank() >= relay.ReaderCount {
			continue
		}
		value, err := json.Marshal(f.runs.Snapshot(f.self.VM, f.self.Incarnation))
		if err != nil {
			return err
		}
		if bytes.Equal(value, last) {
			continue
		}
		_, err = f.platform.Store.Put(ctx, mn.RunFeed, string(f.self.VM), value, -1)
		store.record(err)
		if err == nil {
			last = value
		}
	}
	return nil
}

// restoreRuns takes in the counts that fronts wrote down.
func (f *Front) restoreRuns(ctx context.Context) error {
	items, _, err := f.platform.Store.Newest(ctx, mn.RunFeed)
	if err != nil {
		return err
	}
	for _, i := range items {
		var all []mn.FrontState
		if err := json.Unmarshal(i.Value, &all); err != nil {
			f.log.WithFields(logrus.Fields{"event": "runs_unreadable", "key": i.Key}).Warn(err)
			continue
		}
		for _, state := range all {
			if state.VM != f.self.VM || state.Incarnation != f.self.Incarnation {
				f.runs.Restore(state)
			}
		}
	}
	return nil
}
