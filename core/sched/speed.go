package sched

import mn "mustardnotch"

// speedGain is the weight of a new measurement in the moving averages.
const speedGain = 0.1

// doubtFactor is what a refused job leaves of the times measured.
const doubtFactor = 0.997

// minMeasuredPrompt is the shortest prefill that tells the prefill speed; a
// shorter one is mostly the wait for the batch's next step.
const minMeasuredPrompt Tokens = 64

// TokenLatency is how fast an endpoint works, as measured. Zero means not measured.
type TokenLatency struct {
	// PrefillMillis is the time for one prompt token.
	PrefillMillis float64
	// DecodeMillis is the time between two tokens of one request's output.
	DecodeMillis float64
}

// ServiceMillis estimates how long the endpoint takes over a job of that size.
func (s TokenLatency) ServiceMillis(prompt, output Tokens) float64 {
	return float64(prompt)*s.PrefillMillis + float64(output)*s.DecodeMillis
}

// speeds holds the speeds measured with each number of jobs at the endpoint: one
// that batches gets slower for each job as the batch grows.
type speeds [64]TokenLatency

func bucket(running int) int { return min(max(running, 1), len(speeds{})) - 1 }

// at returns the speed for a batch of so many jobs. What was not measured with
// such batches is taken from the next smaller ones that tell it, so that it is
// no slower than it truly is; 0 if there are none.
func (s *speeds) at(running int) TokenLatency {
	var v TokenLatency
	for b := bucket(running); b >= 0; b-- {
		if v.PrefillMillis == 0 {
			v.PrefillMillis = s[b].PrefillMillis
		}
		if v.DecodeMillis == 0 {
			v.DecodeMillis = s[b].DecodeMillis
		}
	}
	return v
}

func (s *speeds) measurePrefill(running int, prompt Tokens, took mn.Millis) {
	if prompt >= minMeasuredPrompt {
		v := &s[bucket(running)].PrefillMillis
		*v = average(*v, float64(took)/float64(prompt))
	}
}

func (s *speeds) measureDecode(running int, output Tokens, took mn.Millis) {
	if output > 1 {
		v := &s[bucket(running)].DecodeMillis
		*v = average(*v, float64(took)/float64(output-1))
	}
}

// doubt makes what is known of that batch a little faster, after it had a job
// refused. Jobs that are refused measure nothing, so without doubt one slow
// measurement could refuse work forever.
func (s *speeds) doubt(running int) {
	v := &s[bucket(running)]
	v.PrefillMillis *= doubtFactor
	v.DecodeMillis *= doubtFactor
}

func average(old, measured float64) float64 {
	if old == 0 {
		return measured
	}
	return old + speedGain*(measured-old)
}
