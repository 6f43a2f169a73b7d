package route

import (
	"slices"

	mn "mustardnotch"
	"mustardnotch/core/rendez"
)

const (
	// maxFeeds bounds the agents whose load reports one table gets.
	maxFeeds = 48
	// minPoolFeeds is the least number of them in each pool.
	minPoolFeeds = 4
)

// ReportSources returns the agents whose load reports the table of the entry on self
// should get: all while they are few, else a part of each pool by rendezvous
// hash, so that each agent reports to about as many entries as any other.
func (t *Table) ReportSources(self mn.VMID) []mn.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sync()
	each := len(t.agents)
	if each > maxFeeds {
		each = max(minPoolFeeds, maxFeeds/len(t.pools))
	}
	var feeds []mn.Member
	for _, p := range t.pools {
		chosen := rendez.Top(string(self), vmsOf(p), each)
		for _, a := range p {
			a.fed = slices.Contains(chosen, a.member.VM)
			if a.fed {
				feeds = append(feeds, a.member)
			}
		}
	}
	return feeds
}

func vmsOf(agents []*agent) []mn.VMID {
	var vms []mn.VMID
	for _, a := range agents {
		vms = append(vms, a.member.VM)
	}
	return vms
}
