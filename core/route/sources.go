package route

import (
	"slices"

	mn "mustardnotch"
	"mustardnotch/core/rendez"
)

const (
	// maxReportSources is the number of agents up to which a table receives the
	// load reports of all. Above it, the pools share this number.
	maxReportSources = 48
	// minPoolReportSources is the minimum number of agents chosen from each pool
	// in that case.
	minPoolReportSources = 4
)

// ReportSources returns the agents whose load reports the table of the entry on
// the VM self should receive. These are all agents up to a total of
// maxReportSources, and a subset of each pool chosen by rendezvous hashing above
// that, so that all agents report to about the same number of entries.
func (t *Table) ReportSources(self mn.VMID) []mn.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sync()
	perPool := len(t.agents)
	if perPool > maxReportSources {
		perPool = max(minPoolReportSources, maxReportSources/len(t.pools))
	}
	var sources []mn.Member
	for _, p := range t.pools {
		chosen := rendez.Top(string(self), vmsOf(p), perPool)
		for _, a := range p {
			a.subscribed = slices.Contains(chosen, a.member.VM)
			if a.subscribed {
				sources = append(sources, a.member)
			}
		}
	}
	return sources
}

func vmsOf(agents []*agent) []mn.VMID {
	var vms []mn.VMID
	for _, a := range agents {
		vms = append(vms, a.member.VM)
	}
	return vms
}
