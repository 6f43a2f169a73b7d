package entry

import (
	"sync"
	"time"

	mn "mustardnotch"
	"mustardnotch/gen/meshpb"
)

// frameSender is the sending side of a drpc stream of frames.
type frameSender interface {
	Send(*meshpb.Frame) error
}

// sender sends frames on a stream, and heartbeats while there are none. It is safe
// for concurrent use.
type sender struct {
	mu       sync.Mutex
	out      frameSender
	clock    mn.Clock
	lastSent mn.Millis
	stop     chan struct{}
	done     chan struct{}
}

func newSender(out frameSender, clock mn.Clock) *sender {
	s := &sender{out: out, clock: clock, lastSent: clock.Now(), stop: make(chan struct{}), done: make(chan struct{})}
	go s.sendHeartbeats()
	return s
}

func (s *sender) send(f *meshpb.Frame) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastSent = s.clock.Now()
	return s.out.Send(f)
}

// close stops the heartbeats and returns once none is being sent.
func (s *sender) close() {
	close(s.stop)
	<-s.done
}

func (s *sender) sendHeartbeats() {
	defer close(s.done)
	t := time.NewTicker(HeartbeatInterval.Duration())
	defer t.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-t.C:
		}
		if err := s.sendHeartbeat(); err != nil {
			return
		}
	}
}

// sendHeartbeat sends a heartbeat if no frame was sent in the last half interval.
func (s *sender) sendHeartbeat() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.clock.Now()-s.lastSent < HeartbeatInterval/2 {
		return nil
	}
	return s.out.Send(&meshpb.Frame{})
}
