package fleet

import (
	"math"

	mn "mustardnotch"
)

// RoleSettings are the parameters of role changes.
type RoleSettings struct {
	// Horizon is over how long a change has to pay.
	Horizon mn.Millis
	// Downtime is for how long a change takes an engine out of service.
	Downtime mn.Millis
	// MinGain is by how much a change has to raise goodput at least, on average
	// over the horizon, in engines.
	MinGain float64
	// MinShareShift is by how much the prefill share has to move before an engine may
	// change its role again.
	MinShareShift float64
	// MixedEfficiency is the work of a mixed engine relative to a dedicated one.
	MixedEfficiency float64
}

// DefaultRoleSettings returns the settings of a production system.
func DefaultRoleSettings() RoleSettings {
	return RoleSettings{Horizon: 60 * mn.Second, Downtime: 5 * mn.Second, MinGain: 0.08, MinShareShift: 0.35, MixedEfficiency: 1}
}

// EngineInfo is what the policy knows of an engine in service.
type EngineInfo struct {
	VM      mn.VMID
	Role    mn.EngineRole
	Running int64
}

// RolePolicy decides on role changes of one pool.
type RolePolicy struct {
	settings RoleSettings
	// changed has the prefill share at each engine's last change.
	changed map[mn.VMID]float64
}

// NewRolePolicy returns a policy without a history.
func NewRolePolicy(settings RoleSettings) *RolePolicy {
	return &RolePolicy{settings: settings, changed: map[mn.VMID]float64{}}
}

// RoleChange is a change that the policy wants.
type RoleChange struct {
	VM mn.VMID
	To mn.EngineRole
}

// Next returns the change that gains most under the forecast mix, if one pays:
// what it gains over the horizon exceeds what the engine's absence loses, by
// the settings' margin, and it leaves the worst-served customer no worse off.
// Call Changed once the change was ordered.
func (r *RolePolicy) Next(engines []EngineInfo, mix CustomerLoads) (RoleChange, bool) {
	now := split(engines)
	base := now.Evaluate(mix, r.settings.MixedEfficiency)
	best := r.settings.MinGain * float64(r.settings.Horizon)
	var found RoleChange
	for _, from := range roles {
		vm, ok := r.candidate(engines, from, mix)
		if !ok {
			continue
		}
		for _, to := range roles {
			gain, ok := r.gain(now, base, from, to, mix)
			if ok && gain > best {
				best = gain
				found = RoleChange{VM: vm, To: to}
			}
		}
	}
	return found, found.VM != ""
}

var roles = []mn.EngineRole{mn.EnginePrefill, mn.EngineDecode, mn.EngineMixed}

func split(engines []EngineInfo) RoleCounts {
	var s RoleCounts
	for _, e := range engines {
		s = s.with(e.Role, 1)
	}
	return s
}

// gain returns the engine-milliseconds of goodput that a change wins over the
// horizon, and whether it is allowed.
func (r *RolePolicy) gain(now RoleCounts, base ServiceLevel, from, to mn.EngineRole, mix CustomerLoads) (float64, bool) {
	if from == to {
		return 0, false
	}
	during := now.with(from, -1).Evaluate(mix, r.settings.MixedEfficiency)
	after := now.with(from, -1).with(to, 1).Evaluate(mix, r.settings.MixedEfficiency)
	const tolerance = 1e-9
	if after.WorstShare < base.WorstShare-tolerance {
		return 0, false
	}
	if base.WorstShare > 0 && during.WorstShare == 0 {
		return 0, false
	}
	away := float64(r.settings.Downtime)
	won := (after.Goodput - base.Goodput) * (float64(r.settings.Horizon) - away)
	return won - (base.Goodput-during.Goodput)*away, true
}

// candidate returns the least busy engine of a role that may change.
func (r *RolePolicy) candidate(engines []EngineInfo, role mn.EngineRole, mix CustomerLoads) (mn.VMID, bool) {
	var best *EngineInfo
	for i, e := range engines {
		if e.Role != role || !r.mayChange(e.VM, mix) {
			continue
		}
		if best == nil || e.Running < best.Running {
			best = &engines[i]
		}
	}
	if best == nil {
		return "", false
	}
	return best.VM, true
}

func (r *RolePolicy) mayChange(vm mn.VMID, mix CustomerLoads) bool {
	share, ok := r.changed[vm]
	return !ok || math.Abs(mix.PrefillShare()-share) >= r.settings.MinShareShift
}

// RecordChange notes that c was ordered under mix.
func (r *RolePolicy) RecordChange(c RoleChange, mix CustomerLoads) {
	r.changed[c.VM] = mix.PrefillShare()
	counters.Add("role_changes", 1)
}
