// Package bench runs workloads against the real processes beside stand-ins, at
// the sizes of the two deployments.
package bench

import (
	"context"
	"fmt"

	mn "mustardnotch"
	"mustardnotch/load"
	"mustardnotch/procs"
)

// Size is a deployment to start.
type Size struct {
	DataCentres []mn.DataCentre
	Entries     int
	Model       mn.PoolID
	Engines     int
	Plain       mn.PoolID
	Plains      int
}

// Sizes are the deployments of today.
var Sizes = map[string]Size{
	"voering": {
		DataCentres: []mn.DataCentre{"tiel-a", "tiel-b", "culemborg", "geldermalsen"},
		Entries:     3, Model: "taalpers", Engines: 9, Plain: "orderbalie", Plains: 4,
	},
	"birligi": {
		DataCentres: []mn.DataCentre{"kutahya", "eskisehir", "afyon", "usak"},
		Entries:     3, Model: "desen-model", Engines: 12, Plain: "atolye-kayit", Plains: 4,
	},
}

// Config says how to run a workload.
type Config struct {
	// Bin has the programs, Dir takes settings and output.
	Bin, Dir string
	Size     Size
	// Router is the entries' policy.
	Router string
	// Prefill is how many engines start in role prefill; the others then start
	// in role decode. With 0 all are mixed.
	Prefill int
	// Unqueued switches queueing at agents off by a bound that is never reached.
	Unqueued bool
	// EngineFlags are passed to stand-in engines.
	EngineFlags []string
}

// engineBatch is the batch size of stand-in engines.
const engineBatch = 16

// Run starts the deployment, sends the workload, and ends the deployment.
func Run(ctx context.Context, c Config, s *load.Spec) (*load.Report, error) {
	var r *load.Report
	err := inCluster(ctx, c, s, func(*procs.Cluster) error {
		meter := load.NewMeter(ctx, s.Engines)
		r = load.Run(ctx, s, mn.NewSystemClock(), load.NewCallers(s))
		meter.Finish(ctx, r)
		return nil
	})
	return r, err
}

// declare appends the workload's customers and keys and the size's pools.
func declare(ctx context.Context, cluster *procs.Cluster, z Size, s *load.Spec) error {
	model := mn.ModelID(z.Model)
	resources := []mn.Resource{
		{Model: &mn.Model{ID: model, Version: "1", MaxTokens: 1 << 20}},
		{Pool: &mn.Pool{ID: z.Model, Kind: mn.PoolModel, Model: model}},
		{Pool: &mn.Pool{ID: z.Plain, Kind: mn.PoolPlain}},
	}
	s.Model, s.Pool = model, z.Plain
	for i := range s.Customers {
		c := &s.Customers[i]
		if c.Key == "" {
			c.Key = "key-of-the-load-customer-" + string(c.ID)
		}
		resources = append(resources,
			mn.Resource{Customer: &mn.Customer{ID: c.ID, Rate: c.Rate, Burst: c.Burst}},
			mn.Resource{Key: &mn.Key{Name: string(c.ID), Hash: mn.HashKey(c.Key), Customer: c.ID}})
	}
	_, err := cluster.Declare(ctx, resources...)
	return err
}

// start adds the size's processes to the cluster and their URLs to s.
func start(cluster *procs.Cluster, c Config, s *load.Spec) error {
	z := c.Size
	s.Entries, s.Engines = nil, nil
	dc := func(i int) mn.DataCentre { return z.DataCentres[i%len(z.DataCentres)] }
	cluster.Running = engineBatch
	if c.Unqueued {
		cluster.Running = 4096
	}
	for i := range z.Engines {
		role := mn.EngineMixed
		if c.Prefill > 0 {
			role = mn.EngineDecode
			if i < c.Prefill {
				role = mn.EnginePrefill
			}
		}
		cluster.EngineArgs = append([]string{"batch", "--role", string(role)}, c.EngineFlags...)
		n, err := cluster.AddModel(fmt.Sprintf("%s-%d", z.Model, i+1), dc(i), z.Model, mn.ModelID(z.Model))
		if err != nil {
			return err
		}
		s.Engines = append(s.Engines, n.EndpointURL())
	}
	for i := range z.Plains {
		if _, err := cluster.AddPlain(fmt.Sprintf("%s-%d", z.Plain, i+1), dc(i), z.Plain); err != nil {
			return err
		}
	}
	cluster.Extra = fmt.Sprintf("[routing]\nrouter = %s\n", c.Router)
	for i := range z.Entries {
		n, err := cluster.AddEntry(fmt.Sprintf("entry-%d", i+1), dc(i))
		if err != nil {
			return err
		}
		s.Entries = append(s.Entries, n.Callers())
	}
	return nil
}
