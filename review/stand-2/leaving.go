package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	mn "mustardnotch"
)

const (
	// streamEvents and streamGap make streams of two seconds and a half.
	streamEvents = 25
	streamGap    = 100 * time.Millisecond
	// streamDeadline is the time that clients wait, in milliseconds.
	streamDeadline = 8000
	streamClients  = 72
	// leavingRunners is the number of runners, as in the deployment voering-router.
	leavingRunners = 9
	// noticeTime is the time from a runner's notice until it is gone.
	noticeTime = 2 * time.Second
)

// leavingStream takes runners away two seconds after their notice, while they answer with
// streams that end with their connection. Without the disruption, the runners let their
// streams end before they exit.
func leavingStream(s *site) error {
	one := []mn.PoolShare{{Pool: "assist", Weight: 1}}
	routes := []mn.Route{
		{Name: "whole", Host: host, Prefix: "/whole/", Kind: mn.RouteStream, Shares: one, Timeout: streamDeadline, LatencyGoal: 500, Attempts: 1},
		{Name: "resumable", Host: host, Prefix: "/resumable/", Kind: mn.RouteStream, Shares: one, Timeout: streamDeadline, LatencyGoal: 500, Attempts: 2, Resumable: true},
	}
	pools := map[mn.PoolID]mn.PoolSpec{"assist": {ID: "assist", MaxConns: 630, Engine: &mn.EngineSpec{Capacity: 64, KVTokens: 764636, KVBytesPerToken: 18432, LinkMbps: 320000}}}
	if err := s.store.WriteConfig(1, routes, pools, nil); err != nil {
		return err
	}
	start := func(n int) error {
		return s.startRunner(n, fmt.Sprintf("i-%d", n), "assist", mn.EngineDecode, 64, "--unframed", "--events", fmt.Sprint(streamEvents), "--gap", streamGap.String())
	}
	for n := 1; n <= leavingRunners; n++ {
		if err := start(n); err != nil {
			return err
		}
	}
	for n := 1; n <= 2; n++ {
		if err := s.startFront(n); err != nil {
			return err
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var clients sync.WaitGroup
	for n := range streamClients {
		clients.Go(func() { s.askForStreams(ctx, n) })
	}
	for n := 1; n <= 3; n++ {
		time.Sleep(4 * time.Second)
		if n > 1 { // Another one comes 4 s after the last has gone.
			if err := start(leavingRunners + n); err != nil {
				return err
			}
		}
		id := fmt.Sprintf("i-%d", n)
		if err := s.announce(id); err != nil {
			return err
		}
		time.Sleep(noticeTime)
		sig := syscall.SIGTERM
		if s.trouble {
			sig = syscall.SIGKILL
		}
		if err := s.end(id, sig, true); err != nil {
			return err
		}
	}
	time.Sleep(4 * time.Second)
	stop()
	clients.Wait()
	return nil
}

// askForStreams has client n ask for one stream after the other until ctx is done.
func (s *site) askForStreams(ctx context.Context, n int) {
	path := []string{"/whole/", "/resumable/"}[n%2]
	// Streams begin at all times.
	time.Sleep(time.Duration(n) * streamEvents * streamGap / streamClients)
	for k := 0; ctx.Err() == nil; k++ {
		id := fmt.Sprintf("c%d-%d", n, k)
		s.askForStream(id, fmt.Sprintf("http://%s:%d%sx", s.ip(11+n/2%2), callPort, path))
		time.Sleep(20 * time.Millisecond)
	}
}

// askForStream asks for a stream and checks that it is whole if it ends as if it were.
func (s *site) askForStream(id, url string) {
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader("prompt"))
	if err != nil {
		return
	}
	req.Host = host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(streamDeadline))
	req.Header.Set("X-Model", "m")
	req.Header.Set("X-Token-Counts", "383,25")
	req.Header.Set("X-Prompt-Prefix", "5c1e07a2:92,"+fmt.Sprintf("%x", id)+":291")
	client := &http.Client{Timeout: streamDeadline * time.Millisecond}
	resp, err := client.Do(req)
	if err != nil {
		s.note("client %s %s: no answer: %v", id, req.URL.Path, err)
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	got := strings.Count(string(body), "\n\n")
	s.note("client %s %s: status %d, %d of %d events, end: %v", id, req.URL.Path, resp.StatusCode, got, streamEvents, err)
	if err == nil && resp.StatusCode == http.StatusOK && got < streamEvents {
		s.breakRule("the stream %s ends as complete after event %d of %d", id, got, streamEvents)
	}
}
