package node

import (
	"context"
	"net/http"
	"sync"

	"github.com/sirupsen/logrus"

	mn "mustardnotch"
	"mustardnotch/core/rendez"
	"mustardnotch/io/back"
)

const (
	// peerWait is how long a front that has started waits for a peer that knows which
	// prompts engines have cached: two exchanges.
	peerWait = 400 * mn.Millisecond
	// minPeerUptime is how long a peer must have been running to know which prompts
	// engines have cached. Prompts are sent to the same engines again within seconds,
	// so it has seen them by then.
	minPeerUptime = 5 * mn.Second
	// peerPollInterval is the time between two checks for such a peer.
	peerPollInterval = 40 * mn.Millisecond
	// engineListTimeout bounds the request to an engine. The engine's list is useful
	// only in the first second after the front's start.
	engineListTimeout = 600 * mn.Millisecond
	// maxEngineList bounds the size of an engine's list in bytes.
	maxEngineList = 4 << 20
)

// learnCached finds out after the start which prompts engines have cached. It asks
// the peer front that has been running for the longest time. If there is none, the
// fronts that started together divide the engines among them and ask those.
func (f *Front) learnCached(ctx context.Context) error {
	for until := f.clock.Now() + peerWait; f.clock.Now() < until; {
		now := f.clock.Now()
		if p, startedAt, ok := f.peers.oldest(now, aliveWindow); ok && now-startedAt >= minPeerUptime {
			if f.learnCachedFromPeer(ctx, p) {
				return nil
			}
		}
		if f.clock.Sleep(ctx, peerPollInterval) != nil {
			return nil
		}
	}
	list, at := f.view.listed()
	table, _ := f.view.Table()
	if at == 0 || table == nil {
		f.log.WithField("event", "kept").Info("no endpoint list or catalog yet; cached prompts unknown")
		return nil
	}
	alive := f.alive()
	var wait sync.WaitGroup
	for _, e := range list {
		if e.State != mn.EndpointReady || table.Catalog.Pools[e.Pool].Engine == nil || rendez.Top(string(e.ID), alive, 1)[0] != f.self.VM {
			continue
		}
		if f.balancer.CheckSend(e.ID) != nil || e.ColdLeft > 0 {
			continue // It must get no requests, or bears only few.
		}
		wait.Go(func() { f.learnCachedFromEngine(ctx, e) })
	}
	wait.Wait()
	return nil
}

// learnCachedFromPeer fetches the cached prompts that a peer knows, and reports
// whether that succeeded.
func (f *Front) learnCachedFromPeer(ctx context.Context, p mn.Front) bool {
	call, cancel := context.WithTimeout(ctx, exchangeTimeout.Duration())
	defer cancel()
	prompts, err := f.gossip.CachedPrompts(call, p.Addr)
	log := f.log.WithFields(logrus.Fields{"event": "kept", "front": p.VM, "engines": len(prompts)})
	if err != nil {
		log.Warn(err)
		return false
	}
	f.balancer.AddCachedPrompts(prompts)
	log.Info()
	return true
}

// learnCachedFromEngine asks an engine which prompt segments it has cached.
func (f *Front) learnCachedFromEngine(ctx context.Context, e mn.Endpoint) {
	call, cancel := context.WithTimeout(ctx, engineListTimeout.Duration())
	defer cancel()
	segments, err := f.fetchCachedSegments(call, e)
	log := f.log.WithFields(logrus.Fields{"event": "kept", "endpoint": e.ID, "parts": len(segments)})
	if err != nil {
		log.Warn(err)
		return
	}
	f.balancer.AddListedSegments(e.ID, segments)
	log.Info()
}

// fetchCachedSegments returns the prompt segments that an engine has cached.
func (f *Front) fetchCachedSegments(ctx context.Context, e mn.Endpoint) ([]mn.PromptSegment, error) {
	d := f.platform.Dialect
	header := d.OutgoingHeader(http.Header{}, mn.Dispatch{Endpoint: e.ID, Rank: -1})
	a, err := f.back.Do(ctx, d, &back.Call{To: e, Method: http.MethodGet, Target: d.CachedPath(), Host: e.Addr, Header: header, MaxIdleConns: f.maxIdleConns(e.Pool)})
	if err != nil {
		return nil, err
	}
	defer a.Close()
	body, err := a.ReadResult(maxEngineList)
	if err != nil {
		return nil, err
	}
	// A decoded list takes several times its size, so one is decoded at a time.
	f.decoding.Lock()
	defer f.decoding.Unlock()
	return d.ParseCached(body)
}

// CachedPrompts implements [gossip.Host].
func (f *Front) CachedPrompts() []mn.PrefilledPrompt { return f.balancer.CachedPrompts() }
