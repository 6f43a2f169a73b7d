package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	mn "mustardnotch"
)

const (
	deadlyBody = "deadly"
	// runnerAway is how long a runner is away after a crash.
	runnerAway = 2 * time.Second
	// stableTime is the bound stable_ms of the settings.
	stableTime = 3 * time.Second
	// maxLateRetries is how many retries may reach runners later than stableTime after the third
	// crash.
	maxLateRetries = 3
	deadlyFronts   = 6
	deadlyRunners  = 8
	// atOnce is at how many fronts at once the request comes again.
	atOnce = 6
	// soundClients is the number of clients that book something sound all the while, and
	// deadlyWork how long a booking runs.
	soundClients = 8
	deadlyWork   = "100ms"
	// quietTime is the time between the first retries and the later ones.
	quietTime = 62 * time.Second
)

// deadlyAgain sends a request that crashes each runner which begins to run it: a few times at
// first, until the fronts reject it, and again a minute later. Without the disruption, the same
// request crashes nothing.
func deadlyAgain(s *site) error {
	share := []mn.PoolShare{{Pool: "desk", Weight: 1}}
	routes := []mn.Route{
		{Name: "book", Host: host, Prefix: "/book/", Kind: mn.RouteAtMostOnce, Shares: share, Timeout: 800, LatencyGoal: 150, Attempts: 1},
		{Name: "look", Host: host, Prefix: "/look/", Kind: mn.RouteIdempotent, Shares: share, Timeout: 800, LatencyGoal: 150, Attempts: 2},
	}
	if err := s.store.WriteConfig(1, routes, map[mn.PoolID]mn.PoolSpec{"desk": {ID: "desk", MaxConns: 110}}, nil); err != nil {
		return err
	}
	s.restartAfter = runnerAway
	body, args := "sound", []string{"--work", deadlyWork}
	if s.trouble {
		body, args = deadlyBody, append(args, "--deadly", deadlyBody)
	}
	for n := 1; n <= deadlyRunners; n++ {
		if err := s.startRunner(n, fmt.Sprintf("i-%d", n), "desk", "", 6, args...); err != nil {
			return err
		}
	}
	for n := 1; n <= deadlyFronts; n++ {
		if err := s.startFront(n); err != nil {
			return err
		}
	}
	if err := s.wait(stableTime + time.Second); err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var lost atomic.Int64
	var sound sync.WaitGroup
	for n := range soundClients {
		sound.Go(func() { lost.Add(s.bookUntil(ctx, n)) })
	}
	d := &deadly{site: s, body: body}
	for n := range 6 {
		d.send(n)
		if err := s.wait(time.Second); err != nil {
			return err
		}
	}
	if err := s.wait(quietTime); err != nil {
		return err
	}
	for n := range 2 {
		var some sync.WaitGroup
		for k := range atOnce {
			some.Go(func() { d.send((atOnce*n + k) % deadlyFronts) })
		}
		some.Wait()
		if err := s.wait(runnerAway + time.Second); err != nil {
			return err
		}
	}
	stop()
	sound.Wait()
	d.note("%d sound bookings ran and were not answered with success", lost.Load())
	d.judge()
	return nil
}

// bookUntil has client n book sound things until ctx is done, and returns how many of them ran
// without an answer with success.
func (s *site) bookUntil(ctx context.Context, n int) (lost int64) {
	for k := 0; ctx.Err() == nil; k++ {
		id := fmt.Sprintf("s%d-%d", n, k)
		status := s.post(id, n)
		if status != http.StatusOK && s.ranTimes(id) > 0 {
			lost++
		}
		time.Sleep(150 * time.Millisecond)
	}
	return lost
}

// deadly is a request that comes again and again.
type deadly struct {
	*site
	body string

	mu   sync.Mutex
	sent int
	// ran holds when each request that reached a runner was sent, once for each runner.
	ran []time.Duration
	// lateAgain is how many of them the fronts sent on by themselves after the quiet time.
	lateAgain int
}

// send sends the request to a front and notes whether it reached a runner.
func (d *deadly) send(front int) {
	d.mu.Lock()
	d.sent++
	id := fmt.Sprintf("d-%d", d.sent)
	d.mu.Unlock()
	at := time.Since(d.began)
	status, text := "no answer", ""
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/look/reel", d.ip(11+front), callPort), strings.NewReader(d.body))
	if err != nil {
		return
	}
	req.Host = host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(bookingDeadline))
	client := &http.Client{Timeout: bookingDeadline * time.Millisecond}
	if resp, err := client.Do(req); err == nil {
		body, readErr := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		status, text = resp.Status, strings.TrimSpace(string(body))
		if readErr != nil {
			text = readErr.Error()
		}
	}
	time.Sleep(50 * time.Millisecond) // The runner's line has arrived by then.
	ran := d.ranTimes(id)
	d.note("client %s at front-%d: %s, %s, reached %d runners", id, front+1, status, text, ran)
	if ran == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for range ran {
		d.ran = append(d.ran, at)
	}
	if at > quietTime {
		d.lateAgain += ran - 1
	}
}

// judge checks how many retries reached runners later than stableTime after the third crash.
func (d *deadly) judge() {
	if !d.trouble || len(d.ran) < 3 {
		return
	}
	third, late := d.ran[2], 0
	for _, at := range d.ran {
		if at > third+stableTime {
			late++
		}
	}
	d.note("the third crash came at %.3f s, %d retries reached runners later than %v after it, %d of them sent again by the fronts themselves", third.Seconds(), late, stableTime, d.lateAgain)
	if late > maxLateRetries {
		d.breakRule("%d retries of a request that crashes runners reached runners later than %v after it had crashed the third", late, stableTime)
	}
}
