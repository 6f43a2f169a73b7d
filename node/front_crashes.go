package node

import (
	"context"
	"encoding/json"

	mn "mustardnotch"
)

const (
	// storeCrashesInterval is the minimum time between two writes of the crashes to the
	// store.
	storeCrashesInterval = 500 * mn.Millisecond
	// crashesKey is the key of the only record of the crash feed.
	crashesKey = "segments"
)

// storedCrashes is the record of the crash feed.
type storedCrashes struct {
	// WrittenAt is the wall-clock time of the write. The ages of the crashes of engines
	// are as of then.
	WrittenAt mn.Millis `json:"written_at_ms"`
	// Crashes holds what is known of prompt segments, Requests what is of whole requests.
	Crashes  []mn.EngineCrash `json:"crashes"`
	Requests []mn.CrashRecord `json:"requests"`
}

// storeCrashes reads what fronts that have ended knew of requests and prompt segments that
// crash endpoints. Then it writes what is new to the store while this front is the first
// reader, until ctx is done.
func (f *Front) storeCrashes(ctx context.Context) error {
	store := newDependency(f, "store", "crashes")
	restored, written, requestsWritten := false, int64(0), int64(0)
	for ; ctx.Err() == nil; _ = f.clock.Sleep(ctx, storeCrashesInterval) {
		if !restored {
			err := f.restoreCrashes(ctx)
			store.record(err)
			restored = err == nil
			continue
		}
		crashes, version := f.segments.Snapshot()
		requests, requestsVersion := f.crashTracker.Snapshot(maxCrashRecords)
		if version == written && requestsVersion == requestsWritten || len(crashes)+len(requests) == 0 || f.rank() > 0 {
			continue
		}
		value, err := json.Marshal(storedCrashes{f.clock.Wall(), crashes, requests})
		if err != nil {
			return err
		}
		_, err = f.platform.Store.Put(ctx, mn.CrashFeed, crashesKey, value, -1)
		store.record(err)
		if err == nil {
			written, requestsWritten = version, requestsVersion
		}
	}
	return nil
}

// restoreCrashes adds the crashes in the store to those that this front knows.
func (f *Front) restoreCrashes(ctx context.Context) error {
	items, _, err := f.platform.Store.Newest(ctx, mn.CrashFeed)
	if err != nil {
		return err
	}
	for _, i := range items {
		var stored storedCrashes
		if err := json.Unmarshal(i.Value, &stored); err != nil {
			f.log.WithField("event", "crashes_unreadable").WithField("key", i.Key).Warn(err)
			continue
		}
		since := max(0, f.clock.Wall()-stored.WrittenAt)
		for n := range stored.Crashes {
			stored.Crashes[n].Age += since
		}
		f.segments.Receive(stored.Crashes, nil)
		for _, r := range stored.Requests {
			f.crashTracker.Add(r)
		}
	}
	return nil
}
