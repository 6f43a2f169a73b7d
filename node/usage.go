package node

import (
	"context"

	"mustardnotch/core/usage"
)

// runBiller closes and reports usage windows while authority says that the process
// holds the control lease, until ctx is done.
func (b *base) runBiller(ctx context.Context, authority usage.LeaseChecker) error {
	params := usage.DefaultBillerParams()
	params.Window = b.settings.UsageWindow
	_ = usage.NewBiller(b.self.VM, b.platform, b.platform, b.clock, authority, params).Run(ctx)
	return nil
}

// runRecorder appends recorded usage to the log until ctx is done.
func (b *base) runRecorder(ctx context.Context) error {
	_ = b.recorder.Run(ctx)
	return nil
}

// flushUsage appends what a leaving process has recorded.
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
