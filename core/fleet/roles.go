package fleet

import (
	"math"

	mn "mustardnotch"
)

// RoleSettings are the parameters of role changes.
type RoleSettings struct {
	// Horizon is over how long a change has to pay.
	Horizon mn.Millis
	// Away is for how long a change takes an engine out of service.
	Away mn.Millis
	// Gain is by how much a change has to raise goodput at least, on average
	// over the horizon, in engines.
	Gain float64
	// Shift is by how much the prefill share has to move before an engine may
	// change its role again.
	Shift float64
	// Efficiency is the work of a mixed engine relative to a dedicated one.
	Efficiency float64
}

// DefaultRoleSettings returns the settings of a production system.
func DefaultRoleSettings() RoleSettings {
	return RoleSettings{Horizon: 60 * mn.Second, Away: 5 * mn.Second, Gain: 0.08, Shift: 0.35, Efficiency: 1}
}

// EngineInfo is what the policy knows of an engine in service.
type EngineInfo struct {
	VM      mn.VMID
	Role    mn.EngineRole
	Running int64
}

// Roles decides on role changes of one pool.
type Roles struct {
	settings RoleSettings
	// changed has the prefill share at each engine's last change.
	changed map[mn.VMID]float64
}

// NewRoles returns a policy without a history.
func NewRoles(settings RoleSettings) *Roles {
	return &Roles{settings: settings, changed: map[mn.VMID]float64{}}
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
func (r *Roles) Next(engines []EngineInfo, mix Mix) (RoleChange, bool) {
	now := split(engines)
	base := now.Serve(mix, r.settings.Efficiency)
	best := r.settings.Gain * float64(r.settings.Horizon)
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

func split(engines []EngineInfo) Split {
	var s Split
	for _, e := range engines {
		s = s.with(e.Role, 1)
	}
	return s
}

// gain returns the engine-milliseconds of goodput that a change wins over the
// horizon, and whether it is allowed.
func (r *Roles) gain(now Split, base Service, from, to mn.EngineRole, mix Mix) (float64, bool) {
	if from == to {
		return 0, false
	}
	during := now.with(from, -1).Serve(mix, r.settings.Efficiency)
	after := now.with(from, -1).with(to, 1).Serve(mix, r.settings.Efficiency)
	const tolerance = 1e-9
	if after.Worst < base.Worst-tolerance {
		return 0, false
	}
	if base.Worst > 0 && during.Worst == 0 {
		return 0, false
	}
	away := float64(r.settings.Away)
	won := (after.Goodput - base.Goodput) * (float64(r.settings.Horizon) - away)
	return won - (base.Goodput-during.Goodput)*away, true
}

// candidate returns the least busy engine of a role that may change.
func (r *Roles) candidate(engines []EngineInfo, role mn.EngineRole, mix Mix) (mn.VMID, bool) {
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

func (r *Roles) mayChange(vm mn.VMID, mix Mix) bool {
	share, ok := r.changed[vm]
	return !ok || math.Abs(mix.PrefillShare()-share) >= r.settings.Shift
}

// Changed notes that c was ordered under mix.
func (r *Roles) Changed(c RoleChange, mix Mix) {
	r.changed[c.VM] = mix.PrefillShare()
	counters.Add("role_changes", 1)
}
