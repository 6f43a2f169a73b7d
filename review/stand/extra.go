//go:build review

package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// extraRunners of four runners send an extra answer after extraShare of theirs, for
	// extraFor at a time, extraTimes times.
	extraRunners = 2
	extraShare   = 0.03
	extraFor     = 5 * time.Second
	extraTimes   = 6
	// bookers is how many clients book, each a booking every bookPause.
	bookers   = 14
	bookPause = 200 * time.Millisecond
)

// extraAnswers has runners send an extra answer late, at the point where the next answer
// is expected, and checks that no booking runs more than once.
func extraAnswers(w *world) (bool, error) {
	key := "3d3zji9n73hh2b9wu3fe"
	if err := w.start(4, 2, config{keys: []string{key}}); err != nil {
		return false, err
	}
	c, stop := newClient(), make(chan struct{})
	var wg sync.WaitGroup
	for n := range bookers + 4 {
		wg.Go(func() {
			for i := 0; ; i++ {
				f := w.fronts[n%len(w.fronts)]
				if n < bookers {
					c.send(f, "POST", "/pule252/2f", key, strings.Repeat(fmt.Sprintf("booking %d of %d. ", i, n), 30))
				} else {
					c.get(f, "/puxa403/2f", key)
				}
				select {
				case <-time.After(bookPause):
				case <-stop:
					return
				}
			}
		})
	}
	time.Sleep(stable)
	for range extraTimes {
		if w.trouble {
			w.say("%d of 4 runners send an extra answer after %g of their answers", extraRunners, extraShare)
			w.fleet.setExtra(extraRunners, extraShare)
		}
		time.Sleep(extraFor)
		w.fleet.setExtra(0, 0)
		time.Sleep(2 * time.Second)
	}
	close(stop)
	wg.Wait()
	return w.checkTwice(c), nil
}

// checkTwice records what came of the bookings, and reports whether one ran twice.
func (w *world) checkTwice(c *client) bool {
	runs, _ := w.fleet.all()
	byID := map[string][]run{}
	for _, r := range runs {
		byID[r.id] = append(byID[r.id], r)
	}
	w.list("all requests", c)
	twice, booked, refused, counts := 0, 0, 0, map[int]int{}
	for _, q := range c.all() {
		if !strings.HasPrefix(q.path, "/pule252/") {
			continue
		}
		booked++
		counts[q.status]++
		ran := byID[q.id]
		promised := len(ran) > 0 && (q.status == 429 || q.status == 503)
		if promised {
			refused++
		}
		if len(ran) > 1 {
			twice++
		}
		if len(ran) > 1 || promised {
			w.sayAt(q.sent, "booking %s is sent to %s once; extra answer from runner %s", q.id, q.front, w.fleet.extraAt[q.id])
			for _, r := range ran {
				w.sayAt(r.at, "  runner %s runs it", r.runner)
			}
			w.sayAt(q.sent, "  the client gets %d, seal %t", q.status, q.sealed)
		}
	}
	w.say("extra answers: %d; bookings sent: %d, answers by status (0 is none): %v", len(w.fleet.extras), booked, counts)
	w.say("%d bookings ran more than once, %d ran and were refused", twice, refused)
	return twice > 0
}
