package sched

import mn "mustardnotch"

// latencyGain is the weight of a new measurement in the moving averages.
const latencyGain = 0.1

// latencyDecay is the factor by which a rejected job lowers the measured
// latencies.
const latencyDecay = 0.997

// minMeasuredPrompt is the minimum prompt length for which the prefill is
// measured. A shorter prefill mostly consists of the wait for the next step of
// the batch.
const minMeasuredPrompt Tokens = 64

// TokenLatency is the measured latency of an endpoint per token. Zero means not
// measured.
type TokenLatency struct {
	// PrefillMillis is the time to prefill one prompt token.
	PrefillMillis float64
	// DecodeMillis is the time between two tokens of one request's output.
	DecodeMillis float64
}

// ServiceMillis estimates how long the endpoint takes for a job of that size.
func (l TokenLatency) ServiceMillis(prompt, output Tokens) float64 {
	return float64(prompt)*l.PrefillMillis + float64(output)*l.DecodeMillis
}

// latencies holds the latencies measured at each batch size, that is, number of
// jobs at the endpoint. An endpoint that batches gets slower for each job as the
// batch grows.
type latencies [64]TokenLatency

// bucket returns the index of a batch size. The last bucket is for all larger
// batches.
func bucket(running int) int { return min(max(running, 1), len(latencies{})) - 1 }

// at returns the latency at that batch size. A value that was not measured at it
// is that of the largest smaller batch with a measurement, which is a lower bound,
// or 0 if there is none.
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

// decay lowers the latencies measured at that batch size a little after a job was
// rejected because of them. Rejected jobs give no measurements, so without decay
// one slow measurement could cause rejections forever.
func (l *latencies) decay(running int) {
	latency := &l[bucket(running)]
	latency.PrefillMillis *= latencyDecay
	latency.DecodeMillis *= latencyDecay
}

// movingAverage returns the exponentially weighted moving average old updated with
// a measurement. An average of 0 means no measurement so far.
func movingAverage(old, measured float64) float64 {
	if old == 0 {
		return measured
	}
	return old + latencyGain*(measured-old)
}
