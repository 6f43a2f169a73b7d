package matrix

import (
	"fmt"
	"sync"
	"time"

	mn "mustardnotch"
	"mustardnotch/fakes"
	"mustardnotch/gen/apipb"
)

// Step is a point of a request, a change or a report at which faults strike.
type Step struct {
	Name string
	// run starts what the step is about and calls strike once at its point.
	run func(s *scene, strike func()) error
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
	// streamTokens is the length of the streams that faults strike.
	streamTokens = 40
	// tokenSpan is the time that an engine takes for one token.
	tokenSpan = 20 * mn.Millisecond
	// callSpan is the time that a plain service takes for one call.
	callSpan = 400 * mn.Millisecond
)

func generationAt(token int) func(s *scene, strike func()) error {
	return func(s *scene, strike func()) error {
		if token == 0 {
			strike()
		}
		var seen int
		prompt := "main " + s.cell
		text, end, err := s.generate(s.ctx, s.entry, mainKey, prompt, streamTokens, func(k *apipb.GenerateChunk) {
			seen++
			if seen == token {
				strike()
			}
		})
		s.noteGeneration(prompt, streamTokens, text, end, err)
		return nil
	}
}

func bookingBefore(s *scene, strike func()) error {
	strike()
	s.book(s.entry, mainKey, "main "+s.cell)
	return nil
}

func bookingDuring(s *scene, strike func()) error {
	var wg sync.WaitGroup
	wg.Go(func() { s.book(s.entry, mainKey, "main "+s.cell) })
	time.Sleep((callSpan / 3).Duration())
	strike()
	wg.Wait()
	return nil
}

// bookingAfter strikes once a booking is done, then has its caller repeat it
// as if the answer had been lost.
func bookingAfter(s *scene, strike func()) error {
	b := s.book(s.entry, mainKey, "main "+s.cell)
	strike()
	s.repeat(s.other, mainKey, b)
	return nil
}

func changeStep(s *scene, strike func()) error {
	strike()
	set := mn.Resource{Customer: &mn.Customer{ID: "nieuw", Rate: 10, Burst: 10}}
	change := &mn.Change{Edits: []mn.Edit{{Name: set.Name(), Set: &set}}}
	return s.append(&mn.Record{Change: change})
}

// orderStep has the holder order engines to load a version, and strikes while
// they do.
func orderStep(s *scene, strike func()) error {
	if err := changeVersion(s); err != nil {
		return err
	}
	s.ordered = true
	time.Sleep((500 * mn.Millisecond).Duration())
	strike()
	return nil
}

// reportStep answers requests that have to be billed, and strikes while their
// usage is on its way.
func reportStep(s *scene, strike func()) error {
	for i := range 5 {
		prompt := fmt.Sprintf("bill %s %d", s.cell, i)
		text, end, err := s.generate(s.ctx, s.other, mainKey, prompt, 5, nil)
		s.noteGeneration(prompt, 5, text, end, err)
	}
	strike()
	return nil
}

// want returns what an engine generates for prompt.
func want(prompt string, tokens int64) string { return fakes.Output(prompt, tokens) }
