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

// Deployment is a deployment to start.
type Deployment struct {
	DataCentres   []mn.DataCentre
	Entries       int
	ModelPool     mn.PoolID
	Engines       int
	PlainPool     mn.PoolID
	PlainServices int
}

// Deployments are the deployments of today.
var Deployments = map[string]Deployment{
	"voering": {
		DataCentres: []mn.DataCentre{"tiel-a", "tiel-b", "culemborg", "geldermalsen"},
		Entries:     3, ModelPool: "taalpers", Engines: 9, PlainPool: "orderbalie", PlainServices: 4,
	},
	"birligi": {
		DataCentres: []mn.DataCentre{"kutahya", "eskisehir", "afyon", "usak"},
		Entries:     3, ModelPool: "desen-model", Engines: 12, PlainPool: "atolye-kayit", PlainServices: 4,
	},
}

// Config says how to run a workload.
type Config struct {
	// Bin has the programs, Dir takes settings and output.
	Bin, Dir   string
	Deployment Deployment
	// Router is the entries' policy.
	Router string
	// PrefillEngines is how many engines start in role prefill; the others then start
	// in role decode. With 0 all are mixed.
	PrefillEngines int
	// DisableQueues switches queueing at agents off by a bound that is never reached.
	DisableQueues bool
	// EngineArgs are passed to stand-in engines.
	EngineArgs []string
}

// engineBatchSize is the batch size of stand-in engines.
const engineBatchSize = 16

// Run starts the deployment, sends the workload, and ends the deployment.
func Run(ctx context.Context, c Config, s *load.Workload) (*load.Report, error) {
	var r *load.Report
	err := inCluster(ctx, c, s, func(*procs.Cluster) error {
		meter := load.NewMeter(ctx, s.Engines)
		r = load.Run(ctx, s, mn.NewSystemClock(), load.NewRoundRobinSender(s))
		meter.Finish(ctx, r)
		return nil
	})
	return r, err
}

// declareResources appends the workload's customers and keys and the size's pools.
func declareResources(ctx context.Context, cluster *procs.Cluster, z Deployment, s *load.Workload) error {
	model := mn.ModelID(z.ModelPool)
	resources := []mn.Resource{
		{Model: &mn.Model{ID: model, Version: "1", MaxTokens: 1 << 20}},
		{Pool: &mn.Pool{ID: z.ModelPool, Kind: mn.PoolModel, Model: model}},
		{Pool: &mn.Pool{ID: z.PlainPool, Kind: mn.PoolPlain}},
	}
	s.Model, s.Pool = model, z.PlainPool
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

// startProcesses adds the size's processes to the cluster and their URLs to s.
func startProcesses(cluster *procs.Cluster, c Config, s *load.Workload) error {
	z := c.Deployment
	s.Entries, s.Engines = nil, nil
	dc := func(i int) mn.DataCentre { return z.DataCentres[i%len(z.DataCentres)] }
	cluster.MaxRunning = engineBatchSize
	if c.DisableQueues {
		cluster.MaxRunning = 4096
	}
	for i := range z.Engines {
		role := mn.EngineMixed
		if c.PrefillEngines > 0 {
			role = mn.EngineDecode
			if i < c.PrefillEngines {
				role = mn.EnginePrefill
			}
		}
		cluster.EngineArgs = append([]string{"batch", "--role", string(role)}, c.EngineArgs...)
		n, err := cluster.AddEngine(fmt.Sprintf("%s-%d", z.ModelPool, i+1), dc(i), z.ModelPool, mn.ModelID(z.ModelPool))
		if err != nil {
			return err
		}
		s.Engines = append(s.Engines, n.EndpointURL())
	}
	for i := range z.PlainServices {
		if _, err := cluster.AddPlainService(fmt.Sprintf("%s-%d", z.PlainPool, i+1), dc(i), z.PlainPool); err != nil {
			return err
		}
	}
	cluster.ExtraSettings = fmt.Sprintf("[routing]\nrouter = %s\n", c.Router)
	for i := range z.Entries {
		n, err := cluster.AddEntry(fmt.Sprintf("entry-%d", i+1), dc(i))
		if err != nil {
			return err
		}
		s.Entries = append(s.Entries, n.CallerURL())
	}
	return nil
}
