package node

import (
	"cmp"
	"context"
	"errors"
	"slices"

	mn "mustardnotch"
	"mustardnotch/core/fleet"
)

const (
	// changeTimeout limits one engine's change, including the drain. It is also how
	// long the engine serves before the next attempt after a timeout.
	changeTimeout = 60 * mn.Second
	// minRoleEngines is the minimum number of engines of a pool whose roles may
	// differ.
	minRoleEngines = 3
)

// updateDemand updates the demand meter of each pool of model engines, and counts the time
// for which its endpoints are paid.
func (c *controller) updateDemand(context.Context) {
	v := c.controlState.View()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range v.Resources {
		p := r.Resource.Pool
		if p == nil || p.Kind != mn.PoolModel {
			continue
		}
		if c.meters[p.ID] == nil {
			c.meters[p.ID] = newDemandMeter()
			c.roles[p.ID] = fleet.NewRolePolicy(fleet.DefaultRoleSettings())
		}
		agents := v.Agents(p.ID)
		c.meters[p.ID].update(c.clock.Now(), agents, c.loads)
		fleet.AddEndpointTime(len(agents), controlInterval)
	}
}

// rollOut makes the engines of each pool load the declared version, one engine of a pool
// at a time, and after that changes their roles according to the demand.
func (c *controller) rollOut(ctx context.Context) {
	v := c.controlState.View()
	for _, r := range v.Resources {
		p := r.Resource.Pool
		if p == nil || p.Kind != mn.PoolModel {
			continue
		}
		if m, ok := v.Model(p.Model); ok {
			c.rollOutPool(ctx, p.ID, v.Agents(p.ID), m)
		}
	}
}

// rollOutPool makes at most one change in a pool, and none while any engine changes.
func (c *controller) rollOutPool(ctx context.Context, pool mn.PoolID, agents []mn.Member, m mn.Model) {
	slices.SortFunc(agents, func(a, b mn.Member) int { return cmp.Compare(a.VM, b.VM) })
	var engines []fleet.EngineInfo
	members := map[mn.VMID]mn.Member{}
	var stale []fleet.EngineInfo
	for _, a := range agents {
		s, err := c.issuer.State(ctx, c.agents.OrderClient(a.Addr))
		if err != nil {
			continue // An unreachable agent can't take load, and gets its order later.
		}
		if s.Busy || s.State.Changing {
			return
		}
		e := fleet.EngineInfo{VM: a.VM, Role: s.State.Role, Running: s.Running}
		engines = append(engines, e)
		members[a.VM] = a
		if !(mn.EngineTarget{Role: e.Role, Model: m.ID, Version: m.Version}).Reached(s.State) {
			stale = append(stale, e)
		}
	}
	stale = slices.DeleteFunc(stale, c.isPostponed)
	if len(stale) > 0 {
		c.changeEngine(ctx, members[stale[0].VM], mn.EngineTarget{Role: stale[0].Role, Model: m.ID, Version: m.Version}, true)
		return
	}
	if want, ok := c.wantedRole(pool, engines); ok {
		c.changeEngine(ctx, members[want.VM], mn.EngineTarget{Role: want.To, Model: m.ID, Version: m.Version}, false)
	}
}

// isPostponed reports whether the last change of an engine timed out recently. Such an
// engine serves for changeTimeout before the next attempt.
func (c *controller) isPostponed(e fleet.EngineInfo) bool {
	return c.clock.Now() < c.postponedUntil[e.VM]
}

// wantedRole returns the role change that the policy chooses for a pool, if any.
func (c *controller) wantedRole(pool mn.PoolID, engines []fleet.EngineInfo) (fleet.RoleChange, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.settings.RolePolicy != "demand" || len(engines) < minRoleEngines || c.meters[pool] == nil {
		return fleet.RoleChange{}, false
	}
	loads := c.meters[pool].forecastLoads()
	want, ok := c.roles[pool].Next(engines, loads)
	if ok {
		c.roles[pool].RecordChange(want, loads)
	}
	return want, ok
}

// changeEngine changes the engine of agent m to target. With weights set, it first reserves
// the download at the weight store and waits for the time that the store returns.
func (c *controller) changeEngine(ctx context.Context, m mn.Member, target mn.EngineTarget, weights bool) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout.Duration())
	defer cancel()
	err := c.reserveWeights(ctx, target, weights)
	if err == nil {
		err = c.issuer.Change(ctx, c.agents.OrderClient(m.Addr), target)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		c.postponedUntil[m.VM] = c.clock.Now() + changeTimeout
	}
	c.logResult("engine_change", m.VM, err)
}

// logResult logs an event about a member, as a warning if err isn't nil.
func (c *controller) logResult(event string, member mn.VMID, err error) {
	entry := c.log.WithField("event", event).WithField("member", member)
	if err != nil {
		entry.Warn(err)
		return
	}
	entry.Info()
}

func (c *controller) reserveWeights(ctx context.Context, target mn.EngineTarget, weights bool) error {
	if !weights {
		return nil
	}
	wait, err := c.platform.Reserve(ctx, target.Model, target.Version)
	if err != nil {
		return err
	}
	return c.clock.Sleep(ctx, wait)
}
