package node

import (
	"cmp"
	"slices"
	"sync"

	mn "mustardnotch"
	"mustardnotch/core/fleet"
	"mustardnotch/gen/meshpb"
)

const (
	// reportedCustomers bounds the customers in one load report.
	reportedCustomers = 32
	// firstOutput is the output that is expected of a customer's first request,
	// as a share of its bound.
	firstOutput = 0.25
	// outputWeight is the weight of a request's output in the average.
	outputWeight = 0.1
	// lookAhead is how far ahead the mix is forecast.
	lookAhead = 20 * mn.Second
)

// demands counts the work that arrives at an agent, by customer.
type demands struct {
	mu     sync.Mutex
	clock  mn.Clock
	totals map[mn.CustomerID]*demandTotal
}

type demandTotal struct {
	prompt, output float64
	// average is the output expected of a request.
	average float64
	last    mn.Millis
}

func newDemands(clock mn.Clock) *demands {
	return &demands{clock: clock, totals: map[mn.CustomerID]*demandTotal{}}
}

// arrive counts a request, whether it will be served or not.
func (d *demands) arrive(customer mn.CustomerID, prompt, limit int64) {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	t, ok := d.totals[customer]
	if !ok {
		t = &demandTotal{average: firstOutput * float64(limit)}
		d.totals[customer] = t
	}
	t.prompt += float64(prompt)
	t.output += min(t.average, float64(limit))
	t.last = now
}

// answered takes in the output of a request that was served.
func (d *demands) answered(customer mn.CustomerID, output int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if t, ok := d.totals[customer]; ok && output > 0 {
		t.average += outputWeight * (float64(output) - t.average)
	}
}

// report returns the totals of the customers that sent work last.
func (d *demands) report() []*meshpb.CustomerDemand {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []mn.CustomerID
	for c := range d.totals {
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b mn.CustomerID) int {
		return cmp.Or(cmp.Compare(d.totals[b].last, d.totals[a].last), cmp.Compare(a, b))
	})
	var reports []*meshpb.CustomerDemand
	for _, c := range all[:min(len(all), reportedCustomers)] {
		t := d.totals[c]
		reports = append(reports, &meshpb.CustomerDemand{
			Customer:     string(c),
			PromptTokens: int64(t.prompt),
			OutputTokens: int64(t.output),
		})
	}
	return reports
}

// meter turns the reports of a pool's agents into the mix that is expected.
type meter struct {
	at        mn.Millis
	seen      map[demandKey]*meshpb.CustomerDemand
	forecasts map[mn.CustomerID]*fleet.Forecast
}

type demandKey struct {
	incarnation mn.Incarnation
	customer    string
}

func newMeter() *meter {
	return &meter{seen: map[demandKey]*meshpb.CustomerDemand{}, forecasts: map[mn.CustomerID]*fleet.Forecast{}}
}

// update takes in the latest reports of agents.
func (m *meter) update(now mn.Millis, agents []mn.Member, loads map[mn.VMID]*meshpb.LoadReport) {
	span := float64(now - m.at)
	first := m.at == 0
	m.at = now
	arrived := fleet.CustomerLoads{}
	for _, a := range agents {
		r := loads[a.VM]
		if r == nil || r.Limit == 0 {
			continue
		}
		for _, d := range r.Demand {
			key := demandKey{a.Incarnation, d.Customer}
			before := m.seen[key]
			m.seen[key] = d
			if before == nil || first {
				continue
			}
			l := arrived[mn.CustomerID(d.Customer)]
			l.Prefill += float64(d.PromptTokens-before.PromptTokens) * r.PrefillMs / span
			l.Decode += float64(d.OutputTokens-before.OutputTokens) * r.DecodeMs / float64(r.Limit) / span
			arrived[mn.CustomerID(d.Customer)] = l
		}
	}
	for c := range arrived {
		if m.forecasts[c] == nil {
			m.forecasts[c] = &fleet.Forecast{Level: 0.1, Trend: 0.02}
		}
	}
	for c, f := range m.forecasts {
		f.Add(now, arrived[c])
	}
}

// mix returns the mix that is expected.
func (m *meter) mix() fleet.CustomerLoads {
	mix := fleet.CustomerLoads{}
	for c, f := range m.forecasts {
		mix[c] = f.Predict(lookAhead)
	}
	return mix
}
