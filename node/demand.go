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
	// maxReportedCustomers is the maximum number of customers in one load report.
	maxReportedCustomers = 32
	// initialOutputShare is the output expected of a customer's first request, as a
	// fraction of the request's maximum.
	initialOutputShare = 0.25
	// outputWeight is the weight of one request in the exponentially weighted
	// moving average of a customer's output.
	outputWeight = 0.1
	// forecastHorizon is how far ahead the loads are forecast.
	forecastHorizon = 20 * mn.Second
)

// demandCounter counts the tokens that arrive at an agent, by customer.
type demandCounter struct {
	mu     sync.Mutex
	clock  mn.Clock
	totals map[mn.CustomerID]*demandTotal
}

type demandTotal struct {
	prompt, output float64
	// expectedOutput is the moving average of the output of a request, in tokens.
	expectedOutput float64
	last           mn.Millis
}

func newDemandCounter(clock mn.Clock) *demandCounter {
	return &demandCounter{clock: clock, totals: map[mn.CustomerID]*demandTotal{}}
}

// addRequest counts a request, also if it will be rejected later.
func (d *demandCounter) addRequest(customer mn.CustomerID, prompt, limit int64) {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	t, ok := d.totals[customer]
	if !ok {
		t = &demandTotal{expectedOutput: initialOutputShare * float64(limit)}
		d.totals[customer] = t
	}
	t.prompt += float64(prompt)
	t.output += min(t.expectedOutput, float64(limit))
	t.last = now
}

// addOutput updates the customer's expected output by that of a served request.
func (d *demandCounter) addOutput(customer mn.CustomerID, output int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if t, ok := d.totals[customer]; ok && output > 0 {
		t.expectedOutput += outputWeight * (float64(output) - t.expectedOutput)
	}
}

// report returns the totals of the customers whose last requests are the most recent.
func (d *demandCounter) report() []*meshpb.CustomerDemand {
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
	for _, c := range all[:min(len(all), maxReportedCustomers)] {
		t := d.totals[c]
		reports = append(reports, &meshpb.CustomerDemand{
			Customer:     string(c),
			PromptTokens: int64(t.prompt),
			OutputTokens: int64(t.output),
		})
	}
	return reports
}

// demandMeter forecasts the loads on a pool by customer from the reports of its agents.
type demandMeter struct {
	updatedAt   mn.Millis
	lastReports map[demandKey]*meshpb.CustomerDemand
	forecasts   map[mn.CustomerID]*fleet.Forecast
}

type demandKey struct {
	incarnation mn.Incarnation
	customer    string
}

func newDemandMeter() *demandMeter {
	return &demandMeter{lastReports: map[demandKey]*meshpb.CustomerDemand{}, forecasts: map[mn.CustomerID]*fleet.Forecast{}}
}

// update adds a sample to each forecast: the load that has arrived since the last update
// according to the latest reports of agents.
func (m *demandMeter) update(now mn.Millis, agents []mn.Member, loads map[mn.VMID]*meshpb.LoadReport) {
	elapsed := float64(now - m.updatedAt)
	first := m.updatedAt == 0
	m.updatedAt = now
	arrived := fleet.CustomerLoads{}
	for _, a := range agents {
		r := loads[a.VM]
		if r == nil || r.Limit == 0 {
			continue
		}
		for _, d := range r.Demand {
			key := demandKey{a.Incarnation, d.Customer}
			before := m.lastReports[key]
			m.lastReports[key] = d
			if before == nil || first {
				continue
			}
			l := arrived[mn.CustomerID(d.Customer)]
			l.Prefill += float64(d.PromptTokens-before.PromptTokens) * r.PrefillMs / elapsed
			l.Decode += float64(d.OutputTokens-before.OutputTokens) * r.DecodeMs / float64(r.Limit) / elapsed
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

// forecastLoads returns the loads expected forecastHorizon after the last update.
func (m *demandMeter) forecastLoads() fleet.CustomerLoads {
	loads := fleet.CustomerLoads{}
	for c, f := range m.forecasts {
		loads[c] = f.Predict(forecastHorizon)
	}
	return loads
}
