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
	// keptWait is how long a front that has started waits for the word of one that
	// knows what engines keep: two exchanges.
	keptWait = 400 * mn.Millisecond
	// keptKnown is how long a front must have been running to know it: prompts
	// come back to the same engines within seconds.
	keptKnown = 5 * mn.Second
	// keptLook is the time between looks whether there is such a front.
	keptLook = 40 * mn.Millisecond
	// keptCall bounds a call to an engine; its list is of use in the first second.
	keptCall = 600 * mn.Millisecond
	// keptMost bounds the bytes of an engine's list.
	keptMost = 4 << 20
)

// learnKept finds out, after the start, what engines keep: from the front that has
// been running for the longest, or else from the engines, which the fronts that
// started together divide among them.
func (f *Front) learnKept(ctx context.Context) error {
	for until := f.clock.Now() + keptWait; f.clock.Now() < until; {
		now := f.clock.Now()
		if p, born, ok := f.peers.eldest(now, aliveSpan); ok && now-born >= keptKnown {
			if f.learnKeptFrom(ctx, p) {
				return nil
			}
		}
		if f.clock.Sleep(ctx, keptLook) != nil {
			return nil
		}
	}
	list, at := f.view.listed()
	table, _ := f.view.Table()
	if at == 0 || table == nil {
		f.log.WithField("event", "kept").Info("no engines are known to ask")
		return nil
	}
	alive := f.alive()
	var wait sync.WaitGroup
	for _, e := range list {
		if e.State != mn.EndpointReady || table.Catalog.Pools[e.Pool].Engine == nil || rendez.Top(string(e.ID), alive, 1)[0] != f.self.VM {
			continue
		}
		wait.Go(func() { f.listKept(ctx, e) })
	}
	wait.Wait()
	return nil
}

func (f *Front) learnKeptFrom(ctx context.Context, p mn.Front) bool {
	call, cancel := context.WithTimeout(ctx, talkTimeout.Duration())
	defer cancel()
	reads, err := f.mates.CachedPrompts(call, p.Addr)
	log := f.log.WithFields(logrus.Fields{"event": "kept", "front": p.VM, "engines": len(reads)})
	if err != nil {
		log.Warn(err)
		return false
	}
	f.board.AddCachedPrompts(reads)
	log.Info()
	return true
}

// listKept asks an engine what it keeps.
func (f *Front) listKept(ctx context.Context, e mn.Endpoint) {
	call, cancel := context.WithTimeout(ctx, keptCall.Duration())
	defer cancel()
	parts, err := f.keptAt(call, e)
	log := f.log.WithFields(logrus.Fields{"event": "kept", "endpoint": e.ID, "parts": len(parts)})
	if err != nil {
		log.Warn(err)
		return
	}
	f.board.AddListedSegments(e.ID, parts)
	log.Info()
}

func (f *Front) keptAt(ctx context.Context, e mn.Endpoint) ([]mn.PromptSegment, error) {
	d := f.platform.Dialect
	header := d.OutgoingHeader(http.Header{}, mn.Dispatch{Endpoint: e.ID, Urgency: -1})
	a, err := f.back.Do(ctx, d, &back.Call{Addr: e.Addr, Method: http.MethodGet, Target: d.CachedPath(), Host: e.Addr, Header: header, MaxIdleConns: f.maxIdle(e.Pool)})
	if err != nil {
		return nil, err
	}
	defer a.Close()
	body, err := a.ReadResult(keptMost)
	if err != nil {
		return nil, err
	}
	return d.ParseCached(body)
}

// CachedPrompts implements [gossip.Host].
func (f *Front) CachedPrompts() []mn.PrefilledPrompt { return f.board.CachedPrompts() }
