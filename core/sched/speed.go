package sched

import mn "mustardnotch"

// latencyGain is the weight of a new measurement in the moving averages.
const latencyGain = 0.1

// latencyDecay is what a refused job leaves of the times measured.
const latencyDecay = 0.997

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
func (l TokenLatency) ServiceMillis(prompt, output Tokens) float64 {
	return float64(prompt)*l.PrefillMillis + float64(output)*l.DecodeMillis
}

// latencies holds the speeds measured with each number of jobs at the endpoint: one
// that batches gets slower for each job as the batch grows.
type latencies [64]TokenLatency

func bucket(running int) int { return min(max(running, 1), len(latencies{})) - 1 }

// at returns the speed for a batch of so many jobs. What was not measured with
// such batches is taken from the next smaller ones that tell it, so that it is
// no slower than it truly is; 0 if there are none.
func (l *latencies) at(running int) TokenLatency {
	var latency TokenLatency
	for b := bucket(running); b >= 0; b-- {
		if latency.PrefillMillis == 0 {
			latency.PrefillMillis = l[b].PrefillMillis
		}
		if latency.DecodeMillis == 0 {
			latency.DecodeMillis = l[b].DecodeMillis
		}
	}
	return latency
}

func (l *latencies) measurePrefill(running int, prompt Tokens, elapsed mn.Millis) {
	if prompt >= minMeasuredPrompt {
		mean := &l[bucket(running)].PrefillMillis
		*mean = movingAverage(*mean, float64(elapsed)/float64(prompt))
	}
}

func (l *latencies) measureDecode(running int, output Tokens, elapsed mn.Millis) {
	if output > 1 {
		mean := &l[bucket(running)].DecodeMillis
		*mean = movingAverage(*mean, float64(elapsed)/float64(output-1))
	}
}

// decay makes what is known of that batch a little faster, after it had a job
// refused. Jobs that are refused measure nothing, so without doubt one slow
// measurement could refuse work forever.
func (l *latencies) decay(running int) {
	latency := &l[bucket(running)]
	latency.PrefillMillis *= latencyDecay
	latency.DecodeMillis *= latencyDecay
}

func movingAverage(old, measured float64) float64 {
	if old == 0 {
		return measured
	}
	return old + latencyGain*(measured-old)
}
