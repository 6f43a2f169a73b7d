package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	mn "mustardnotch"
)

const (
	bookingClients  = 20
	bookingDeadline = 1500
	// failShare is the share of requests that the failing runner fails for failTime.
	failShare = "0.45"
	failTime  = "6.5s"
	// bookingRunners is the number of runners, as in the deployment voering-router.
	bookingRunners = 4
)

// refusedRun has one of four runners of a booking service answer a share of the bookings with
// status 429 after it has run them. Its answers don't say that they have not run.
func refusedRun(s *site) error {
	routes := []mn.Route{{Name: "book", Host: host, Prefix: "/book/", Kind: mn.RouteAtMostOnce, Shares: []mn.PoolShare{{Pool: "desk", Weight: 1}}, Timeout: 800, LatencyGoal: 150, Attempts: 1}}
	if err := s.store.WriteConfig(1, routes, map[mn.PoolID]mn.PoolSpec{"desk": {ID: "desk", MaxConns: 110}}, nil); err != nil {
		return err
	}
	var fails []string
	if s.trouble {
		fails = []string{"--fail-status", "429", "--fail-share", failShare, "--fail-time", failTime}
	}
	if err := s.startRunner(1, "i-1", "desk", "", 6, fails...); err != nil {
		return err
	}
	for n := 2; n <= bookingRunners; n++ {
		if err := s.startRunner(n, fmt.Sprintf("i-%d", n), "desk", "", 6); err != nil {
			return err
		}
	}
	for n := 1; n <= 2; n++ {
		if err := s.startFront(n); err != nil {
			return err
		}
	}
	ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
	defer stop()
	var clients sync.WaitGroup
	for n := range bookingClients {
		clients.Go(func() {
			for k := 0; ctx.Err() == nil; k++ {
				s.book(n, k)
				time.Sleep(150 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	return nil
}

// book books once. It sends the booking again only if the answer promises that it has not run
// and never will, as the clients of the platform do.
func (s *site) book(n, k int) {
	var ids []string
	for try := range 2 {
		id := fmt.Sprintf("b%d-%d-%d", n, k, try)
		ids = append(ids, id)
		status := s.post(id, n+try)
		promise := status == 429 || status == 503 || status == 408 || status == 421
		if promise && s.ranTimes(id) > 0 {
			s.breakRule("booking %s is answered with status %d and has run", id, status)
		}
		if !promise {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	times := 0
	for _, id := range ids {
		times += s.ranTimes(id)
	}
	if times > 1 {
		s.note("booking %d-%d was applied %d times", n, k, times)
	}
}

// post sends a booking to a front and returns the status of its answer, 0 if there is none.
func (s *site) post(id string, front int) int {
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/book/reel", s.ip(11+front%2), callPort), strings.NewReader("one reel"))
	if err != nil {
		return 0
	}
	req.Host = host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(bookingDeadline))
	client := &http.Client{Timeout: bookingDeadline * time.Millisecond}
	resp, err := client.Do(req)
	if err != nil {
		s.note("client %s: no answer: %v", id, err)
		return 0
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		s.note("client %s: status %d, then %v", id, resp.StatusCode, err)
		return 0
	}
	s.note("client %s: status %d, sealed %q, %q", id, resp.StatusCode, resp.Header.Get("X-Server-Seal"), body)
	return resp.StatusCode
}
