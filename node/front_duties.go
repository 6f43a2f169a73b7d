package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"

	"github.com/sirupsen/logrus"

	mn "mustardnotch"
	"mustardnotch/core/duty"
	"mustardnotch/core/relay"
)

const (
	// renewInterval is the time between a holder's lease renewals. Two of them may
	// fail before the holder has to stop acting.
	renewInterval = 700 * mn.Millisecond
	// maxClaimInterval is the maximum time between two reads of the duty feed by a
	// front that does not hold the duties.
	maxClaimInterval = 3000 * mn.Millisecond
	// storeRunsInterval is the time between two writes of the fronts' run counts to
	// the store by the same front. What was counted since the last write by any front
	// is lost if all fronts are killed at once; the platform tolerates a report that
	// is off by a twentieth of a window of 5 s.
	storeRunsInterval = 400 * mn.Millisecond
	// maxClaimants is how many of the fronts that are alive read the duty feed in
	// order to claim the duties. When they are gone, other fronts take their ranks.
	maxClaimants = 4
	// minClaimInterval is the minimum time between two reads of the duty feed.
	minClaimInterval = 150 * mn.Millisecond
	// dutyCallTimeout bounds a holder's call to the platform.
	dutyCallTimeout = 900 * mn.Millisecond
	// reportDelay is how long after its end a window is reported if every front's
	// counts have arrived since. Otherwise it is reported once reportDeadlineShare of
	// the time in which the report is due has passed.
	reportDelay         = 2000 * mn.Millisecond
	reportDeadlineShare = 0.65
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
		// The random part keeps fronts that start together from claiming at once.
		pause := min(maxClaimInterval, f.holder.UntilClaim()+rand.N(renewInterval/5))
		if held {
			pause = renewInterval
		}
		_ = f.clock.Sleep(ctx, max(pause, minClaimInterval))
		if f.departure.Leaving() || ctx.Err() != nil {
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

// claimOrRenew appends a claim or a renewal to the duty feed if one is due. A front
// that may claim the duties reads the feed first.
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

// appendProposal appends a proposal to the duty feed. After a conflict, or an error
// that leaves the outcome unknown, it reads the feed before the next proposal.
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

// reportUsage decides and delivers the run reports of the usage windows that are due. It
// returns the last window whose report the platform accepted.
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
	first := last - int64(reportDelay/window)
	if r := f.holder.DecidedReport(); r != nil {
		first = max(r.Window+1, last-int64(f.conf().UsageReportWithin/window))
	}
	for w := first; w <= last; w++ {
		end := mn.Millis(w+1) * window
		if now < end+reportDelay {
			return delivered
		}
		if err := f.restoreRuns(ctx); err != nil {
			f.log.WithField("event", "runs_unread").Warn(err)
		}
		counts, silent := f.runs.Total(w, f.peers.alive(f.clock.Now(), silentFrontTTL))
		if silent > 0 && now < end+mn.Millis(reportDeadlineShare*float64(f.conf().UsageReportWithin)) {
			return delivered
		}
		if !f.decideReport(ctx, duty.RunReport{Window: w, Counts: counts}, silent) {
			return delivered
		}
		if !f.deliverReport(ctx, *f.holder.DecidedReport()) {
			return delivered
		}
		delivered = w
	}
	return delivered
}

// decideReport appends a run report to the duty feed, which makes it final, and reports
// whether that succeeded.
func (f *Front) decideReport(ctx context.Context, r duty.RunReport, silent int) bool {
	proposal, err := f.holder.ProposeReport(r)
	if err == nil {
		err = f.appendProposal(ctx, proposal)
	}
	decided := f.holder.DecidedReport()
	ok := err == nil && decided != nil && decided.Window == r.Window
	f.log.WithFields(logrus.Fields{"event": "usage_decided", "window": r.Window, "ok": ok, "silent_fronts": silent}).Info()
	return ok
}

// deliverReport sends a decided run report to the platform, and reports whether the
// platform accepted it.
func (f *Front) deliverReport(ctx context.Context, r duty.RunReport) bool {
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

// storeRuns writes the run counts that this front knows to the store until ctx is
// done, if it is one of the first fronts by rank. The counts then survive the loss
// of all fronts.
func (f *Front) storeRuns(ctx context.Context) error {
	if f.conf().DutiesAddr == "" {
		return nil
	}
	store := newDependency(f, "store", "runs")
	var written duty.WriteLog
	restored := false
	for ctx.Err() == nil {
		_ = f.clock.Sleep(ctx, duty.UntilTurn(f.runs.Wall(), f.rank(), relay.ReaderCount, storeRunsInterval))
		if !restored {
			// The first write replaces what this VM wrote before its process restarted,
			// so those counts are merged first.
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
		for key, part := range f.runs.Parts(f.self.VM, f.self.Incarnation) {
			err := f.storeRunsPart(ctx, string(f.self.VM)+"/"+key, part, &written)
			store.record(err)
		}
	}
	return nil
}

// storeRunsPart writes a part of the run counts under a key of its own, unless it was
// written already. A part that isn't written any more stays in the store; its window is
// too old to matter soon.
func (f *Front) storeRunsPart(ctx context.Context, key string, part duty.StoredRuns, written *duty.WriteLog) error {
	value, err := json.Marshal(part)
	if err != nil {
		return err
	}
	if !written.Due(key, value, f.clock.Now()) {
		return nil
	}
	_, err = f.platform.Store.Put(ctx, mn.RunFeed, key, value, -1)
	written.Record(key, value, err == nil, isRefusal(err), f.clock.Now())
	return err
}

// restoreRuns merges the counts that fronts wrote to the store.
func (f *Front) restoreRuns(ctx context.Context) error {
	items, _, err := f.platform.Store.Newest(ctx, mn.RunFeed)
	if err != nil {
		return err
	}
	for _, i := range items {
		var stored duty.StoredRuns
		if err := json.Unmarshal(i.Value, &stored); err != nil {
			f.log.WithFields(logrus.Fields{"event": "runs_unreadable", "key": i.Key}).Warn(err)
			continue
		}
		f.runs.Restore(stored, f.self.VM, f.self.Incarnation)
	}
	return nil
}
