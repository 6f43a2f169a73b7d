package wire

import (
	"errors"
	"net/http"

	mn "mustardnotch"
)

// EndpointError wraps err of a call to an endpoint. Its outcome is "not run"
// where no connection was made, or where the endpoint answered with status 503
// or 409, which it gives only before it starts; and unknown otherwise.
func EndpointError(err error) error {
	if err == nil {
		return nil
	}
	e := mn.Errorf(mn.EndpointFailed, "%w", err)
	var status *StatusError
	if errors.As(err, &status) {
		refused := status.Status == http.StatusServiceUnavailable || status.Status == http.StatusConflict
		if refused {
			return e.WithOutcome(mn.OutcomeNotRun)
		}
		return e
	}
	if NeverSent(err) {
		return e.WithOutcome(mn.OutcomeNotRun)
	}
	return e
}
