package node

import (
	"context"

	"mustardnotch/core/usage"
)

// runBiller closes and reports usage windows while the process holds the control lease
// according to checker, until ctx is done.
func (b *base) runBiller(ctx context.Context, checker usage.LeaseChecker) error {
	params := usage.DefaultBillerParams()
	params.Window = b.settings.UsageWindow
	_ = usage.NewBiller(b.self.VM, b.platform, b.platform, b.clock, checker, params).Run(ctx)
	return nil
}

// runRecorder appends recorded usage to the usage stream until ctx is done.
func (b *base) runRecorder(ctx context.Context) error {
	_ = b.recorder.Run(ctx)
	return nil
}

// flushUsage appends the remaining recorded usage of a leaving process, and retries until
// leaveTimeout has passed.
func (b *base) flushUsage(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout.Duration())
	defer cancel()
	for b.recorder.Flush(ctx) != nil {
		if b.clock.Sleep(ctx, retryPause) != nil {
			b.log.WithField("event", "usage_not_flushed").WithField("records", b.recorder.Pending()).Warn()
			return
		}
	}
}
