package retry

import mn "mustardnotch"

// Backoff grows the pause before each retry of one request.
type Backoff struct {
	// Initial and Longest bound the pause.
	Initial mn.Millis
	Max     mn.Millis
	next    mn.Millis
}

// Next returns the pause before the next retry: at least as long as the error
// asks for, as far as Longest allows, and growing from retry to retry.
func (b *Backoff) Next(err *mn.Error) mn.Millis {
	if b.next == 0 {
		b.next = b.Initial
	}
	pause := min(max(b.next, err.RetryAfter), b.Max)
	b.next = min(b.next*2, b.Max)
	return pause
}

// Retryable says whether the same request may succeed elsewhere or later, given
// that it has not run: nothing that the caller has to change is wrong with it.
func Retryable(err *mn.Error) bool {
	if err.Code == mn.RateExceeded || err.Code == mn.DeadlineTooShort {
		return false
	}
	if err.Code == mn.Cancelled && err.Outcome == mn.OutcomeNotRun {
		return true // an earlier try of a request left the queue with its connection
	}
	return err.Code.Doc().Severity == mn.SeverityRetry || err.Code == mn.OutcomeNotKnown
}
