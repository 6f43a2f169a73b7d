package node

import (
	"context"
	"sync"

	mn "mustardnotch"
)

// crashNoticeTimeout bounds how long an entry waits for the others to know of a crash
// before it goes on.
const crashNoticeTimeout = 500 * mn.Millisecond

// notifyCrash tells every other entry of a crash and waits until they know. The log
// tells them too, but later than the same request may reach them: its caller
// sends it again through another entry as soon as it is refused.
func (e *Entry) notifyCrash(ctx context.Context, p mn.CrashRecord) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashNoticeTimeout.Duration())
	defer cancel()
	var wg sync.WaitGroup
	for _, m := range e.controlState.View().Entries() {
		if m.VM == e.self.VM {
			continue
		}
		wg.Go(func() {
			if err := e.config.peers.NotifyCrash(ctx, m, p); err != nil {
				e.warn("alarm_failed", err)
			}
		})
	}
	wg.Wait()
}
