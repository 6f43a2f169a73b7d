package fleet

import (
	"math"

	mn "mustardnotch"
)

// RoleSettings are the parameters of role changes.
type RoleSettings struct {
	// Horizon is the time over which a change has to pay off.
	Horizon mn.Millis
	// Downtime is how long a change takes an engine out of service.
	Downtime mn.Millis
	// MinGain is the gain of goodput, in engines and averaged over the horizon,
	// that a change has to exceed.
	MinGain float64
	// MinShareShift is how far the prefill share has to shift since an engine's
	// last change before the engine may change its role again.
	MinShareShift float64
	// MixedEfficiency is the work that a mixed engine does relative to a dedicated
	// one.
	MixedEfficiency float64
}

// DefaultRoleSettings returns the settings for production.
func DefaultRoleSettings() RoleSettings {
	return RoleSettings{Horizon: 60 * mn.Second, Downtime: 5 * mn.Second, MinGain: 0.08, MinShareShift: 0.35, MixedEfficiency: 1}
}

// EngineInfo describes an engine in service.
type EngineInfo struct {
	VM      mn.VMID
	Role    mn.EngineRole
	Running int64
}

// RolePolicy decides on role changes in one pool.
type RolePolicy struct {
	settings RoleSettings
	// shareAtChange is the prefill share at each engine's last change.
	shareAtChange map[mn.VMID]float64
}

// NewRolePolicy returns a policy without recorded changes.
func NewRolePolicy(settings RoleSettings) *RolePolicy {
	return &RolePolicy{settings: settings, shareAtChange: map[mn.VMID]float64{}}
}

// RoleChange is the change of an engine to another role.
type RoleChange struct {
	VM mn.VMID
	To mn.EngineRole
}

// Next returns the change with the highest gain under the forecast loads, and
// whether there is one that pays off. The goodput gained over the horizon has to
// exceed the goodput lost during the engine's downtime by more than MinGain on
// average, and the worst-served customer must not be served worse than before.
// Once the change has been ordered, RecordChange must be called.
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

// gain returns the goodput that a change gains over the horizon, in engine
// milliseconds, and whether the change is allowed.
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

// candidate returns the engine with the fewest running requests among those of a
// role that may change.
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

// mayChange reports whether the prefill share has shifted far enough since the
// engine's last change for another one.
func (r *RolePolicy) mayChange(vm mn.VMID, loads CustomerLoads) bool {
	share, ok := r.shareAtChange[vm]
	return !ok || math.Abs(loads.PrefillShare()-share) >= r.settings.MinShareShift
}

// RecordChange records that c was ordered under the given forecast loads.
func (r *RolePolicy) RecordChange(c RoleChange, loads CustomerLoads) {
	r.shareAtChange[c.VM] = loads.PrefillShare()
	counters.Add("role_changes", 1)
}
