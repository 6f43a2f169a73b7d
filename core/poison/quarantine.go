package poison

import (
	"context"
	"sync"
)

// Quarantine tracks the requests that run on one endpoint and admits no more than one
// suspect at a time. It is safe for concurrent use.
type Quarantine struct {
	tracker     *Tracker
	suspectSlot chan struct{}

	mu      sync.Mutex
	running map[*Admission]struct{}
}

// Admission is a request that runs on the endpoint.
type Admission struct {
	quarantine  *Quarantine
	fingerprint func() string
	suspect     bool
	// taken means that TakeSuspects has returned the fingerprint of this request.
	taken bool
}

// NewQuarantine returns the Quarantine of an endpoint that runs no requests.
func NewQuarantine(tracker *Tracker) *Quarantine {
	return &Quarantine{tracker: tracker, suspectSlot: make(chan struct{}, 1), running: map[*Admission]struct{}{}}
}

// Admit admits a request to the endpoint. The function fingerprint is called only if
// there are suspects, or later if the endpoint crashes. A suspect waits until no other
// one runs on the endpoint. Admit fails with code Quarantined or with the error of ctx.
func (q *Quarantine) Admit(ctx context.Context, fingerprint func() string) (*Admission, error) {
	a := &Admission{quarantine: q, fingerprint: fingerprint}
	if q.tracker.HasSuspects() {
		if err := a.admitSuspect(ctx); err != nil {
			return nil, err
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running[a] = struct{}{}
	return a, nil
}

// admitSuspect waits for the endpoint's suspect slot if the request is a suspect, and
// rejects quarantined requests.
func (a *Admission) admitSuspect(ctx context.Context) error {
	q := a.quarantine
	hash := a.fingerprint()
	a.suspect = q.tracker.Crashes(hash) > 0
	if !a.suspect {
		return nil
	}
	select {
	case q.suspectSlot <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	if err := q.tracker.Check(hash); err != nil {
		a.releaseSlot()
		return err
	}
	return nil
}

// End removes the request from the endpoint. With completed set, the request ran to
// its end and is no longer a suspect.
func (a *Admission) End(completed bool) {
	q := a.quarantine
	q.mu.Lock()
	_, present := q.running[a]
	delete(q.running, a)
	q.mu.Unlock()
	if present {
		a.releaseSlot()
	}
	if completed && a.suspect {
		q.tracker.Clear(a.fingerprint())
	}
}

func (a *Admission) releaseSlot() {
	if a.suspect {
		<-a.quarantine.suspectSlot
	}
}

// TakeSuspects returns the suspects of a crash of the endpoint while the request ran:
// the fingerprints of all requests that run on the endpoint, each only in the first
// call.
func (a *Admission) TakeSuspects() []string {
	q := a.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	var all []string
	for o := range q.running {
		if !o.taken {
			all = append(all, o.fingerprint())
		}
		o.taken = true
	}
	return all
}
