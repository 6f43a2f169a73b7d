package node

import (
	"context"

	mn "mustardnotch"
)

// alwaysCurrent takes every view for current.
type alwaysCurrent struct{}

// Current implements [mn.Currency].
func (alwaysCurrent) Current() error { return nil }

// unlimited admits every request.
type unlimited struct{}

// Admit implements [mn.Limiter].
func (unlimited) Admit(context.Context, mn.Customer, mn.Millis) error { return nil }

// unrecorded drops usage.
type unrecorded struct{}

// Record implements [mn.Recorder].
func (unrecorded) Record(mn.Served) {}
