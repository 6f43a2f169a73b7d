package matrix

import (
	"fmt"
	"sync"
	"time"

	mn "mustardnotch"
	"mustardnotch/fakes"
	"mustardnotch/gen/apipb"
)

// Step is a point of a request, a change, an order or a report at which faults are
// injected.
type Step struct {
	Name string
	// run starts the request, change, order or report and calls inject at its point.
	run func(s *scenario, inject func()) error
}

// Steps returns every step, in a fixed order.
func Steps() []Step {
	return []Step{
		{"generation_before", generationAt(0)},
		{"generation_first", generationAt(1)},
		{"generation_middle", generationAt(streamTokens / 2)},
		{"generation_last", generationAt(streamTokens)},
		{"booking_before", bookingBefore},
		{"booking_during", bookingDuring},
		{"booking_after", bookingAfter},
		{"change", changeStep},
		{"order", orderStep},
		{"report", reportStep},
	}
}

const (
	// streamTokens is the length of the streams at which faults are injected.
	streamTokens = 40
	// tokenTime is the time that an engine takes per token.
	tokenTime = 20 * mn.Millisecond
	// callTime is the time that a plain service takes per call.
	callTime = 400 * mn.Millisecond
)

// generationAt returns a step that sends a generation and injects faults when its
// caller has received the given number of chunks, 0 for before it is sent.
func generationAt(chunks int) func(s *scenario, inject func()) error {
	return func(s *scenario, inject func()) error {
		if chunks == 0 {
			inject()
		}
		var seen int
		prompt := "main " + s.cell
		text, end, err := s.generate(s.ctx, s.entry, mainKey, prompt, streamTokens, func(chunk *apipb.GenerateChunk) {
			seen++
			if seen == chunks {
				inject()
			}
		})
		s.recordGeneration(prompt, streamTokens, text, end, err)
		return nil
	}
}

func bookingBefore(s *scenario, inject func()) error {
	inject()
	s.book(s.entry, mainKey, "main "+s.cell)
	return nil
}

func bookingDuring(s *scenario, inject func()) error {
	var wg sync.WaitGroup
	wg.Go(func() { s.book(s.entry, mainKey, "main "+s.cell) })
	time.Sleep((callTime / 3).Duration())
	inject()
	wg.Wait()
	return nil
}

// bookingAfter injects faults after a booking is done. Its caller then repeats the
// booking, as if the response had been lost.
func bookingAfter(s *scenario, inject func()) error {
	booking := s.book(s.entry, mainKey, "main "+s.cell)
	inject()
	s.repeat(s.otherEntry, mainKey, booking)
	return nil
}

func changeStep(s *scenario, inject func()) error {
	inject()
	set := mn.Resource{Customer: &mn.Customer{ID: "nieuw", Rate: 10, Burst: 10}}
	change := &mn.Change{Edits: []mn.Edit{{Name: set.Name(), Set: &set}}}
	return s.appendRecord(&mn.Record{Change: change})
}

// orderStep declares a model version, so that the holder orders engines to load it, and
// injects faults 500 ms later, while engines are expected to receive their orders.
func orderStep(s *scenario, inject func()) error {
	if err := changeVersion(s); err != nil {
		return err
	}
	s.versionOrdered = true
	time.Sleep((500 * mn.Millisecond).Duration())
	inject()
	return nil
}

// reportStep makes requests that have to be reported as usage, and injects faults
// while their usage is on its way to the platform.
func reportStep(s *scenario, inject func()) error {
	for i := range 5 {
		prompt := fmt.Sprintf("bill %s %d", s.cell, i)
		text, end, err := s.generate(s.ctx, s.otherEntry, mainKey, prompt, 5, nil)
		s.recordGeneration(prompt, 5, text, end, err)
	}
	inject()
	return nil
}

// wantText returns the text that an engine generates for prompt.
func wantText(prompt string, tokens int64) string { return fakes.Output(prompt, tokens) }
