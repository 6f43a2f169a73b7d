// Package logs writes log lines without ever blocking the code that logs them.
package logs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	mn "mustardnotch"
)

// queueCapacity is the number of lines that wait for a slow destination before
// lines are dropped.
const queueCapacity = 2048

// Writer passes lines to a destination in the background. Lines that don't fit into
// its queue are dropped and counted. The count is logged once there is room again.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
}

// NewWriter returns a Writer that passes lines to w.
func NewWriter(w io.Writer) *Writer {
	l := &Writer{lines: make(chan []byte, queueCapacity), done: make(chan struct{})}
	go l.run(w)
	return l
}

// Write implements [io.Writer]. It never blocks and never fails.
func (l *Writer) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case l.lines <- line:
	default:
		l.dropped.Add(1)
	}
	return len(p), nil
}

// Close writes the queued lines. Write must not be called afterwards.
func (l *Writer) Close() {
	l.once.Do(func() { close(l.lines) })
	<-l.done
}

func (l *Writer) run(w io.Writer) {
	defer close(l.done)
	for line := range l.lines {
		if n := l.dropped.Swap(0); n > 0 {
			line = append(line, fmt.Sprintf("event=log_lines_dropped count=%d\n", n)...)
		}
		// There is no other log in which to report an error.
		_, _ = w.Write(line)
	}
}

// New returns a logger that writes each event to w as a line of key=value pairs.
func New(w io.Writer) *logrus.Logger {
	l := logrus.New()
	l.SetOutput(w)
	l.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	return l
}

// Sampler limits the rate of log lines for frequent events that need no attention.
// It is safe for concurrent use.
type Sampler struct {
	clock        mn.Clock
	maxPerSecond int64
	mu           sync.Mutex
	second       mn.Millis
	count        int64
	skipped      int64
}

// NewSampler returns a Sampler that allows maxPerSecond lines a second.
func NewSampler(maxPerSecond int64, clock mn.Clock) *Sampler {
	return &Sampler{clock: clock, maxPerSecond: maxPerSecond}
}

// Allow reports whether to write a line. If so, it also returns the number of lines
// that were skipped since the last one.
func (s *Sampler) Allow() (skipped int64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if second := s.clock.Now() / mn.Second; second != s.second {
		s.second, s.count = second, 0
	}
	if s.count >= s.maxPerSecond {
		s.skipped++
		return 0, false
	}
	s.count++
	skipped, s.skipped = s.skipped, 0
	return skipped, true
}
