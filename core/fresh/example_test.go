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

func (unreachable) Hear(context.Context, mn.Member, fresh.Told) (fresh.Answer, error) {
	return fresh.Answer{}, errors.New("no answer")
}

// A process that can reach neither the log nor its peers refuses in time.
func Example() {
	clock := mn.NewManualClock(0)
	fold := conf.New()
	monitor := fresh.New("entry-1", "run-1", fold, clock, unreachable{}, fresh.DefaultParams())
	monitor.NoteHead(clock.Now(), 0)
	fmt.Println(monitor.Current() == nil)
	clock.Advance(3 * mn.Second)
	fmt.Println(mn.CodeOf(monitor.Current()))
	// Output:
	// true
	// MN204
}
