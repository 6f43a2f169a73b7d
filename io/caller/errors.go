package caller

import (
	"context"
	"errors"

	"connectrpc.com/connect"

	mn "mustardnotch"
	"mustardnotch/gen/apipb"
	"mustardnotch/io/wire"
)

var connectCodes = map[mn.Code]connect.Code{
	mn.BadRequest:          connect.CodeInvalidArgument,
	mn.TooLarge:            connect.CodeInvalidArgument,
	mn.UnknownModel:        connect.CodeNotFound,
	mn.UnknownPool:         connect.CodeNotFound,
	mn.UnknownRequest:      connect.CodeNotFound,
	mn.BadIdempotencyKey:   connect.CodeInvalidArgument,
	mn.KeyTooOld:           connect.CodeFailedPrecondition,
	mn.Duplicate:           connect.CodeAlreadyExists,
	mn.Unauthenticated:     connect.CodeUnauthenticated,
	mn.KeyWithdrawn:        connect.CodeUnauthenticated,
	mn.RateExceeded:        connect.CodeResourceExhausted,
	mn.Overloaded:          connect.CodeResourceExhausted,
	mn.Quarantined:         connect.CodeFailedPrecondition,
	mn.NotCurrent:          connect.CodeUnavailable,
	mn.NoEndpoint:          connect.CodeUnavailable,
	mn.Draining:            connect.CodeUnavailable,
	mn.EndpointFailed:      connect.CodeUnavailable,
	mn.PlatformUnavailable: connect.CodeUnavailable,
	mn.DeadlineTooShort:    connect.CodeDeadlineExceeded,
	mn.DeadlineExceeded:    connect.CodeDeadlineExceeded,
	mn.Cancelled:           connect.CodeCanceled,
	mn.Conflict:            connect.CodeAborted,
	mn.BadResource:         connect.CodeInvalidArgument,
	mn.Truncated:           connect.CodeDataLoss,
	mn.OutcomeNotKnown:     connect.CodeUnknown,
}

// ToConnect returns err as a Connect error with an ErrorDetail.
func ToConnect(err error) error {
	if err == nil {
		return nil
	}
	e := mn.AsError(err)
	code, ok := connectCodes[e.Code]
	if !ok {
		code = connect.CodeInternal
	}
	out := connect.NewError(code, errors.New(e.Error()))
	detail, derr := connect.NewErrorDetail(&apipb.ErrorDetail{
		Code:         int32(e.Code),
		Outcome:      e.Outcome.String(),
		RetryAfterMs: int64(e.RetryAfter),
	})
	if derr == nil {
		out.AddDetail(detail)
	}
	return out
}

// FromConnect returns the Error that a Connect error carries. An error without an
// ErrorDetail comes from the transport; its outcome is unknown unless no connection
// was made.
func FromConnect(err error) error {
	var ce *connect.Error
	if err == nil || !errors.As(err, &ce) {
		return fromTransport(err)
	}
	for _, d := range ce.Details() {
		msg, derr := d.Value()
		if derr != nil {
			continue
		}
		if ed, ok := msg.(*apipb.ErrorDetail); ok {
			return &mn.Error{
				Code:       mn.Code(ed.Code),
				Outcome:    parseOutcome(ed.Outcome),
				RetryAfter: mn.Millis(ed.RetryAfterMs),
				Detail:     ce.Message(),
			}
		}
	}
	return fromTransport(err)
}

func fromTransport(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, context.DeadlineExceeded):
		return mn.Errorf(mn.DeadlineExceeded, "%w", err)
	case errors.Is(err, context.Canceled):
		return mn.Errorf(mn.Cancelled, "%w", err)
	case wire.NeverSent(err):
		return mn.Errorf(mn.NoEndpoint, "connect to entry: %w", err).WithRetryAfter(mn.Second)
	}
	return mn.Errorf(mn.OutcomeNotKnown, "%w", err)
}

func parseOutcome(s string) mn.Outcome {
	for _, o := range []mn.Outcome{mn.OutcomeNotRun, mn.OutcomeRan} {
		if s == o.String() {
			return o
		}
	}
	return mn.OutcomeUnknown
}
