package fresh

import (
	"context"

	mn "mustardnotch"
)

// awaitTimeout bounds the wait for an offset that a peer has already applied.
const awaitTimeout = 1 * mn.Second

// AwaitOffset waits until views has reached off, the offset on which a request
// from another process is based. It fails with [mn.NotCurrent].
func AwaitOffset(ctx context.Context, views mn.ViewSource, off mn.Offset) error {
	ctx, cancel := context.WithTimeout(ctx, awaitTimeout.Duration())
	defer cancel()
	for {
		changed := views.Changed()
		applied := views.View().Offset
		if applied >= off {
			return nil
		}
		select {
		case <-ctx.Done():
			return notCurrentError("the request is based on offset %d, the process has offset %d", off, applied)
		case <-changed:
		}
	}
}
