// Package bench runs workloads against the real processes and stand-in endpoints,
// at the sizes of the users' two deployments.
package bench

import (
	"context"
	"fmt"

	mn "mustardnotch"
	"mustardnotch/load"
	"mustardnotch/procs"
)

// Deployment describes the processes to start.
type Deployment struct {
	DataCentres   []mn.DataCentre
	Entries       int
	ModelPool     mn.PoolID
	Engines       int
	PlainPool     mn.PoolID
	PlainServices int
}

// Deployments holds the users' deployments by name.
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

// Config configures the run of a workload.
type Config struct {
	// Bin is the directory of the programs; settings and output are written to Dir.
	Bin, Dir   string
	Deployment Deployment
	// Router is the routing policy of the entries.
	Router string
	// PrefillEngines is the number of engines that start in role prefill; the others
	// then start in role decode. If it is 0, all engines are mixed.
	PrefillEngines int
	// DisableQueues disables queueing at agents with a concurrency limit that is
	// never reached.
	DisableQueues bool
	// EngineArgs are further arguments of stand-in engines.
	EngineArgs []string
}

// engineBatchSize is the batch size of stand-in engines.
const engineBatchSize = 16

// Run starts the deployment, sends the workload, stops the deployment, and returns
// the load report.
func Run(ctx context.Context, c Config, workload *load.Workload) (*load.Report, error) {
	var report *load.Report
	err := inCluster(ctx, c, workload, func(*procs.Cluster) error {
		meter := load.NewMeter(ctx, workload.Engines)
		report = load.Run(ctx, workload, mn.NewSystemClock(), load.NewRoundRobinSender(workload))
		meter.Finish(ctx, report)
		return nil
	})
	return report, err
}

// declareResources declares the workload's customers and keys and the deployment's
// model and pools. It sets the workload's model, pool and missing keys.
func declareResources(ctx context.Context, cluster *procs.Cluster, d Deployment, workload *load.Workload) error {
	model := mn.ModelID(d.ModelPool)
	resources := []mn.Resource{
		{Model: &mn.Model{ID: model, Version: "1", MaxTokens: 1 << 20}},
		{Pool: &mn.Pool{ID: d.ModelPool, Kind: mn.PoolModel, Model: model}},
		{Pool: &mn.Pool{ID: d.PlainPool, Kind: mn.PoolPlain}},
	}
	workload.Model, workload.Pool = model, d.PlainPool
	for i := range workload.Customers {
		c := &workload.Customers[i]
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

// startProcesses adds the deployment's processes to the cluster, and the URLs of the
// entries and engines to the workload.
func startProcesses(cluster *procs.Cluster, c Config, workload *load.Workload) error {
	d := c.Deployment
	workload.Entries, workload.Engines = nil, nil
	dc := func(i int) mn.DataCentre { return d.DataCentres[i%len(d.DataCentres)] }
	cluster.MaxRunning = engineBatchSize
	if c.DisableQueues {
		cluster.MaxRunning = 4096
	}
	for i := range d.Engines {
		role := mn.EngineMixed
		if c.PrefillEngines > 0 {
			role = mn.EngineDecode
			if i < c.PrefillEngines {
				role = mn.EnginePrefill
			}
		}
		cluster.EngineArgs = append([]string{"batch", "--role", string(role)}, c.EngineArgs...)
		n, err := cluster.AddEngine(fmt.Sprintf("%s-%d", d.ModelPool, i+1), dc(i), d.ModelPool, mn.ModelID(d.ModelPool))
		if err != nil {
			return err
		}
		workload.Engines = append(workload.Engines, n.EndpointURL())
	}
	for i := range d.PlainServices {
		if _, err := cluster.AddPlainService(fmt.Sprintf("%s-%d", d.PlainPool, i+1), dc(i), d.PlainPool); err != nil {
			return err
		}
	}
	cluster.ExtraSettings = fmt.Sprintf("[routing]\nrouter = %s\n", c.Router)
	for i := range d.Entries {
		n, err := cluster.AddEntry(fmt.Sprintf("entry-%d", i+1), dc(i))
		if err != nil {
			return err
		}
		workload.Entries = append(workload.Entries, n.CallerURL())
	}
	return nil
}
