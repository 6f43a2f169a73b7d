package gossip

import (
	mn "mustardnotch"
	"mustardnotch/core/place"
)

// Cursor is what another front was told. Its zero is nothing.
type Cursor struct {
	// Balancer is what it was told of uses and reads.
	Balancer place.Cursor
	spent    map[mn.CustomerID]float64
	runs     map[runKey]int64
	// synced says that the front has what it was told, as far as is known; peer is
	// its incarnation, and fullExchangeAt when it was last told all.
	synced          bool
	peerIncarnation mn.Incarnation
	fullExchangeAt  mn.Millis
}

type runKey struct {
	window   int64
	customer mn.CustomerID
}

// SpentChanges returns the part of spent that has changed, and moves the cursor on.
func (c *Cursor) SpentChanges(spent map[mn.CustomerID]float64) map[mn.CustomerID]float64 {
	changed := map[mn.CustomerID]float64{}
	for k, v := range spent {
		if was, ok := c.spent[k]; !ok || was != v {
			changed[k] = v
		}
	}
	c.spent = spent
	return changed
}

// RunChanges returns the part of runs that has changed, and moves the cursor on.
func (c *Cursor) RunChanges(runs []mn.RunCount) []mn.RunCount {
	var changed []mn.RunCount
	now := make(map[runKey]int64, len(runs))
	for _, r := range runs {
		k := runKey{r.Window, r.Customer}
		now[k] = r.Count
		if c.runs[k] != r.Count {
			changed = append(changed, r)
		}
	}
	c.runs = now
	return changed
}
