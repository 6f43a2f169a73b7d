package gauge

import (
	"context"
	"fmt"
	"io"
	"time"

	mn "mustardnotch"
	"mustardnotch/procs"
)

const (
	// idleWarmUp lets start-up traffic end before an idle cluster is measured.
	idleWarmUp = 5 * time.Second
	// idleDuration is the duration of the measurement.
	idleDuration = 20 * time.Second
)

// processUse is the CPU time that a process has used and the bytes that it has sent and
// received, since it started.
type processUse struct {
	cpuTime time.Duration
	bytes   int64
}

// Idle starts three entries and options.Agents model engines without callers, and
// prints what a process of each role uses on average: CPU time, resident memory, and
// the bytes that it exchanges with peers and the platform.
func Idle(ctx context.Context, options Options, out io.Writer) error {
	return procs.WithTemporaryCluster(options.Bin, func(cluster *procs.Cluster) error { return idle(ctx, cluster, options, out) })
}

func idle(ctx context.Context, cluster *procs.Cluster, options Options, out io.Writer) error {
	cluster.UseLinks = true
	measurement := &propagation{cluster: cluster}
	if err := measurement.build(ctx, options.Agents); err != nil {
		return err
	}
	time.Sleep(idleWarmUp)
	before, err := processUses(cluster)
	if err != nil {
		return err
	}
	time.Sleep(idleDuration)
	after, err := processUses(cluster)
	if err != nil {
		return err
	}
	for _, role := range []mn.Role{mn.RoleEntry, mn.RoleAgent} {
		if err := printIdleUse(cluster, role, before, after, out); err != nil {
			return err
		}
	}
	return nil
}

func processUses(cluster *procs.Cluster) (map[mn.VMID]processUse, error) {
	all := map[mn.VMID]processUse{}
	for id, n := range cluster.Nodes {
		cpuTime, err := n.Proc.CPUTime()
		if err != nil {
			return nil, err
		}
		use := processUse{cpuTime: cpuTime}
		for _, b := range n.PlatformLink.Bytes() {
			use.bytes += b
		}
		for _, b := range n.PeerLink.Bytes() {
			use.bytes += b
		}
		for _, other := range cluster.Nodes {
			if other != n {
				use.bytes += other.PeerLink.Bytes()[n.IP]
			}
		}
		all[id] = use
	}
	return all, nil
}

func printIdleUse(cluster *procs.Cluster, role mn.Role, before, after map[mn.VMID]processUse, out io.Writer) error {
	var count, bytes, memory int64
	var cpuTime time.Duration
	for id, node := range cluster.Nodes {
		if node.VM.Role != role {
			continue
		}
		resident, err := node.Proc.ResidentMemory()
		if err != nil {
			return err
		}
		count++
		memory += resident
		bytes += after[id].bytes - before[id].bytes
		cpuTime += after[id].cpuTime - before[id].cpuTime
	}
	if count == 0 {
		return nil
	}
	_, err := fmt.Fprintf(out, "part=idle role=%s processes=%d of=%d core_percent=%.2f resident_mb=%.1f bytes_per_s=%d\n",
		role, count, len(cluster.Nodes), 100*cpuTime.Seconds()/idleDuration.Seconds()/float64(count), float64(memory)/float64(count)/(1<<20),
		bytes/count/int64(idleDuration.Seconds()))
	return err
}
