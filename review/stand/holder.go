//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// cutFor is how long the holder is cut off: 12 s on the sheets.
	cutFor = 11500 * time.Millisecond
	thaw   = 300 * time.Millisecond
)

// dutyCall is a call that reached the platform.
type dutyCall struct {
	at     time.Time
	holder string
	fence  int
	window int64
}

// cloud is the platform's receiver of duty calls. It doesn't check fences.
type cloud struct {
	mu    sync.Mutex
	calls []dutyCall
}

func (c *cloud) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	at := time.Now()
	var body struct {
		Window int64 `json:"window"`
	}
	b, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(b, &body) != nil {
		return
	}
	fence, err := strconv.Atoi(r.Header.Get("X-Fence-Token"))
	if err != nil {
		return
	}
	time.Sleep(readDelay)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, dutyCall{at, r.Header.Get("X-Duty-Holder"), fence, body.Window})
}

func (c *cloud) all() []dutyCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]dutyCall(nil), c.calls...)
}

// lateCall cuts the holder off from the platform while its usage report is on the way, and
// checks that no call with a lower fencing token arrives after one with a higher.
func lateCall(w *world) (bool, error) {
	key, links, api := "3d3zji9n73hh2b9wu3fe", map[string][]*link{}, &cloud{}
	var once sync.Once
	cut := make(chan string, 1)
	apiAddr, err := serve(api)
	if err != nil {
		return false, err
	}
	w.connect = func(name, storeAddr string) (string, string, error) {
		toStore, storeLink, err := newLink(storeAddr)
		if err != nil {
			return "", "", err
		}
		toAPI, apiLink, err := newLink(apiAddr)
		if err != nil {
			return "", "", err
		}
		links[name] = []*link{toStore, toAPI}
		toAPI.onSend = func(b []byte) {
			if !w.trouble || !bytes.HasPrefix(b, []byte("POST /usage")) || len(api.all()) < 2 {
				return
			}
			once.Do(func() {
				toStore.setCut(true)
				toAPI.setCut(true)
				cut <- name
			})
		}
		return storeLink, apiLink, nil
	}
	if err := w.start(4, 3, config{keys: []string{key}}); err != nil {
		return false, err
	}
	c, stop := newClient(), make(chan struct{})
	var wg sync.WaitGroup
	for n := range 6 {
		wg.Go(func() {
			for {
				c.get(w.fronts[n%len(w.fronts)], "/puxa403/2f", key)
				select {
				case <-time.After(100 * time.Millisecond):
				case <-stop:
					return
				}
			}
		})
	}
	var healed time.Time
	select {
	case name := <-cut:
		w.say("%s is cut off from the platform while its usage report is on the way", name)
		time.Sleep(cutFor)
		for _, k := range links[name] {
			k.setCut(false)
		}
		healed = time.Now()
		w.say("%s reaches the platform again", name)
	case <-time.After(30 * time.Second):
		if w.trouble {
			close(stop)
			wg.Wait()
			w.say("no front reported usage three times")
			return false, io.ErrNoProgress
		}
	}
	time.Sleep(10 * time.Second)
	close(stop)
	wg.Wait()
	w.list("all requests", c)
	return w.checkFences(api.all(), healed), nil
}

// checkFences records the calls, and reports whether one came with a lower fencing token
// than one before it, later than thaw_ms after the link had healed.
func (w *world) checkFences(calls []dutyCall, healed time.Time) bool {
	highest, broken := 0, 0
	for _, c := range calls {
		excused := c.at.After(healed) && c.at.Before(healed.Add(thaw))
		w.sayAt(c.at, "the platform gets usage of window %d from %s with fencing token %d", c.window, c.holder, c.fence)
		if c.fence < highest && !excused {
			broken++
			w.sayAt(c.at, "  it has seen %d; %.3f s have passed since the link healed", highest, c.at.Sub(healed).Seconds())
		}
		highest = max(highest, c.fence)
	}
	w.say("%d of %d calls had a lower fencing token than one before", broken, len(calls))
	return broken > 0
}
