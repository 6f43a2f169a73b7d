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
	// shareAtChange has the prefill share at each engine's last change.
	shareAtChange map[mn.VMID]float64
}

// NewRolePolicy returns a policy without a history.
func NewRolePolicy(settings RoleSettings) *RolePolicy {
	return &RolePolicy{settings: settings, shareAtChange: map[mn.VMID]float64{}}
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
func (r *RolePolicy) Next(engines []EngineInfo, loads CustomerLoads) (RoleChange, bool) {
	now := countRoles(engines)
	base := now.Evaluate(loads, r.settings.MixedEfficiency)
	best := r.settings.MinGain * float64(r.settings.Horizon)
	var found RoleChange
	for _, from := range engineRoles {
		vm, ok := r.candidate(engines, from, loads)
		if !ok {
			continue
		}
		for _, to := range engineRoles {
			gain, ok := r.gain(now, base, from, to, loads)
			if ok && gain > best {
				best = gain
				found = RoleChange{VM: vm, To: to}
			}
		}
	}
	return found, found.VM != ""
}

var engineRoles = []mn.EngineRole{mn.EnginePrefill, mn.EngineDecode, mn.EngineMixed}

func countRoles(engines []EngineInfo) RoleCounts {
	var counts RoleCounts
	for _, e := range engines {
		counts = counts.plus(e.Role, 1)
	}
	return counts
}

// gain returns the engine-milliseconds of goodput that a change wins over the
// horizon, and whether it is allowed.
func (r *RolePolicy) gain(now RoleCounts, base ServiceLevel, from, to mn.EngineRole, loads CustomerLoads) (float64, bool) {
	if from == to {
		return 0, false
	}
	during := now.plus(from, -1).Evaluate(loads, r.settings.MixedEfficiency)
	after := now.plus(from, -1).plus(to, 1).Evaluate(loads, r.settings.MixedEfficiency)
	const tolerance = 1e-9
	if after.WorstShare < base.WorstShare-tolerance {
		return 0, false
	}
	if base.WorstShare > 0 && during.WorstShare == 0 {
		return 0, false
	}
	downtime := float64(r.settings.Downtime)
	gained := (after.Goodput - base.Goodput) * (float64(r.settings.Horizon) - downtime)
	return gained - (base.Goodput-during.Goodput)*downtime, true
}

// candidate returns the least busy engine of a role that may change.
func (r *RolePolicy) candidate(engines []EngineInfo, role mn.EngineRole, loads CustomerLoads) (mn.VMID, bool) {
	var best *EngineInfo
	for i, e := range engines {
		if e.Role != role || !r.mayChange(e.VM, loads) {
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

func (r *RolePolicy) mayChange(vm mn.VMID, loads CustomerLoads) bool {
	share, ok := r.shareAtChange[vm]
	return !ok || math.Abs(loads.PrefillShare()-share) >= r.settings.MinShareShift
}

// RecordChange notes that c was ordered under mix.
func (r *RolePolicy) RecordChange(c RoleChange, loads CustomerLoads) {
	r.shareAtChange[c.VM] = loads.PrefillShare()
	counters.Add("role_changes", 1)
}
