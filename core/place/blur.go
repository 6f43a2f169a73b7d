package place

import (
	"math/rand/v2"

	mn "mustardnotch"
)

const (
	// minBlurAge is the age of what fronts know of each other from which on choices are spread.
	// Where all fronts hear of long prompts sooner, each of them still meets the load that it saw.
	minBlurAge = 500 * mn.Millisecond
	// blurShare is the largest addition to the cost of a plan, as a share of that age. In it an
	// engine under full load gets work for the whole age, of which some engines get more and some
	// less than the front expects.
	blurShare = 0.2
)

// SetUpdateAge sets how old what this front knows of the requests of its peers is in the mean.
func (b *Balancer) SetUpdateAge(age mn.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.updateAge = age
}

// blur returns what to add to the cost of a plan, in milliseconds.
//
// Load pattern: many fronts place requests in the time in which they hear of each other once. The
// engine that has least work by what all of them know gets the requests of all of them, and is
// overrun until they hear of it, while others idle. Costs that differ by less than what may have
// changed unseen are no reason for a choice, so each front chooses among these at random.
func (b *Balancer) blur() float64 {
	if b.updateAge < minBlurAge || b.disabled(Blur) {
		return 0
	}
	return blurShare * float64(b.updateAge) * rand.Float64()
}
