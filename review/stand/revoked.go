//go:build review

package main

import (
	"sync"
	"time"
)

const (
	// callers is how many clients send with the key that is taken away, each a request
	// after every pause.
	callers = 60
	pause   = 300 * time.Millisecond
	// largeRoutes makes a configuration that fits into one record of the store.
	largeRoutes = 1080
	// storm and stormGap are the configurations in quick succession: the doses of the
	// sheets are 0.33 s apart for 4 s.
	storm    = 11
	stormGap = 330 * time.Millisecond
	// refusedFor is how long the store turns the front away: 9 s on the sheets.
	refusedFor = 9 * time.Second
)

// revokedKey has the store turn a front away while the operator changes a large
// configuration several times and takes a key away. It checks that no request runs that
// was sent with the key later than revoke_ms after the acknowledgement.
func revokedKey(w *world) (bool, error) {
	kept, taken := "3d3zji9n73hh2b9wu3fe", "xd9dnn2ctnfzs989anu6"
	both := config{keys: []string{kept, taken}, idleRoutes: largeRoutes}
	if err := w.start(4, 1, config{keys: both.keys}); err != nil {
		return false, err
	}
	c, stop := newClient(), make(chan struct{})
	var wg sync.WaitGroup
	for n := range callers + 4 {
		key := taken
		if n >= callers {
			key = kept
		}
		wg.Go(func() {
			time.Sleep(pause * time.Duration(n) / callers)
			for {
				q := c.get(w.fronts[0], "/puxa403/2f", key)
				select {
				case <-time.After(max(pause, q.retryAfter)):
				case <-stop:
					return
				}
			}
		})
	}
	time.Sleep(4 * time.Second)
	if w.trouble {
		w.say("the store turns the front away with 503")
		w.store.setRefusing(true)
	}
	from := time.Now()
	var acked time.Time
	for n := range storm {
		if n == storm-1 {
			both.keys = []string{kept}
		}
		acked = w.configure(both)
		time.Sleep(stormGap)
	}
	w.sayAt(acked, "key %s is taken away from here; it must not run from %.3f s", taken, acked.Add(revokeIn).Sub(w.started).Seconds())
	time.Sleep(time.Until(from.Add(refusedFor)))
	if w.trouble {
		w.say("the store serves the front again")
		w.store.setRefusing(false)
	}
	time.Sleep(5 * time.Second)
	close(stop)
	wg.Wait()
	return w.checkRevoked(c, taken, acked.Add(revokeIn)), nil
}

// checkRevoked records what came of the requests, and reports whether one with the key ran
// that was sent after the instant limit.
func (w *world) checkRevoked(c *client, key string, limit time.Time) bool {
	runs, _ := w.fleet.all()
	ranAt := map[string]run{}
	for _, r := range runs {
		ranAt[r.id] = r
	}
	w.list("all requests", c)
	late, counts := 0, map[string]map[int]int{}
	for _, q := range c.all() {
		if counts[q.key] == nil {
			counts[q.key] = map[int]int{}
		}
		counts[q.key][q.status]++
		r, ran := ranAt[q.id]
		if q.key == key && ran && q.sent.After(limit) {
			late++
			w.sayAt(q.sent, "request %s with the key that was taken away is sent", q.id)
			w.sayAt(r.at, "  runner %s runs it for tenant %s", r.runner, r.tenant)
			w.sayAt(r.at, "  the client gets %d, seal %t: %s", q.status, q.sealed, q.answer)
		}
	}
	for k, n := range counts {
		w.say("answers to key %s by status (0 is none): %v", k, n)
	}
	w.say("%d requests ran that were sent later than revoke_ms after the key was taken away", late)
	return late > 0
}
