package gossip

import (
	mn "mustardnotch"
	"mustardnotch/core/place"
	"mustardnotch/core/poison"
)

// Cursor records what a peer front was sent. The zero Cursor means that nothing was
// sent.
type Cursor struct {
	// Peer is the peer front.
	Peer mn.VMID
	// Balancer records what was sent of the loads and the prefilled prompts.
	Balancer place.Cursor
	// Segments records what was sent of crashes and cleared prompt segments.
	Segments poison.SegmentCursor
	spent    map[mn.CustomerID]float64
	runs     map[runKey]int64
	// synced reports whether the peer is assumed to have everything that was sent.
	synced bool
	// peerIncarnation is the peer's incarnation in its last answer.
	peerIncarnation mn.Incarnation
	// fullExchangeAt is when the full state was last sent.
	fullExchangeAt mn.Millis
}

// runKey identifies a run count.
type runKey struct {
	window   int64
	customer mn.CustomerID
}

// SpentChanges returns the entries of spent that have changed, and advances the
// cursor.
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

// RunChanges returns the entries of runs that have changed, and advances the
// cursor.
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
