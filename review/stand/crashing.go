//go:build review

package main

import (
	"sync"
	"time"
)

const (
	// comesAgain is the time between two requests that crash runners.
	comesAgain = 2 * time.Second
	// killedFor is how long the fronts are away: 1 s on the sheets.
	killedFor = 1 * time.Second
	// kills is how often the fronts are killed.
	kills = 3
	// allowedRetries is how many such requests may reach runners.
	allowedRetries = 3
)

// crashingRequest sends a request again and again that crashes each runner which runs it,
// and kills all fronts in between.
func crashingRequest(w *world) (bool, error) {
	key := "3d3zji9n73hh2b9wu3fe"
	if err := w.start(8, 3, config{keys: []string{key}}); err != nil {
		return false, err
	}
	time.Sleep(stable) // Now all fronts are in touch.
	sound, deadly, stop := newClient(), newClient(), make(chan struct{})
	var wg sync.WaitGroup
	for n := range 6 {
		wg.Go(func() {
			for {
				sound.get(w.fronts[n%len(w.fronts)], "/puxa403/2f", key)
				select {
				case <-time.After(100 * time.Millisecond):
				case <-stop:
					return
				}
			}
		})
	}
	comes := func(times int) {
		for n := range times {
			q := deadly.get(w.fronts[n%len(w.fronts)], "/puxa403/"+deadlyPath, key)
			w.sayAt(q.sent, "request %s that crashes runners is sent to %s: status %d", q.id, q.front, q.status)
			time.Sleep(comesAgain)
		}
	}
	comes(4)
	touch := []time.Time{}
	for range kills {
		if w.trouble {
			w.say("all fronts are killed")
			for _, f := range w.fronts {
				f.kill()
			}
			time.Sleep(killedFor)
			for _, f := range w.fronts {
				if err := f.start(); err != nil {
					return false, err
				}
			}
			w.say("all fronts are started")
			for _, f := range w.fronts {
				if err := f.awaitReady(); err != nil {
					return false, err
				}
			}
		}
		time.Sleep(stable + time.Second)
		touch = append(touch, time.Now())
		w.say("all fronts are in touch")
		comes(4)
	}
	close(stop)
	wg.Wait()
	return w.checkCrashing(deadly, sound, touch[0])
}

// checkCrashing records what ran, and reports whether more than allowedRetries requests
// that crash runners reached them after the fronts were in touch again.
func (w *world) checkCrashing(deadly, sound *client, touch time.Time) (bool, error) {
	runs, crashes := w.fleet.all()
	w.list("sound requests", sound)
	w.list("requests that crash runners", deadly)
	w.say("runners crashed %d times", len(crashes))
	if len(crashes) < 3 {
		return false, nil
	}
	from := crashes[2].Add(stable)
	w.sayAt(crashes[2], "third crash; what reaches runners from %.3f s counts", from.Sub(w.started).Seconds())
	seen, all, own := map[string]int{}, 0, 0
	for _, r := range runs {
		if r.path != "/puxa403/"+deadlyPath {
			continue
		}
		seen[r.id]++
		counts := r.at.After(from) && r.at.After(touch)
		if counts {
			all++
			if seen[r.id] > 1 {
				own++
			}
		}
		w.sayAt(r.at, "runner %s runs request %s and crashes (its run %d, counts: %t)", r.runner, r.id, seen[r.id], counts)
	}
	failed := 0
	for _, q := range sound.all() {
		if q.status != 200 {
			failed++
		}
	}
	w.say("sound requests: %d, not answered with success: %d", len(sound.all()), failed)
	w.say("after the third crash and stable_ms, %d runs by fronts in touch, of which the fronts sent %d again by themselves (the rule is checked with these alone); allowed are %d", all, own, allowedRetries)
	return own > allowedRetries, nil
}
