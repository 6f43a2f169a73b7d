package soak

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"syscall"

	mn "mustardnotch"
	"mustardnotch/platform/stand"
)

// fault is a fault or change that the soak can inject. inject returns when the fault
// has ended.
type fault struct {
	name string
	// onFront reports whether the front has the fault, or a link of its own.
	onFront bool
	inject  func(c *cluster, ctx context.Context, f *front, e *endpoint, duration mn.Millis) error
}

var faults = []fault{
	{"kill a front", true, func(c *cluster, ctx context.Context, f *front, _ *endpoint, duration mn.Millis) error {
		c.noteMemory(f)
		f.proc.Kill()
		_ = c.clock.Sleep(ctx, duration/3) // If ctx ends the sleep, the front still has to be restarted.
		return c.startFront(f)
	}},
	{stopFault, true, func(c *cluster, ctx context.Context, f *front, _ *endpoint, _ mn.Millis) error {
		// A signal ends a process that has just been started and does not handle it yet.
		serving := c.serves(f)
		c.noteMemory(f)
		if err := f.proc.Terminate(); err != nil {
			return err
		}
		if code, err := f.proc.Wait(8 * mn.Second); err != nil || code != 0 && serving {
			return fmt.Errorf("%s did not stop gracefully, exit code %d: %w", f.name, code, err)
		}
		return c.startFront(f)
	}},
	{"pause a front", true, func(c *cluster, ctx context.Context, f *front, _ *endpoint, duration mn.Millis) error {
		if err := f.proc.Pause(); err != nil {
			return err
		}
		_ = c.clock.Sleep(ctx, duration) // If ctx ends the sleep, the front still has to be resumed.
		return f.proc.Resume()
	}},
	{"signal a reload", false, func(c *cluster, _ context.Context, f *front, _ *endpoint, _ mn.Millis) error {
		return syscall.Kill(f.proc.PID(), syscall.SIGHUP)
	}},
	{"partition a front from the store", true, func(c *cluster, ctx context.Context, f *front, _ *endpoint, duration mn.Millis) error {
		f.storeLink.Partition()
		_ = c.clock.Sleep(ctx, duration) // If ctx ends the sleep, the link still has to be restored.
		f.storeLink.Restore()
		return nil
	}},
	{"blackhole a front's connections to the store", true, func(c *cluster, _ context.Context, f *front, _ *endpoint, _ mn.Millis) error {
		f.storeLink.Blackhole()
		return nil
	}},
	{"blackhole an endpoint's connections", false, func(c *cluster, _ context.Context, _ *front, e *endpoint, _ mn.Millis) error {
		e.link.Blackhole()
		return nil
	}},
	{"partition a front from an endpoint", true, func(c *cluster, ctx context.Context, f *front, e *endpoint, duration mn.Millis) error {
		e.link.PartitionFrom(f.ip)
		_ = c.clock.Sleep(ctx, duration) // If ctx ends the sleep, the link still has to be restored.
		e.link.RestoreFrom(f.ip)
		return nil
	}},
	{"crash an endpoint", false, func(c *cluster, ctx context.Context, _ *front, e *endpoint, _ mn.Millis) error {
		return c.replaceEndpoint(ctx, e, false)
	}},
	{"drain an endpoint", false, func(c *cluster, ctx context.Context, _ *front, e *endpoint, _ mn.Millis) error {
		return c.replaceEndpoint(ctx, e, true)
	}},
	{"announce the end of an endpoint", false, func(c *cluster, ctx context.Context, _ *front, e *endpoint, _ mn.Millis) error {
		// Its entry says that it is ready until it has ended.
		e.Announce()
		_ = c.clock.Sleep(ctx, drainBound+2*mn.Second) // If the soak ends, the endpoint is replaced at once.
		return c.replaceEndpoint(ctx, e, false)
	}},
	{"endpoint asks for pauses", false, endpointFault(stand.AskPause, 0.2)},
	{"endpoint sends late refusals", false, endpointFault(stand.LateRefusal, 0.3)},
	{"store busy", false, storeFault(stand.Busy, 1)},
	{"store resets", false, storeFault(stand.Reset, 0.6)},
	{"store loses answers", false, storeFault(stand.Lost, 0.4)},
	{"store slow", false, storeFault(stand.Slow, 1)},
	{"compact the store", false, func(c *cluster, _ context.Context, _ *front, _ *endpoint, _ mn.Millis) error {
		c.store.Compact()
		return nil
	}},
	{"endpoint loses answers", false, endpointFault(stand.LoseAnswer, 0.3)},
	{"endpoint truncates answers", false, endpointFault(stand.TruncateAnswer, 0.3)},
	{"endpoint sends extra data", false, endpointFault(stand.ExtraAnswer, 0.3)},
	{"endpoint repeats events", false, endpointFault(stand.RepeatEvents, 0.3)},
	{"endpoint restarts streams", false, endpointFault(stand.IgnoreLastEvent, 0.3)},
	{"endpoint sends bytes without end", false, endpointFault(stand.Endless, 0.3)},
	{"endpoint fails", false, endpointFault(stand.FailRun, 0.4)},
	{"endpoint sheds load", false, endpointFault(stand.Shed, 0.4)},
	{"write a configuration", false, func(c *cluster, _ context.Context, _ *front, _ *endpoint, _ mn.Millis) error {
		c.mu.Lock()
		c.extraRoutes++
		c.mu.Unlock()
		return c.writeConfig()
	}},
	{"revoke a key", false, func(c *cluster, _ context.Context, _ *front, _ *endpoint, _ mn.Millis) error {
		c.mu.Lock()
		customer := []mn.CustomerID{"a", "b", hotCustomer}[c.rand.IntN(3)]
		key := ""
		if all := c.keys[customer]; len(all) > 2 {
			key = all[0]
			c.keys[customer] = all[1:]
		}
		c.mu.Unlock()
		if err := c.writeConfig(); err != nil {
			return err
		}
		if key != "" {
			c.mu.Lock()
			c.history.RevokedAt[key] = c.clock.Now()
			c.mu.Unlock()
		}
		return nil
	}},
}

func storeFault(f stand.Fault, share float64) func(*cluster, context.Context, *front, *endpoint, mn.Millis) error {
	return func(c *cluster, ctx context.Context, _ *front, _ *endpoint, duration mn.Millis) error {
		c.store.SetFault(f, share)
		_ = c.clock.Sleep(ctx, duration) // If ctx ends the sleep, the fault still has to be cleared.
		c.store.SetFault("", 0)
		return nil
	}
}

func endpointFault(f stand.EndpointFault, share float64) func(*cluster, context.Context, *front, *endpoint, mn.Millis) error {
	return func(c *cluster, ctx context.Context, _ *front, e *endpoint, duration mn.Millis) error {
		e.SetFault(f, share)
		_ = c.clock.Sleep(ctx, duration) // If ctx ends the sleep, the fault still has to be cleared.
		e.SetFault("", 0)
		return nil
	}
}

// replaceEndpoint starts a new endpoint with the parameters of e and removes e.
func (c *cluster) replaceEndpoint(ctx context.Context, e *endpoint, graceful bool) error {
	if err := c.addEndpoint(e.entry.Pool, e.Role, e.Capacity, e.ServiceTime); err != nil {
		return err
	}
	return c.removeEndpoint(ctx, e, graceful)
}

// injectFaults injects faults, some of them concurrently, until ctx is done, and
// returns when all have ended. A front or an endpoint has one fault at a time.
func (c *cluster) injectFaults(ctx context.Context) error {
	done := make(chan error, 64)
	running := 0
	allowed := c.options.allowedFaults()
	busyFronts, busyEndpoints := map[*front]bool{}, map[*endpoint]bool{}
	for ctx.Err() == nil {
		c.mu.Lock()
		chosen := allowed[c.rand.IntN(len(allowed))]
		f := c.fronts[c.rand.IntN(len(c.fronts))]
		duration := mn.Millis(300 + c.rand.IntN(4500))
		gap := mn.Millis(100 + c.rand.IntN(1200))
		e := c.pickEndpoint(busyEndpoints)
		free := !busyFronts[f] && e != nil
		if free {
			busyFronts[f], busyEndpoints[e] = true, true
		}
		c.mu.Unlock()
		if free {
			running++
			from := c.clock.Now()
			go func() {
				err := chosen.inject(c, ctx, f, e, duration)
				c.mu.Lock()
				w := FaultWindow{From: from, To: c.clock.Now(), Fault: chosen.name}
				if chosen.onFront {
					w.Front = f.name
				}
				c.history.Faults = append(c.history.Faults, w)
				delete(busyFronts, f)
				delete(busyEndpoints, e)
				c.mu.Unlock()
				done <- err
			}()
		}
		_ = c.clock.Sleep(ctx, gap) // The loop condition checks ctx.
	}
	var first error
	for range running {
		if err := <-done; err != nil && first == nil {
			first = err
		}
	}
	c.mu.Lock()
	c.history.LastFaultEnd = c.clock.Now()
	c.mu.Unlock()
	return first
}

// evacuateBound is the time within which fronts must stop sending to an evacuated data centre.
const evacuateBound = 5000 * mn.Millisecond

// namedFaults are injected only if they are named, so that the seeds of earlier findings still
// draw what they drew.
var namedFaults = []fault{
	{"evacuate a data centre", false, func(c *cluster, ctx context.Context, _ *front, e *endpoint, duration mn.Millis) error {
		return c.evacuate(ctx, e.entry.DataCentre, evacuateBound+duration)
	}},
}

// evacuate evacuates a data centre for a time, unless it or the other one is evacuated already.
func (c *cluster) evacuate(ctx context.Context, dc mn.DataCentre, duration mn.Millis) error {
	c.mu.Lock()
	busy := c.evacuated != ""
	if !busy {
		c.evacuated = dc
	}
	c.mu.Unlock()
	if busy {
		return nil
	}
	if err := c.store.Evacuate(dc, true); err != nil {
		return err
	}
	e := Evacuation{DataCentre: dc, From: c.clock.Now()}
	_ = c.clock.Sleep(ctx, duration) // If ctx ends the sleep, the evacuation still has to be taken back.
	c.mu.Lock()
	e.To = c.clock.Now()
	c.history.Evacuations = append(c.history.Evacuations, e)
	c.evacuated = ""
	c.mu.Unlock()
	return c.store.Evacuate(dc, false)
}

// allowedFaults returns the faults whose names contain one of o.Faults, all if there is none.
func (o Options) allowedFaults() []fault {
	if len(o.Faults) == 0 {
		return faults
	}
	return slices.DeleteFunc(append(slices.Clone(faults), namedFaults...), func(f fault) bool {
		return !slices.ContainsFunc(o.Faults, func(text string) bool { return strings.Contains(f.name, text) })
	})
}

// pickEndpoint returns a random ready endpoint without a fault, or nil if there is
// none. The caller must hold c.mu.
func (c *cluster) pickEndpoint(busy map[*endpoint]bool) *endpoint {
	var free []*endpoint
	for n := range c.endpointsAdded + 1 {
		e := c.endpoints[mn.EndpointID(fmt.Sprintf("i-%d", n))]
		if e != nil && !busy[e] && e.entry.State == mn.EndpointReady {
			free = append(free, e)
		}
	}
	if len(free) == 0 {
		return nil
	}
	return free[c.rand.IntN(len(free))]
}
