package fresh_test

import (
	"context"
	"errors"
	"fmt"

	mn "mustardnotch"
	"mustardnotch/core/conf"
	"mustardnotch/core/fresh"
)

// unreachable is a network in which no peer answers.
type unreachable struct{}

func (unreachable) Probe(context.Context, mn.Member, fresh.ProbeRequest) (fresh.ProbeReply, error) {
	return fresh.ProbeReply{}, errors.New("no answer")
}

// A process that can reach neither the log nor its peers stops being current
// once its evidence is older than MaxStaleness.
func Example() {
	clock := mn.NewManualClock(0)
	state := conf.New()
	monitor := fresh.New("entry-1", "run-1", state, clock, unreachable{}, fresh.DefaultParams())
	monitor.ObserveHead(clock.Now(), 0)
	fmt.Println(monitor.CheckCurrent() == nil)
	clock.Advance(3 * mn.Second)
	fmt.Println(mn.CodeOf(monitor.CheckCurrent()))
	// Output:
	// true
	// MN204
}
