// Package resume decides whether the events of another run of a request continue the stream
// that its caller already has.
//
// Load pattern: an endpoint ends in the middle of a stream, and the request is sent to
// another one that is to go on after the last event. What that endpoint answers may repeat
// events, leave some out, or belong elsewhere.
package resume

import (
	"strconv"

	mn "mustardnotch"
)

// Position is how far a caller has got in a stream. The zero value is the start of a stream.
type Position struct {
	// last is the id of the last event, and number its value if numbered is set.
	last     string
	number   int64
	numbered bool
	// gapless reports whether the numbers of all events so far count up by one from 1.
	gapless bool
	// events reports whether the caller has any event.
	events bool
	// unnamed reports whether the last event has no id.
	unnamed bool
	// nextRun is set while no event of the present run has arrived, if another run or
	// another stream came before it.
	nextRun bool
}

// After returns the position of a caller that has got a stream up to the event with id last,
// which is empty if it has none.
func After(last string) Position {
	p := Position{last: last, nextRun: last != ""}
	p.number, p.numbered = parse(last)
	return p
}

func parse(id string) (int64, bool) {
	n, err := strconv.ParseInt(id, 10, 64)
	return n, err == nil
}

// Last returns the id of the last event that has one, empty if none has.
func (p *Position) Last() string { return p.last }

// Resumable reports whether another run can go on from here. It can't if the caller has
// events that no id accounts for.
func (p *Position) Resumable() bool { return !p.unnamed }

// NextRun begins another run, and returns the id of the event after which it goes on, empty
// if it starts from the beginning.
func (p *Position) NextRun() string {
	p.nextRun = p.events || p.last != ""
	return p.last
}

// Advance moves past the next event, whose id may be empty. It returns an error if that
// event can't follow those before it.
func (p *Position) Advance(id string) error {
	if err := p.check(id); err != nil {
		return err
	}
	first := !p.events && p.last == ""
	p.events, p.nextRun, p.unnamed = true, false, id == ""
	if id == "" {
		return nil
	}
	number, numbered := parse(id)
	p.gapless = numbered && (first && number == 1 || p.gapless && number == p.number+1)
	p.last, p.number, p.numbered = id, number, numbered
	return nil
}

// check returns an error if the event with the given id can't follow.
func (p *Position) check(id string) error {
	number, numbered := parse(id)
	switch {
	case p.nextRun && id == "":
		return mn.Errorf(mn.Truncated, "the stream goes on with an event without an id after event %s", p.last)
	case p.last != "" && id == p.last, p.numbered && numbered && number <= p.number:
		return mn.Errorf(mn.Truncated, "event %s follows event %s", id, p.last)
	case p.nextRun && p.numbered && !numbered:
		return mn.Errorf(mn.Truncated, "the stream goes on with event %s after event %s", id, p.last)
	case p.nextRun && p.gapless && number != p.number+1:
		return mn.Errorf(mn.Truncated, "the stream goes on with event %s after event %s, so that events are missing", id, p.last)
	}
	return nil
}
