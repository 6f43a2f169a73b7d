package retry

import mn "mustardnotch"

// Backoff is the exponential backoff between the retries of one request.
type Backoff struct {
	// Initial is the pause before the first retry, Max the longest one.
	Initial mn.Millis
	Max     mn.Millis
	next    mn.Millis
}

// Next returns the pause before the next retry, which doubles from retry to retry. It
// is at least as long as the error asks for, up to Max.
func (b *Backoff) Next(err *mn.Error) mn.Millis {
	if b.next == 0 {
		b.next = b.Initial
	}
	pause := min(max(b.next, err.RetryAfter), b.Max)
	b.next = min(b.next*2, b.Max)
	return pause
}

// Retryable reports whether the same request, given that it has not run, may succeed
// elsewhere or later without a change by the caller.
func Retryable(err *mn.Error) bool {
	if err.Code == mn.RateExceeded || err.Code == mn.DeadlineTooShort {
		return false
	}
	if err.Code == mn.Cancelled && err.Outcome == mn.OutcomeNotRun {
		return true // An earlier attempt left the queue when its connection closed.
	}
	return err.Code.Doc().Severity == mn.SeverityRetry || err.Code == mn.OutcomeNotKnown
}
