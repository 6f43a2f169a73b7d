package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	mn "mustardnotch"
	"mustardnotch/procs"
)

const (
	// crashedFor is how long a runner is down after a crash, and frozenFor how long a front stands
	// still. The runner crashes crashDelay after the front has been stopped.
	crashedFor = 2000 * time.Millisecond
	frozenFor  = 2600 * time.Millisecond
	crashDelay = 200 * time.Millisecond
	// cutFor is how long a runner is cut off, and crashedBehindCut how long it is down meanwhile.
	cutFor           = 1200 * time.Millisecond
	crashedBehindCut = 600 * time.Millisecond
	// frozenDeadline is the time that clients wait, in milliseconds, and longestGap the pause after
	// which they abandon a stream: eight times 400 ms.
	frozenDeadline = 5000
	longestGap     = 3200 * time.Millisecond
	frozenFronts   = 3
	frozenRounds   = 4
)

// frozenFront stops a front for some seconds while a runner crashes and starts again. All answers
// are streams that end with their connection. The environment variable ONLY leaves out one of the
// disruptions: with "freeze" no runner crashes, with "crash" no front is stopped. With "cut" no
// front is stopped either, and the runner crashes and starts again while it is cut off.
func frozenFront(s *site) error {
	only := os.Getenv("ONLY")
	freeze := s.trouble && only != "crash" && only != "cut"
	crash := s.trouble && only != "freeze"
	if s.trouble && only == "cut" {
		s.links = map[int]*procs.Link{}
	}
	one := []mn.PoolShare{{Pool: "assist", Weight: 1}}
	routes := []mn.Route{
		{Name: "whole", Host: host, Prefix: "/whole/", Kind: mn.RouteStream, Shares: one, Timeout: frozenDeadline, LatencyGoal: 500, Attempts: 1},
		{Name: "resumable", Host: host, Prefix: "/resumable/", Kind: mn.RouteStream, Shares: one, Timeout: frozenDeadline, LatencyGoal: 500, Attempts: 2, Resumable: true},
	}
	pools := map[mn.PoolID]mn.PoolSpec{"assist": {ID: "assist", MaxConns: 630, Engine: &mn.EngineSpec{Capacity: 64, KVTokens: 764636, KVBytesPerToken: 18432, LinkMbps: 320000}}}
	if err := s.store.WriteConfig(1, routes, pools, nil); err != nil {
		return err
	}
	s.restartAfter = crashedFor
	if s.links != nil {
		s.restartAfter = crashedBehindCut
	}
	for n := 1; n <= leavingRunners; n++ {
		err := s.startRunner(n, fmt.Sprintf("i-%d", n), "assist", mn.EngineDecode, 64, "--unframed", "--events", fmt.Sprint(streamEvents), "--gap", streamGap.String())
		if err != nil {
			return err
		}
	}
	for n := 1; n <= frozenFronts; n++ {
		if err := s.startFront(n); err != nil {
			return err
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var clients sync.WaitGroup
	for n := range streamClients {
		clients.Go(func() { s.readStreams(ctx, n) })
	}
	for n := 1; n <= frozenRounds; n++ {
		if err := s.wait(6 * time.Second); err != nil {
			return err
		}
		if err := s.freezeAndCrash(n, freeze, crash); err != nil {
			return err
		}
	}
	if err := s.wait(6 * time.Second); err != nil {
		return err
	}
	stop()
	clients.Wait()
	return nil
}

// freezeAndCrash stops a front and has runner n crash meanwhile.
func (s *site) freezeAndCrash(n int, freeze, crash bool) error {
	s.mu.Lock()
	front := s.fronts[(n-1)%len(s.fronts)].Process
	runner := s.runners[fmt.Sprintf("i-%d", n)].cmd.Process
	s.mu.Unlock()
	if freeze {
		s.note("front-%d gets %v", 1+(n-1)%frozenFronts, syscall.SIGSTOP)
		if err := front.Signal(syscall.SIGSTOP); err != nil {
			return err
		}
	}
	if link := s.links[n]; link != nil {
		s.note("runner i-%d is cut off", n)
		link.Partition()
		time.AfterFunc(cutFor, func() {
			s.note("runner i-%d is reached again", n)
			link.Restore()
		})
	}
	if err := s.wait(crashDelay); err != nil {
		return err
	}
	if crash {
		s.note("runner i-%d gets %v", n, syscall.SIGKILL)
		if err := runner.Kill(); err != nil {
			return err
		}
	}
	if err := s.wait(frozenFor - crashDelay); err != nil {
		return err
	}
	if !freeze {
		return nil
	}
	s.note("front-%d gets %v", 1+(n-1)%frozenFronts, syscall.SIGCONT)
	return front.Signal(syscall.SIGCONT)
}

// readStreams has client n ask for one stream after the other until ctx is done.
func (s *site) readStreams(ctx context.Context, n int) {
	path := []string{"/whole/", "/resumable/"}[n%2]
	// Streams begin at all times.
	time.Sleep(time.Duration(n) * streamEvents * streamGap / streamClients)
	for k := 0; ctx.Err() == nil; k++ {
		s.readStream(fmt.Sprintf("c%d-%d", n, k), fmt.Sprintf("http://%s:%d%sx", s.ip(11+n/2%frozenFronts), callPort, path))
		time.Sleep(20 * time.Millisecond)
	}
}

// readStream asks for a stream, abandons it after its deadline or a pause of longestGap, and checks
// that it is whole if it ends as if it were.
func (s *site) readStream(id, url string) {
	ctx, cancel := context.WithTimeout(context.Background(), frozenDeadline*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("prompt"))
	if err != nil {
		return
	}
	req.Host = host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(frozenDeadline))
	req.Header.Set("X-Model", "m")
	req.Header.Set("X-Token-Counts", "383,25")
	req.Header.Set("X-Prompt-Prefix", "5c1e07a2:92,"+fmt.Sprintf("%x", id)+":291")
	pause := time.AfterFunc(longestGap, cancel)
	defer pause.Stop()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		s.note("client %s %s: no answer: %v", id, req.URL.Path, err)
		return
	}
	defer resp.Body.Close()
	var body strings.Builder
	for buf := make([]byte, 4096); err == nil; {
		var n int
		n, err = resp.Body.Read(buf)
		body.Write(buf[:n])
		pause.Reset(longestGap)
	}
	got := strings.Count(body.String(), "\n\n")
	s.note("client %s %s: status %d, %d of %d events, end: %v", id, req.URL.Path, resp.StatusCode, got, streamEvents, err)
	if err == io.EOF && resp.StatusCode == http.StatusOK && got < streamEvents {
		s.breakRule("the stream %s ends as complete after event %d of %d", id, got, streamEvents)
	}
}
