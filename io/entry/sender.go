package entry

import (
	"sync"
	"time"

	mn "mustardnotch"
	"mustardnotch/gen/meshpb"
)

// frameSender is the part of a drpc stream that a sender needs.
type frameSender interface {
	Send(*meshpb.Frame) error
}

// sender writes frames to a stream and fills silences with heartbeats.
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

// close stops the heartbeats and waits until none is being sent.
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

func (s *sender) sendHeartbeat() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.clock.Now()-s.lastSent < HeartbeatInterval/2 {
		return nil
	}
	return s.out.Send(&meshpb.Frame{})
}
