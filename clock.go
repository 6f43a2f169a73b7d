package mustardnotch

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Millis is a span of time, or an instant on some clock, in milliseconds.
type Millis int64

// Spans of time.
const (
	Millisecond Millis = 1
	Second             = 1000 * Millisecond
	Minute             = 60 * Second
	Hour               = 60 * Minute
)

// Duration converts m for use with the standard library.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// MillisOf converts d to whole milliseconds, rounding towards zero.
func MillisOf(d time.Duration) Millis {
	return Millis(d / time.Millisecond)
}

// Clock tells time in milliseconds.
type Clock interface {
	// Now returns an instant that never goes back and that advances while the
	// process is paused or the VM suspended. Its zero is arbitrary.
	Now() Millis
	// Wall returns milliseconds since the Unix epoch.
	Wall() Millis
	// Sleep waits for span, or until ctx is done, whose error it then returns.
	Sleep(ctx context.Context, span Millis) error
}

// SystemClock is the clock of the machine.
type SystemClock struct{}

// NewSystemClock returns the clock of the machine.
func NewSystemClock() SystemClock { return SystemClock{} }

// Now reads the boot-time clock: unlike the monotonic clock of the time
// package it advances while the VM is suspended, when leases run out too.
func (SystemClock) Now() Millis {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock_gettime(CLOCK_BOOTTIME): " + err.Error())
	}
	return Millis(ts.Sec*1000 + ts.Nsec/1e6)
}

// Wall implements [Clock].
func (SystemClock) Wall() Millis { return Millis(time.Now().UnixMilli()) }

// Sleep implements [Clock].
func (SystemClock) Sleep(ctx context.Context, duration Millis) error {
	t := time.NewTimer(duration.Duration())
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// ManualClock is a clock that moves only when told to, for tests.
type ManualClock struct {
	mu      sync.Mutex
	now     Millis
	wall    Millis
	changed chan struct{}
}

// NewManualClock returns a clock whose Now and Wall both start at start.
func NewManualClock(start Millis) *ManualClock {
	return &ManualClock{now: start, wall: start, changed: make(chan struct{})}
}

// Now implements [Clock].
func (c *ManualClock) Now() Millis {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// Wall implements [Clock].
func (c *ManualClock) Wall() Millis {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wall
}

// Advance moves both readings forward by span and wakes sleepers that are due.
func (c *ManualClock) Advance(duration Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now += duration
	c.wall += duration
	close(c.changed)
	c.changed = make(chan struct{})
}

// Sleep implements [Clock].
func (c *ManualClock) Sleep(ctx context.Context, duration Millis) error {
	c.mu.Lock()
	due := c.now + duration
	for c.now < due {
		changed := c.changed
		c.mu.Unlock()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
		c.mu.Lock()
	}
	c.mu.Unlock()
	return ctx.Err()
}
