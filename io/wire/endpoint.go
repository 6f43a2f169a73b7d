package wire

import (
	"errors"
	"net/http"

	mn "mustardnotch"
)

// WrapEndpointError wraps the error of a call to an endpoint, nil for nil. Its outcome
// is "not run" if no connection was made, or if a model engine answered with status 503
// or 409, which it does only before it starts the call. Otherwise its outcome is unknown.
func WrapEndpointError(err error) error {
	if err == nil {
		return nil
	}
	e := mn.Errorf(mn.EndpointFailed, "%w", err)
	var status *StatusError
	if errors.As(err, &status) {
		notRun := status.Status == http.StatusServiceUnavailable || status.Status == http.StatusConflict
		if notRun {
			return e.WithOutcome(mn.OutcomeNotRun)
		}
		return e
	}
	if NeverSent(err) {
		return e.WithOutcome(mn.OutcomeNotRun)
	}
	return e
}
