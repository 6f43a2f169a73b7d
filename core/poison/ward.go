package poison

import (
	"context"
	"sync"
)

// Quarantine knows what runs on one endpoint and lets no more than one suspect run
// there at a time. It is safe for concurrent use.
type Quarantine struct {
	tracker     *Tracker
	suspectSlot chan struct{}

	mu      sync.Mutex
	running map[*Admission]struct{}
}

// Admission is the time of one request on the endpoint.
type Admission struct {
	quarantine  *Quarantine
	fingerprint func() string
	suspect     bool
	// reported says that a crash during the stay has been counted.
	reported bool
}

// NewQuarantine returns a ward of an endpoint on which nothing runs.
func NewQuarantine(tracker *Tracker) *Quarantine {
	return &Quarantine{tracker: tracker, suspectSlot: make(chan struct{}, 1), running: map[*Admission]struct{}{}}
}

// Admit admits a request to the endpoint, whose fingerprint is computed only
// when it is needed. A suspect waits until no other one
// runs there. It fails with code Quarantined, or with the error of ctx.
func (w *Quarantine) Admit(ctx context.Context, fingerprint func() string) (*Admission, error) {
	s := &Admission{quarantine: w, fingerprint: fingerprint}
	if w.tracker.HasSuspects() {
		if err := s.admitSuspect(ctx); err != nil {
			return nil, err
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running[s] = struct{}{}
	return s, nil
}

// admitSuspect waits for a suspect's turn and refuses what is quarantined.
func (s *Admission) admitSuspect(ctx context.Context) error {
	w := s.quarantine
	hash := s.fingerprint()
	s.suspect = w.tracker.Crashes(hash) > 0
	if !s.suspect {
		return nil
	}
	select {
	case w.suspectSlot <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	if err := w.tracker.Check(hash); err != nil {
		s.releaseSlot()
		return err
	}
	return nil
}

// End ends the stay. With whole set the request ran to its end, which clears
// it of suspicion.
func (s *Admission) End(whole bool) {
	w := s.quarantine
	w.mu.Lock()
	_, present := w.running[s]
	delete(w.running, s)
	w.mu.Unlock()
	if present {
		s.releaseSlot()
	}
	if whole && s.suspect {
		w.tracker.Clear(s.fingerprint())
	}
}

func (s *Admission) releaseSlot() {
	if s.suspect {
		<-s.quarantine.suspectSlot
	}
}

// ReportCrash is called by whoever sees that the endpoint crashed during the stay.
// It returns the fingerprints of all requests that ran there, once for each.
func (s *Admission) ReportCrash() []string {
	w := s.quarantine
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []string
	for o := range w.running {
		if !o.reported {
			all = append(all, o.fingerprint())
		}
		o.reported = true
	}
	return all
}
