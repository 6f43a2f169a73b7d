package route

import (
	"sort"

	mn "mustardnotch"
)

const (
	// maxFeeds bounds the agents whose load reports one table gets.
	maxFeeds = 48
	// minPoolFeeds is the least number of them in each pool.
	minPoolFeeds = 4
)

// Feeds returns the agents whose load reports the table of the entry on self
// should get: all while they are few, else a part of each pool by rendezvous
// hash, so that each agent reports to about as many entries as any other.
func (t *Table) Feeds(self mn.VMID) []mn.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sync()
	each := len(t.agents)
	if each > maxFeeds {
		each = max(minPoolFeeds, maxFeeds/len(t.pools))
	}
	var feeds []mn.Member
	for _, p := range t.pools {
		ranked := append([]*agent(nil), p...)
		sort.Slice(ranked, func(i, j int) bool { return weight(self, ranked[i]) > weight(self, ranked[j]) })
		for i, a := range ranked {
			a.fed = i < each
			if a.fed {
				feeds = append(feeds, a.member)
			}
		}
	}
	return feeds
}

// weight is the agent's rendezvous hash for the entry on self.
func weight(self mn.VMID, a *agent) uint64 {
	h := uint64(fnvOffset)
	for _, s := range []string{string(self), "/", string(a.member.VM)} {
		for i := range len(s) {
			h = (h ^ uint64(s[i])) * fnvPrime
		}
	}
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	return h ^ h>>33
}
