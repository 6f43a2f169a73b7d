package node

import (
	"context"
	"sync"

	mn "mustardnotch"
)

// crashNoticeTimeout limits how long an entry waits for the other entries to acknowledge
// a crash notice before it continues.
const crashNoticeTimeout = 500 * mn.Millisecond

// notifyCrash sends a crash notice to every other entry and waits for the
// acknowledgements. The entries also read the crash from the control stream, but that
// may be too late: the caller may resend the request through another entry as soon as it
// is rejected here.
func (e *Entry) notifyCrash(ctx context.Context, crash mn.CrashRecord) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashNoticeTimeout.Duration())
	defer cancel()
	var wg sync.WaitGroup
	for _, m := range e.controlState.View().Entries() {
		if m.VM == e.self.VM {
			continue
		}
		wg.Go(func() {
			if err := e.config.peers.NotifyCrash(ctx, m, crash); err != nil {
				e.warn("alarm_failed", err)
			}
		})
	}
	wg.Wait()
}
