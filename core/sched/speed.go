package sched

import mn "mustardnotch"

// speedGain is the weight of a new measurement in the moving averages.
const speedGain = 0.1

// minMeasuredPrompt is the shortest prefill that tells the prefill speed; a
// shorter one is mostly the wait for the batch's next step.
const minMeasuredPrompt Tokens = 64

// Speed is how fast an endpoint works, as measured. Zero means not measured.
type Speed struct {
	// PrefillMillis is the time for one prompt token.
	PrefillMillis float64
	// DecodeMillis is the time between two tokens of one request's output.
	DecodeMillis float64
}

// Service estimates how long the endpoint takes over a job of that size.
func (s Speed) Service(prompt, output Tokens) float64 {
	return float64(prompt)*s.PrefillMillis + float64(output)*s.DecodeMillis
}

func (s *Speed) measurePrefill(prompt Tokens, took mn.Millis) {
	if prompt >= minMeasuredPrompt {
		s.PrefillMillis = average(s.PrefillMillis, float64(took)/float64(prompt))
	}
}

func (s *Speed) measureDecode(output Tokens, took mn.Millis) {
	if output > 1 {
		s.DecodeMillis = average(s.DecodeMillis, float64(took)/float64(output-1))
	}
}

func average(old, measured float64) float64 {
	if old == 0 {
		return measured
	}
	return old + speedGain*(measured-old)
}
