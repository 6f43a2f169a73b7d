package matrix

import (
	"context"
	"fmt"
	"time"

	mn "mustardnotch"
	"mustardnotch/fakes"
	"mustardnotch/procs"
)

// pauseDuration is the time for which a process is paused or partitioned. It is
// longer than every lease and timeout of the system's processes.
const pauseDuration = 7 * mn.Second

// faultDuration is the time for which every other fault lasts.
const faultDuration = 2500 * mn.Millisecond

// Fault is a fault that can be injected into a scenario and healed again.
type Fault struct {
	Name string
	// Planned marks a planned change, which must not abort any request.
	Planned  bool
	inject   func(s *scenario) error
	heal     func(s *scenario) error // nil if there is nothing to heal
	duration mn.Millis
}

// Faults returns every fault, in a fixed order.
func Faults() []Fault {
	faults := []Fault{
		platformFault("log_down", fakes.LogDown, 1),
		platformFault("log_slow", fakes.LogSlow, 1500),
		platformFault("append_lost", fakes.AppendLost, 3),
		platformFault("append_dropped", fakes.AppendDropped, 3),
		platformFault("usage_lost", fakes.UsageLost, 2),
		platformFault("platform_down", fakes.PlatformDown, 1),
		{Name: "endpoint_killed", duration: faultDuration, inject: killEndpoint, heal: startEndpoint},
		// The fault needs no heal: it affects only connections that are open at the
		// time, and new connections work.
		{Name: "silent_agent", duration: faultDuration, inject: func(s *scenario) error {
			s.agent.PeerLink.Blackhole()
			return nil
		}},
		{Name: "holder_paused", duration: pauseDuration, inject: pauseHolder, heal: resumeHolder},
		{Name: "racing_operators", duration: faultDuration, inject: raceOperators},
		{Name: "key_withdrawn", duration: faultDuration, inject: withdrawKey},
		{Name: "poison", duration: faultDuration, inject: sendPoison, heal: startEngines},
		{Name: "entry_leaves", Planned: true, duration: faultDuration, inject: func(s *scenario) error { return s.entry.Proc.Terminate() }, heal: restart(entryOf)},
		{Name: "agent_leaves", Planned: true, duration: faultDuration, inject: func(s *scenario) error { return s.agent.Proc.Terminate() }, heal: restart(agentOf)},
		{Name: "version_change", Planned: true, duration: faultDuration, inject: changeVersion},
	}
	for _, t := range []processSelector{{"entry", entryOf}, {"agent", agentOf}} {
		faults = append(faults, processFaults(t)...)
	}
	return faults
}

// processSelector selects the process that a fault affects.
type processSelector struct {
	name string
	node func(s *scenario) *procs.Node
}

func entryOf(s *scenario) *procs.Node { return s.entry }
func agentOf(s *scenario) *procs.Node { return s.agent }

func processFaults(target processSelector) []Fault {
	return []Fault{
		{
			Name: target.name + "_killed", duration: faultDuration,
			inject: func(s *scenario) error { target.node(s).Proc.Kill(); return nil },
			heal:   restart(target.node),
		},
		{
			Name: target.name + "_paused", duration: pauseDuration,
			inject: func(s *scenario) error { return target.node(s).Proc.Pause() },
			heal:   func(s *scenario) error { return target.node(s).Proc.Resume() },
		},
		{
			Name: target.name + "_cut", duration: pauseDuration,
			inject: func(s *scenario) error { s.cluster.Isolate(target.node(s)); return nil },
			heal:   func(s *scenario) error { s.cluster.Rejoin(target.node(s)); return nil },
		},
	}
}

func platformFault(name, fault string, value int64) Fault {
	return Fault{
		Name: name, duration: faultDuration,
		inject: func(s *scenario) error { return s.cluster.SetFault(s.cluster.PlatformURL(), fault, value) },
		heal:   func(s *scenario) error { return s.cluster.SetFault(s.cluster.PlatformURL(), fault, 0) },
	}
}

// restart returns a function that waits for a stopped process to exit and then
// starts it again.
func restart(node func(s *scenario) *procs.Node) func(s *scenario) error {
	return func(s *scenario) error {
		process := node(s)
		code, err := process.Proc.Wait(maxLeaveTime)
		if err != nil {
			return err
		}
		if code > 0 {
			s.recordViolation("planned stop", "%s exited with code %d", process.VM.ID, code)
		}
		return s.cluster.StartAsync(process)
	}
}

func killEndpoint(s *scenario) error {
	s.agent.Endpoint.Kill()
	return nil
}

func startEndpoint(s *scenario) error {
	if s.agent.Endpoint.Running() {
		return nil
	}
	return s.cluster.StartEndpoint(s.agent)
}

// startEngines starts every endpoint that has exited, as the platform would.
func startEngines(s *scenario) error {
	for _, n := range s.cluster.Nodes {
		if n.Endpoint == nil || n.Endpoint.Running() {
			continue
		}
		if err := s.cluster.StartEndpoint(n); err != nil {
			return err
		}
	}
	return nil
}

func pauseHolder(s *scenario) error {
	holder, err := s.holder()
	if err != nil || holder == nil {
		return err
	}
	s.paused = holder
	return holder.Proc.Pause()
}

func resumeHolder(s *scenario) error {
	if s.paused == nil {
		return nil
	}
	return s.paused.Proc.Resume()
}

// raceOperators makes two operators set the same resource with the same base
// version.
func raceOperators(s *scenario) error {
	name := mn.ResourceName{Kind: mn.KindCustomer, Name: "birligi"}
	base := s.resourceVersion(name)
	for i := range 2 {
		set := mn.Resource{Customer: &mn.Customer{ID: "birligi", Rate: 900 + float64(i), Burst: 1000}}
		change := &mn.Change{Edits: []mn.Edit{{Name: name, Base: base, Set: &set}}}
		if err := s.appendRecord(&mn.Record{Change: change}); err != nil {
			return err
		}
	}
	return nil
}

// withdrawKey withdraws the second customer's key, which must stop working within
// maxWithdrawDelay.
func withdrawKey(s *scenario) error {
	name := mn.ResourceName{Kind: mn.KindKey, Name: "birligi-1"}
	set := mn.Resource{Key: &mn.Key{Name: "birligi-1", Hash: mn.HashKey(otherKey), Customer: "birligi", Withdrawn: true}}
	change := &mn.Change{Edits: []mn.Edit{{Name: name, Base: s.resourceVersion(name), Set: &set}}}
	if err := s.appendRecord(&mn.Record{Change: change}); err != nil {
		return err
	}
	s.withdrawnAt.Store(int64(s.clock.Now()))
	return nil
}

// changeVersion declares another version of the model, which every engine then has
// to load.
func changeVersion(s *scenario) error {
	name := mn.ResourceName{Kind: mn.KindModel, Name: modelName}
	set := mn.Resource{Model: &mn.Model{ID: modelName, Version: "2", MaxTokens: 4096}}
	change := &mn.Change{Edits: []mn.Edit{{Name: name, Base: s.resourceVersion(name), Set: &set}}}
	return s.appendRecord(&mn.Record{Change: change})
}

// sendPoison sends a request that crashes every engine that runs it. It repeats the
// request, as a caller would, until the request is quarantined.
func sendPoison(s *scenario) error {
	ctx, cancel := context.WithTimeout(s.ctx, faultDuration.Duration())
	s.wg.Go(func() {
		defer cancel()
		for ctx.Err() == nil {
			prompt := fmt.Sprintf("poison %s %s", s.cell, fakes.PoisonPrompt)
			_, _, err := s.generate(ctx, s.entry, mainKey, prompt, 4, nil)
			if mn.CodeOf(err) == mn.Quarantined {
				return
			}
			time.Sleep((100 * mn.Millisecond).Duration())
		}
	})
	return nil
}
