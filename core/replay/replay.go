// Package replay stores the chunks of streamed answers for a limited time, so that
// a client whose connection broke can resume the stream where it stopped.
package replay

import (
	"context"
	"sync"

	mn "mustardnotch"
)

// Config limits a [Store].
type Config struct {
	// Retention is how long an answer is stored after its end.
	Retention mn.Millis
	// MaxBytes is the maximum size of all chunks. Above it the answers that ended
	// first are dropped; answers that have not ended are never dropped.
	MaxBytes int64
}

// DefaultConfig returns the configuration for an agent.
func DefaultConfig() Config {
	return Config{Retention: 30 * mn.Second, MaxBytes: 32 << 20}
}

// Store holds answers by request id. It is safe for concurrent use.
type Store[T any] struct {
	config Config
	clock  mn.Clock

	mu      sync.Mutex
	answers map[mn.RequestID]*Answer[T]
	// ended has the answers that have ended, in the order in which they did.
	ended []*Answer[T]
	bytes int64
}

// New returns an empty store.
func New[T any](config Config, clock mn.Clock) *Store[T] {
	return &Store[T]{config: config, clock: clock, answers: map[mn.RequestID]*Answer[T]{}}
}

// Answer is one streamed answer, in chunks that are numbered without gaps.
type Answer[T any] struct {
	store    *Store[T]
	id       mn.RequestID
	customer mn.CustomerID

	// The store's lock guards the fields below.
	firstSequence mn.Sequence
	chunks        []T
	bytes         int64
	ended         bool
	endedAt       mn.Millis
	// changed is closed and replaced when a chunk is added or the answer ends.
	changed chan struct{}
	readers int
	// idleSince is when the number of readers last changed, or the answer opened.
	idleSince mn.Millis
}

// Open adds an empty answer for the request id of customer. Its first chunk will
// have the sequence number first. It fails if the request has an answer already.
func (s *Store[T]) Open(id mn.RequestID, customer mn.CustomerID, first mn.Sequence) (*Answer[T], *mn.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if s.answers[id] != nil {
		return nil, mn.Errorf(mn.BadRequest, "request %s already has an answer", id)
	}
	a := &Answer[T]{store: s, id: id, customer: customer, firstSequence: first, changed: make(chan struct{}), idleSince: s.clock.Now()}
	s.answers[id] = a
	return a, nil
}

// Find returns the answer to the request id if it belongs to customer, and an Error
// with code [mn.UnknownRequest] otherwise.
func (s *Store[T]) Find(id mn.RequestID, customer mn.CustomerID) (*Answer[T], *mn.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	a := s.answers[id]
	if a == nil || a.customer != customer {
		return nil, mn.Errorf(mn.UnknownRequest, "no answer to request %s is stored", id)
	}
	return a, nil
}

// Bytes returns the size of all stored chunks.
func (s *Store[T]) Bytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytes
}

// expire drops the answers that ended at least Retention ago and, while all chunks
// together exceed MaxBytes, those that ended first.
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

// Append adds a chunk of size bytes.
func (a *Answer[T]) Append(chunk T, size int64) {
	a.store.mu.Lock()
	defer a.store.mu.Unlock()
	a.chunks = append(a.chunks, chunk)
	a.bytes += size
	a.store.bytes += size
	a.notifyReaders()
}

// End marks the answer as complete: no further chunk follows.
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

// notifyReaders wakes the readers that wait for a change.
func (a *Answer[T]) notifyReaders() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// Read calls emit for every chunk after the sequence number after, waiting for
// those that have not been added yet, and returns nil after the last one. It fails
// if emit fails, if ctx is done, or if after lies outside the answer.
func (a *Answer[T]) Read(ctx context.Context, after mn.Sequence, emit func(T) error) error {
	a.addReaders(1)
	defer a.addReaders(-1)
	next := after + 1
	for {
		chunks, ended, changed, err := a.chunksFrom(next)
		if err != nil {
			return err
		}
		for _, c := range chunks {
			if err := emit(c); err != nil {
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

// chunksFrom returns the chunks from the sequence number next on, whether the
// answer has ended, and a channel that is closed at its next change.
func (a *Answer[T]) chunksFrom(next mn.Sequence) ([]T, bool, <-chan struct{}, error) {
	a.store.mu.Lock()
	defer a.store.mu.Unlock()
	i := int(next - a.firstSequence)
	if i < 0 || i > len(a.chunks) {
		return nil, false, nil, mn.Errorf(mn.BadRequest, "sequence number %d of request %s is out of range: want %d to %d", next-1, a.id, a.firstSequence-1, int(a.firstSequence)+len(a.chunks)-1)
	}
	return a.chunks[i:len(a.chunks):len(a.chunks)], a.ended, a.changed, nil
}

// addReaders adds delta, which may be negative, to the number of readers.
func (a *Answer[T]) addReaders(delta int) {
	a.store.mu.Lock()
	defer a.store.mu.Unlock()
	a.readers += delta
	a.idleSince = a.store.clock.Now()
}

// Idle returns for how long the answer has had no reader, 0 while it has one.
func (a *Answer[T]) Idle() mn.Millis {
	a.store.mu.Lock()
	defer a.store.mu.Unlock()
	if a.readers > 0 {
		return 0
	}
	return a.store.clock.Now() - a.idleSince
}
