package route

import (
	"slices"

	mn "mustardnotch"
	"mustardnotch/core/rendez"
)

const (
	// maxReportSources bounds the agents whose load reports one table gets.
	maxReportSources = 48
	// minPoolReportSources is the least number of them in each pool.
	minPoolReportSources = 4
)

// ReportSources returns the agents whose load reports the table of the entry on self
// should get: all while they are few, else a part of each pool by rendezvous
// hash, so that each agent reports to about as many entries as any other.
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
