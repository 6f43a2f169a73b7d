package mustardnotch

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Millis is a duration, or an instant on some clock, in milliseconds.
type Millis int64

// Common durations.
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

// MillisOf converts d to milliseconds, rounding towards zero.
func MillisOf(d time.Duration) Millis {
	return Millis(d / time.Millisecond)
}

// Clock reads the time in milliseconds.
type Clock interface {
	// Now returns the time since an arbitrary instant. It never goes backwards,
	// and it advances while the process is paused or the VM is suspended.
	Now() Millis
	// Wall returns the wall-clock time in milliseconds since the Unix epoch.
	Wall() Millis
	// Sleep waits for the given duration. It returns early with ctx.Err() when
	// ctx is done.
	Sleep(ctx context.Context, duration Millis) error
}

// SystemClock is the [Clock] of the operating system.
type SystemClock struct{}

// NewSystemClock returns a [SystemClock].
func NewSystemClock() SystemClock { return SystemClock{} }

// Now reads the boot-time clock. Unlike the monotonic clock of package time, it
// advances while the VM is suspended, and leases expire during that time.
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

// ManualClock is a [Clock] for tests that only moves when Advance is called.
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

// Advance moves Now and Wall forward by duration and wakes the sleepers whose
// time has come.
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
