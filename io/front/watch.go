package front

import (
	"context"
	"slices"
	"sync"

	mn "mustardnotch"
)

const (
	// maxWatch bounds how long an endpoint is watched for a request that was given up. Endpoints
	// stop working on a request at its deadline, and most do so when its connection is closed.
	maxWatch = 10 * mn.Second
	// watchGrace is how much later than its deadline an endpoint may stop working on a request: it
	// got the request, and counts from then, somewhat later than it was sent.
	watchGrace = 200 * mn.Millisecond
	// watchInterval is the time between two looks at an endpoint. One that has crashed is away for
	// seconds.
	watchInterval = 100 * mn.Millisecond
	// connectInterval is the minimum time from a connection that is opened to look at an endpoint
	// to the next one. Usually an idle connection shows whether its process lives.
	connectInterval = 1 * mn.Second
	// maxWatched bounds the requests for which endpoints are watched.
	maxWatched = 256
)

// crashWatch watches endpoints that may still work on requests although the connections of these
// have ended, so that the front no longer sees from them whether the endpoint crashes.
//
// Load pattern: a request crashes each endpoint some time after it has begun to run it. Its callers
// give up first, or their deadlines pass. It is safe for concurrent use.
type crashWatch struct {
	server *Server

	mu sync.Mutex
	// requests holds the requests that endpoints may still work on, the oldest first.
	requests []watchedRequest
	// running holds the endpoints that are watched.
	running map[mn.EndpointID]bool
}

// watchedRequest is a request that an endpoint may still work on.
type watchedRequest struct {
	endpoint mn.EndpointID
	suspect
}

func newCrashWatch(s *Server) *crashWatch {
	return &crashWatch{server: s, running: map[mn.EndpointID]bool{}}
}

// add watches an endpoint until it can't work on the request any more.
func (w *crashWatch) add(to mn.Endpoint, given suspect) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.requests) >= maxWatched {
		w.requests = slices.Delete(w.requests, 0, 1)
	}
	w.requests = append(w.requests, watchedRequest{to.ID, given})
	if !w.running[to.ID] {
		w.running[to.ID] = true
		go w.run(to)
	}
}

// take returns what an endpoint that has crashed may have worked on, and forgets it.
func (w *crashWatch) take(id mn.EndpointID) (taken []suspect) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests = slices.DeleteFunc(w.requests, func(r watchedRequest) bool {
		if r.endpoint == id {
			taken = append(taken, r.suspect)
		}
		return r.endpoint == id
	})
	return taken
}

// expire forgets the requests that can't be worked on any more, and reports whether the endpoint
// is to be watched further.
func (w *crashWatch) expire(id mn.EndpointID) bool {
	now := w.server.Clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests = slices.DeleteFunc(w.requests, func(r watchedRequest) bool { return r.endpoint == id && r.until < now })
	if slices.ContainsFunc(w.requests, func(r watchedRequest) bool { return r.endpoint == id }) {
		return true
	}
	delete(w.running, id)
	return false
}

// run watches an endpoint as long as there are requests that it may work on. An endpoint that is
// about to end, or is no longer listed, ends without having crashed.
func (w *crashWatch) run(to mn.Endpoint) {
	s := w.server
	var connectAt mn.Millis
	for delay := crashCheckDelay; ; delay = watchInterval {
		_ = s.Clock.Sleep(context.Background(), delay)
		now := s.Clock.Now()
		connect := now >= connectAt
		ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout.Duration())
		ended, err := s.Back.Ended(ctx, to.Addr, connect)
		cancel()
		s.logUnclear(to.ID, err)
		if ended && s.isReady(to.ID) {
			s.countCrash(to, w.take(to.ID))
		}
		if connect && err == nil {
			connectAt = now + connectInterval
		}
		if !w.expire(to.ID) {
			return
		}
	}
}
