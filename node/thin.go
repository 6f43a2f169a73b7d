package node

import (
	"context"

	mn "mustardnotch"
)

// unlimited admits every request.
type unlimited struct{}

// Admit implements [mn.Limiter].
func (unlimited) Admit(context.Context, mn.Customer, mn.Millis) error { return nil }

// unrecorded drops usage.
type unrecorded struct{}

// Record implements [mn.Recorder].
func (unrecorded) Record(mn.Served) {}
