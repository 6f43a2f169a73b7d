// Package warm limits the requests to cold endpoints.
//
// Load pattern: endpoints come back together and are empty, so every front finds them the best
// choice at the same moment. Each of them bears some tens of requests a second, from all fronts
// together, and crashes beyond.
package warm

import (
	"slices"

	mn "mustardnotch"
	"mustardnotch/core/rendez"
)

const (
	// senders is the number of fronts that send to one cold endpoint. Each may always send one
	// request, so that their sum stays close to the rate only if they are few.
	senders = 6
	// rateShare is the share of the rate that all senders use. Requests that were placed at
	// equal intervals may arrive closer together.
	rateShare = 0.8
	// learningTime is how long a process that has just started sends nothing to cold endpoints,
	// since it doesn't know the other fronts.
	learningTime = 2 * mn.Second
)

// Interval returns the time between two requests of a front to a cold endpoint that bears
// perSecond requests of all fronts, given all fronts that have registered. It returns false if
// the front sends it none.
func Interval(id mn.EndpointID, self mn.VMID, fronts []mn.VMID, perSecond float64, uptime mn.Millis) (mn.Millis, bool) {
	if uptime < learningTime {
		return 0, false
	}
	chosen := rendez.Top(string(id), fronts, min(senders, len(fronts)))
	if !slices.Contains(chosen, self) {
		return 0, false
	}
	return mn.Millis(float64(len(chosen)) * float64(mn.Second) / (rateShare * perSecond)), true
}

// Gate is what a front knows of one run of an endpoint. The zero value is that of a warm one.
type Gate struct {
	// said is what the endpoint said last of how long it stays cold.
	said mn.Millis
	// until is the end of the time in which the endpoint counts as cold.
	until mn.Millis
	// next is when the next request may be placed.
	next mn.Millis
}

// Observe notes at now that the endpoint says it stays cold for left, which is 0 if it is warm.
func (g *Gate) Observe(left, now mn.Millis) {
	if left == g.said {
		return
	}
	g.said = left
	g.until = max(g.until, now+left)
}

// Extend makes the endpoint count as cold until at least the given time.
func (g *Gate) Extend(until mn.Millis) { g.until = max(g.until, until) }

// Cold reports whether the endpoint counts as cold at now.
func (g *Gate) Cold(now mn.Millis) bool { return now < g.until }

// Until returns the end of the time in which the endpoint counts as cold.
func (g *Gate) Until() mn.Millis { return g.until }

// Open reports whether a request may be placed at now, as far as earlier ones allow.
func (g *Gate) Open(now mn.Millis) bool { return !g.Cold(now) || now >= g.next }

// Pass notes that a request is placed at now. The next one follows after interval.
func (g *Gate) Pass(now, interval mn.Millis) { g.next = now + interval }
