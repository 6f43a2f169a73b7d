package node

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/singleflight"

	mn "mustardnotch"
	"mustardnotch/core/lists"
	"mustardnotch/core/relay"
)

const (
	// endpointsInterval is the time between two reads of the endpoint feed, which
	// changes all the time. It is a fraction of the time within which a leaving
	// endpoint must get no more requests.
	endpointsInterval = 450 * mn.Millisecond
	// listReadTimeout bounds a read of the endpoint feed. An answer that takes longer
	// is of no use, since the next read would be due.
	listReadTimeout = 600 * mn.Millisecond
	// maxListAgeShare is the age of the list above which a front that is not a reader
	// reads the endpoint feed, as a share of the time within which a leaving endpoint
	// must get no more requests. It leaves time for two reads.
	maxListAgeShare = 0.45
	// outageMargin is added to the age above which any front reads the list: while the
	// store serves some front, evidence reaches all of them within this time.
	outageMargin = 600 * mn.Millisecond
	// sendMargin is the time in which a request reaches its endpoint, a new connection
	// included.
	sendMargin = 500 * mn.Millisecond
	// confirmTimeout bounds the time for which a request waits until the list is
	// confirmed.
	confirmTimeout = 250 * mn.Millisecond
	// confirmPollInterval is the time between two looks at whether it is.
	confirmPollInterval = 5 * mn.Millisecond
	// confirmInterval is the time between two attempts to confirm the list. Requests
	// wait for the first one only; during the others, the last verdict holds.
	confirmInterval = 300 * mn.Millisecond
	// verdictTTL is how long the verdict of an attempt holds.
	verdictTTL = 2 * mn.Second
	// maxSilence is for how long requests are rejected while nobody answers. A front
	// that is cut off for longer goes on with the list that it has.
	maxSilence = 2 * mn.Second
	// unconfirmedRetryAfter is when a rejected caller comes back, by then mostly at
	// another front.
	unconfirmedRetryAfter = 300 * mn.Millisecond
)

// maxListAge returns the age of the list above which a front that is not a reader
// reads the endpoint feed itself.
func (v *frontView) maxListAge() mn.Millis {
	return mn.Millis(maxListAgeShare * float64(v.conf().DrainWithin))
}

// maxSendAge returns the age of the list above which it is confirmed before a send.
func (v *frontView) maxSendAge() mn.Millis {
	within := v.conf().DrainWithin
	return max(within/2, within-sendMargin)
}

// listFeed reads the list of endpoints from the endpoint feed. Several reads may run at
// the same time.
type listFeed struct {
	view *frontView

	mu   sync.Mutex
	list *lists.List
	// next is the offset from which the feed is read next, or -1 for a snapshot.
	next mn.Offset
	// appliedAt is when the read whose answer was applied last was sent.
	appliedAt mn.Millis
}

func newListFeed(v *frontView) *listFeed {
	return &listFeed{view: v, list: lists.New(v.decodeEndpoint, v.maxListAge()+outageMargin), next: -1}
}

// maxStartAhead is how far in the future an endpoint may have started by this VM's time of
// day. Times of day differ, and jump, by seconds; one that is set wrong, by the hours of a time
// zone for example, must not hide all endpoints.
const maxStartAhead = 24 * mn.Hour

// decodeEndpoint decodes an item of the endpoint feed. An entry that no endpoint can have
// written yet is an error, since later entries of the endpoint would count as stale beside
// it: an endpoint has started before it writes, and writes at most once in a millisecond.
func (v *frontView) decodeEndpoint(i mn.Item) (mn.Endpoint, error) {
	e, err := v.platform.Store.Endpoint(i)
	if err != nil {
		return e, err
	}
	latest := v.clock.Wall() + maxStartAhead
	if e.StartedAt > latest || e.Heartbeat > int64(latest-e.StartedAt) {
		return mn.Endpoint{}, fmt.Errorf("heartbeat %d of a run started at %d is in the future", e.Heartbeat, e.StartedAt)
	}
	return e, nil
}

// adopt adopts the list in force, which may be a peer's, and returns when it was known
// to be the newest.
func (f *listFeed) adopt() mn.Millis {
	f.mu.Lock()
	defer f.mu.Unlock()
	known, at := f.view.listed()
	f.list.Adopt(known, at)
	return at
}

// skip has the next read take a snapshot, since a peer's list comes without its offset
// in the feed.
func (f *listFeed) skip() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next = -1
}

// read reads the feed once and puts the list in force. The answer is dropped if that to
// a later read was applied meanwhile.
func (f *listFeed) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listReadTimeout.Duration())
	defer cancel()
	f.mu.Lock()
	next := f.next
	f.mu.Unlock()
	sent := f.view.clock.Now()
	items, after, snapshot, err := f.view.readFeed(ctx, mn.EndpointFeed, next, 0)

	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.list.MarkFailed()
		return err
	}
	if sent < f.appliedAt {
		return nil
	}
	now := f.view.clock.Now()
	f.list.MarkRead(now)
	if snapshot {
		for _, err := range f.list.Replace(items, now) {
			f.logEntryError(mn.Item{}, err)
		}
	} else {
		for _, i := range items {
			f.logEntryError(i, f.list.Apply(i, now))
		}
	}
	f.next, f.appliedAt = after, sent
	f.view.setList(f.list.Endpoints(now), sent)
	return nil
}

// logEntryError logs an item of the endpoint feed that can't be decoded.
func (f *listFeed) logEntryError(i mn.Item, err error) {
	if err != nil {
		f.view.log.WithFields(logrus.Fields{"event": "endpoint_unreadable", "endpoint": i.Key, "offset": i.Offset}).Warn(err)
	}
}

// followEndpoints keeps the list of endpoints up to date until ctx is done.
func (v *frontView) followEndpoints(ctx context.Context) error {
	store := newDependency(v.Front, "store", "endpoints")
	failures := 0
	for ctx.Err() == nil {
		at := v.feed.adopt()
		if !relay.ShouldRead(v.rank(), v.clock.Now()-at, v.maxListAge()) {
			v.feed.skip()
			_ = v.clock.Sleep(ctx, ageCheckInterval)
			continue
		}
		err := v.feed.read(ctx)
		store.record(err)
		pause := endpointsInterval
		if err == nil {
			failures = 0
		} else {
			failures++
			pause = relay.RetryDelay(v.rank(), failures, v.peers.count())
		}
		_ = v.clock.Sleep(ctx, pause)
	}
	return nil
}

// listConfirmer makes sure before each send that the list of endpoints is recent enough.
//
// Load pattern: the reads of one front take long, because its link is full or its
// processor is busy, or its evidence from peers comes late, while endpoints leave.
type listConfirmer struct {
	view  *frontView
	calls singleflight.Group

	mu sync.Mutex
	// rejection is the verdict of the last attempt, which ended at decidedAt. It is nil
	// if requests may be sent. If decidedAt is 0, there is no verdict.
	rejection *mn.Error
	decidedAt mn.Millis
}

// ConfirmList implements [front.View].
func (v *frontView) ConfirmList(ctx context.Context) *mn.Error {
	if v.ListAge() <= v.maxSendAge() {
		return nil
	}
	return v.confirmer.confirm(ctx)
}

// confirm reads the store and asks peers until the list is recent, or until it is known
// that nobody has a newer one. It returns an error if nobody answers.
func (c *listConfirmer) confirm(ctx context.Context) *mn.Error {
	rejection, age, decided := c.verdict()
	if decided && age < confirmInterval {
		return rejection
	}
	done := c.calls.DoChan("", func() (any, error) {
		c.attempt()
		return nil, nil // The verdict is kept in c.
	})
	if decided && age < verdictTTL {
		return rejection
	}
	select {
	case <-done:
	case <-ctx.Done():
		return nil // The send fails by itself.
	}
	rejection, _, _ = c.verdict()
	return rejection
}

// verdict returns the verdict of the last attempt and its age, if there is one.
func (c *listConfirmer) verdict() (rejection *mn.Error, age mn.Millis, decided bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rejection, c.view.clock.Now() - c.decidedAt, c.decidedAt > 0
}

// attempt tries to confirm the list once, and sets the verdict.
func (c *listConfirmer) attempt() {
	v := c.view
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout.Duration())
	defer cancel()
	answered := c.ask(ctx)
	age := v.ListAge()
	fresh := age <= v.maxSendAge()
	silent := !fresh && !answered && age <= v.maxSendAge()+maxSilence
	v.stats.Add("lists_confirmed", 1)
	v.log.WithFields(logrus.Fields{"event": "list_confirmed", "list_age_ms": age, "fresh": fresh, "answered": answered, "rejecting": silent}).Info()

	c.mu.Lock()
	defer c.mu.Unlock()
	c.rejection, c.decidedAt = nil, v.clock.Now()
	if fresh {
		c.decidedAt = 0
	}
	if silent {
		c.rejection = mn.Errorf(mn.NotCurrent, "the list of endpoints is %d ms old, and neither the store nor a peer answers", age).WithRetryAfter(unconfirmedRetryAfter)
	}
}

// ask reads the store and asks the best informed peers until the list is recent, all
// calls have ended, or ctx ends. It reports whether any of them answered; a refusal of
// the store is an answer.
func (c *listConfirmer) ask(ctx context.Context) (answered bool) {
	v := c.view
	v.feed.adopt()
	peers := v.peers.bestInformed(v.clock.Now(), aliveWindow, askedPeers)
	results := make(chan error, 1+len(peers))
	go func() { results <- v.feed.read(ctx) }()
	for _, p := range peers {
		go func() { results <- v.gossip.Ask(ctx, p) }()
	}
	pending := cap(results)
	for v.ListAge() > v.maxSendAge() && ctx.Err() == nil && (pending > 0 || v.fetchingList.Load()) {
		select {
		case err := <-results:
			pending--
			answered = answered || err == nil || isRefusal(err)
		default:
			_ = v.clock.Sleep(ctx, confirmPollInterval)
		}
	}
	return answered
}

// isRefusal reports whether err means that the store refused a call.
func isRefusal(err error) bool {
	var e *mn.Error
	return errors.As(err, &e) && e.Code == mn.PlatformUnavailable && e.Outcome == mn.OutcomeNotRun
}
