// Package replay keeps the parts of streamed answers for a while, so that a
// reader whose connection broke can go on from where it was.
package replay

import (
	"context"
	"sync"

	mn "mustardnotch"
)

// Config bounds a store.
type Config struct {
	// Retention is how long an answer is kept after its end.
	Retention mn.Millis
	// MaxBytes bounds the parts kept; beyond it the answers that ended first
	// are dropped. Answers that still run are never dropped.
	MaxBytes int64
}

// DefaultConfig returns the bounds of an agent.
func DefaultConfig() Config {
	return Config{Retention: 30 * mn.Second, MaxBytes: 32 << 20}
}

// Store holds answers by request id. It is safe for concurrent use.
type Store[T any] struct {
	config Config
	clock  mn.Clock

	mu      sync.Mutex
	answers map[mn.RequestID]*Answer[T]
	// ended holds answers in the order in which they ended.
	ended []*Answer[T]
	bytes int64
}

// New returns an empty store.
func New[T any](config Config, clock mn.Clock) *Store[T] {
	return &Store[T]{config: config, clock: clock, answers: map[mn.RequestID]*Answer[T]{}}
}

// Answer is one answer in parts that are numbered without gaps.
type Answer[T any] struct {
	store    *Store[T]
	id       mn.RequestID
	customer mn.CustomerID

	// The rest is guarded by the store's lock.
	firstSequence mn.Sequence
	chunks        []T
	bytes         int64
	ended         bool
	endedAt       mn.Millis
	changed       chan struct{}
	readers       int
	idleSince     mn.Millis
}

// Open adds an empty answer to the request id of customer, whose first part
// will have the sequence first. It fails if there is one already.
func (s *Store[T]) Open(id mn.RequestID, customer mn.CustomerID, first mn.Sequence) (*Answer[T], *mn.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if s.answers[id] != nil {
		return nil, mn.Errorf(mn.BadRequest, "request %s has an answer already", id)
	}
	a := &Answer[T]{store: s, id: id, customer: customer, firstSequence: first, changed: make(chan struct{}), idleSince: s.clock.Now()}
	s.answers[id] = a
	return a, nil
}

// Find returns the answer to the request id if it belongs to customer, and an
// Error with code UnknownRequest otherwise.
func (s *Store[T]) Find(id mn.RequestID, customer mn.CustomerID) (*Answer[T], *mn.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	a := s.answers[id]
	if a == nil || a.customer != customer {
		return nil, mn.Errorf(mn.UnknownRequest, "no answer to request %s is kept", id)
	}
	return a, nil
}

// Bytes returns the size of all parts kept.
func (s *Store[T]) Bytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytes
}

func (s *Store[T]) expire() {
	now := s.clock.Now()
	for len(s.ended) > 0 {
		oldest := s.ended[0]
		if s.bytes <= s.config.MaxBytes && now-oldest.endedAt < s.config.Retention {
			return
		}
		s.ended = s.ended[1:]
		s.bytes -= oldest.bytes
		delete(s.answers, oldest.id)
	}
}

// Append adds a part of size bytes.
func (a *Answer[T]) Append(chunk T, size int64) {
	a.store.mu.Lock()
	defer a.store.mu.Unlock()
	a.chunks = append(a.chunks, chunk)
	a.bytes += size
	a.store.bytes += size
	a.notifyReaders()
}

// End says that no further part follows.
func (a *Answer[T]) End() {
	a.store.mu.Lock()
	defer a.store.mu.Unlock()
	if a.ended {
		return
	}
	a.ended = true
	a.endedAt = a.store.clock.Now()
	a.store.ended = append(a.store.ended, a)
	a.notifyReaders()
	a.store.expire()
}

func (a *Answer[T]) notifyReaders() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// Read passes every part after the sequence after to sink, waits for those
// still to come, and returns nil after the last one. It fails if sink does,
// if ctx is done, or if after lies outside the answer.
func (a *Answer[T]) Read(ctx context.Context, after mn.Sequence, emit func(T) error) error {
	a.addReaders(1)
	defer a.addReaders(-1)
	next := after + 1
	for {
		chunks, ended, changed, err := a.chunksFrom(next)
		if err != nil {
			return err
		}
		for _, p := range chunks {
			if err := emit(p); err != nil {
				return err
			}
		}
		next += mn.Sequence(len(chunks))
		if ended {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

func (a *Answer[T]) chunksFrom(next mn.Sequence) ([]T, bool, <-chan struct{}, error) {
	a.store.mu.Lock()
	defer a.store.mu.Unlock()
	i := int(next - a.firstSequence)
	if i < 0 || i > len(a.chunks) {
		return nil, false, nil, mn.Errorf(mn.BadRequest, "sequence %d of request %s: want %d to %d", next-1, a.id, a.firstSequence-1, int(a.firstSequence)+len(a.chunks)-1)
	}
	return a.chunks[i:len(a.chunks):len(a.chunks)], a.ended, a.changed, nil
}

func (a *Answer[T]) addReaders(readers int) {
	a.store.mu.Lock()
	defer a.store.mu.Unlock()
	a.readers += readers
	a.idleSince = a.store.clock.Now()
}

// Idle returns how long the answer has had no reader, 0 while it has one.
func (a *Answer[T]) Idle() mn.Millis {
	a.store.mu.Lock()
	defer a.store.mu.Unlock()
	if a.readers > 0 {
		return 0
	}
	return a.store.clock.Now() - a.idleSince
}
