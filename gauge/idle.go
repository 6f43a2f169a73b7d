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
	idleWarmUp   = 5 * time.Second
	idleDuration = 20 * time.Second
)

// processUse is what one process has used since it started.
type processUse struct {
	cpuTime time.Duration
	bytes   int64
}

// Idle starts three entries and o.Agents model engines without callers, and
// prints what a process of each role spends: processor time, resident memory,
// and the bytes that it sends to and gets from peers and platform.
func Idle(ctx context.Context, o Options, out io.Writer) error {
	return procs.WithTemporaryCluster(o.Bin, func(c *procs.Cluster) error { return idle(ctx, c, o, out) })
}

func idle(ctx context.Context, c *procs.Cluster, o Options, out io.Writer) error {
	c.UseLinks = true
	s := &propagation{cluster: c}
	if err := s.build(ctx, o.Agents); err != nil {
		return err
	}
	time.Sleep(idleWarmUp)
	before, err := processUses(c)
	if err != nil {
		return err
	}
	time.Sleep(idleDuration)
	after, err := processUses(c)
	if err != nil {
		return err
	}
	for _, role := range []mn.Role{mn.RoleEntry, mn.RoleAgent} {
		if err := printIdleUse(c, role, before, after, out); err != nil {
			return err
		}
	}
	return nil
}

func processUses(c *procs.Cluster) (map[mn.VMID]processUse, error) {
	all := map[mn.VMID]processUse{}
	for id, n := range c.Nodes {
		cpuTime, err := n.Proc.CPUTime()
		if err != nil {
			return nil, err
		}
		u := processUse{cpuTime: cpuTime}
		for _, b := range n.PlatformLink.Bytes() {
			u.bytes += b
		}
		for _, b := range n.PeerLink.Bytes() {
			u.bytes += b
		}
		for _, other := range c.Nodes {
			if other != n {
				u.bytes += other.PeerLink.Bytes()[n.IP]
			}
		}
		all[id] = u
	}
	return all, nil
}

func printIdleUse(c *procs.Cluster, role mn.Role, before, after map[mn.VMID]processUse, out io.Writer) error {
	var count, bytes, memory int64
	var cpuTime time.Duration
	for id, node := range c.Nodes {
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
		role, count, len(c.Nodes), 100*cpuTime.Seconds()/idleDuration.Seconds()/float64(count), float64(memory)/float64(count)/(1<<20),
		bytes/count/int64(idleDuration.Seconds()))
	return err
}
