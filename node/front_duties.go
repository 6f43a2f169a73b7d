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
	// renewEvery is the time between renewals of a holder: two of them may fail
	// before it stops to act.
	renewEvery = 700 * mn.Millisecond
	// lookEvery is the longest time between looks of the others at the feed.
	lookEvery = 3000 * mn.Millisecond
	// writeRunsEvery is the time between writes of the fronts' counts by one of
	// them. What was counted since the last write of any is lost if all fronts are
	// killed at once; the platform takes a report that is off by a twentieth of a
	// window of 5 s.
	writeRunsEvery = 400 * mn.Millisecond
	// contenders is how many of the fronts that are alive look at the feed to claim
	// the duties; when they are gone, others are the first.
	contenders = 4
	// leastLook is the least time between looks.
	leastLook = 150 * mn.Millisecond
	// dutyCall bounds a call of a holder to the platform.
	dutyCall = 900 * mn.Millisecond
	// settleSoon is how long after a window's end it is reported if all fronts
	// were heard since; settleLate is when it is reported in any case, as a part
	// of the time in which it is due.
	settleSoon      = 2000 * mn.Millisecond
	settleLateShare = 0.65
)

// performDuties follows the duty feed, and performs the duties while this front
// holds them.
func (f *Front) performDuties(ctx context.Context) error {
	if f.conf().DutiesAddr == "" {
		return nil
	}
	link := newLink(f, "store", "duties")
	var delivered int64
	held := false
	for ctx.Err() == nil {
		// Fronts that start together do not all bid at once.
		pause := min(lookEvery, f.holder.UntilClaim()+rand.N(renewEvery/5))
		if held {
			pause = renewEvery
		}
		_ = f.clock.Sleep(ctx, max(pause, leastLook))
		if f.leaving.Load() || ctx.Err() != nil {
			return nil
		}
		link.result(f.contend(ctx))
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

// contend reads the duty feed and claims or renews if it is this front's turn.
func (f *Front) contend(ctx context.Context) error {
	_, held := f.holder.Held()
	if !held && f.rank() >= contenders {
		return nil
	}
	if !held {
		items, after, _, err := f.readFeed(ctx, mn.DutyFeed, f.holder.Next(), 0)
		if err != nil {
			return err
		}
		f.holder.Apply(items, after)
	}
	bid, ok := f.holder.ProposeLease()
	if !ok {
		return nil
	}
	return f.append(ctx, bid)
}

// append adds a bid to the duty feed. After a conflict, or an error that leaves
// the outcome unknown, the feed is read before the next bid.
func (f *Front) append(ctx context.Context, bid duty.Proposal) error {
	offset, err := f.platform.Store.Put(ctx, mn.DutyFeed, bid.Key, bid.Value, bid.Offset)
	if err == nil {
		f.holder.Appended(bid, offset)
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
	span := f.conf().UsageWindow
	now := f.runs.Wall()
	last := int64(now/span) - 1
	if r := f.holder.DecidedReport(); r != nil && r.Window > delivered {
		if !f.deliver(ctx, *r) {
			return delivered
		}
		delivered = r.Window
	}
	first := last - int64(settleSoon/span)
	if r := f.holder.DecidedReport(); r != nil {
		first = max(r.Window+1, last-int64(f.conf().UsageReportWithin/span))
	}
	for w := first; w <= last; w++ {
		end := mn.Millis(w+1) * span
		if now < end+settleSoon {
			return delivered
		}
		if err := f.restoreRuns(ctx); err != nil {
			f.log.WithField("event", "runs_unread").Warn(err)
		}
		counts, silent := f.runs.Total(w, f.peers.alive(f.clock.Now(), expectedLife))
		if silent > 0 && now < end+mn.Millis(settleLateShare*float64(f.conf().UsageReportWithin)) {
			return delivered
		}
		if !f.decide(ctx, duty.Report{Window: w, Counts: counts}, silent) {
			return delivered
		}
		if !f.deliver(ctx, *f.holder.DecidedReport()) {
			return delivered
		}
		delivered = w
	}
	return delivered
}

// decide writes a report into the duty feed, after which it does not change.
func (f *Front) decide(ctx context.Context, r duty.Report, silent int) bool {
	bid, err := f.holder.ProposeReport(r)
	if err == nil {
		err = f.append(ctx, bid)
	}
	decided := f.holder.DecidedReport()
	ok := err == nil && decided != nil && decided.Window == r.Window
	f.log.WithFields(logrus.Fields{"event": "usage_decided", "window": r.Window, "ok": ok, "silent_fronts": silent}).Info()
	return ok
}

// deliver reports a decided window to the platform.
func (f *Front) deliver(ctx context.Context, r duty.Report) bool {
	term, ok := f.holder.Held()
	if !ok {
		return false
	}
	call, cancel := context.WithTimeout(ctx, dutyCall.Duration())
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

// writeRuns writes the counts that this front knows down until ctx is done, if
// it is one of the first by rank, so that they outlive all fronts.
func (f *Front) writeRuns(ctx context.Context) error {
	if f.conf().DutiesAddr == "" {
		return nil
	}
	link := newLink(f, "store", "runs")
	var last []byte
	restored := false
	for ctx.Err() == nil {
		_ = f.clock.Sleep(ctx, duty.UntilTurn(f.runs.Wall(), f.rank(), relay.ReaderCount, writeRunsEvery))
		if !restored {
			// What this VM wrote before its process started anew must not be lost.
			err := f.restoreRuns(ctx)
			link.result(err)
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
		link.result(err)
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
		for _, facts := range all {
			if facts.VM != f.self.VM || facts.Incarnation != f.self.Incarnation {
				f.runs.Restore(facts)
			}
		}
	}
	return nil
}
