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
	// idleSettle lets start-up traffic end before an idle cluster is measured.
	idleSettle = 5 * time.Second
	idleSpan   = 20 * time.Second
)

// usage is what one process has used since it started.
type usage struct {
	processor time.Duration
	bytes     int64
}

// Idle starts three entries and o.Agents model engines without callers, and
// prints what a process of each role spends: processor time, resident memory,
// and the bytes that it sends to and gets from peers and platform.
func Idle(ctx context.Context, o Options, out io.Writer) error {
	return procs.WithTemporaryCluster(o.Bin, func(c *procs.Cluster) error { return idle(ctx, c, o, out) })
}

func idle(ctx context.Context, c *procs.Cluster, o Options, out io.Writer) error {
	c.UseLinks = true
	s := &spread{cluster: c}
	if err := s.build(ctx, o.Agents); err != nil {
		return err
	}
	time.Sleep(idleSettle)
	before, err := usages(c)
	if err != nil {
		return err
	}
	time.Sleep(idleSpan)
	after, err := usages(c)
	if err != nil {
		return err
	}
	for _, role := range []mn.Role{mn.RoleEntry, mn.RoleAgent} {
		if err := printUsage(c, role, before, after, out); err != nil {
			return err
		}
	}
	return nil
}

func usages(c *procs.Cluster) (map[mn.VMID]usage, error) {
	all := map[mn.VMID]usage{}
	for id, n := range c.Nodes {
		processor, err := n.Proc.CPUTime()
		if err != nil {
			return nil, err
		}
		u := usage{processor: processor}
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

func printUsage(c *procs.Cluster, role mn.Role, before, after map[mn.VMID]usage, out io.Writer) error {
	var n, bytes, memory int64
	var processor time.Duration
	for id, node := range c.Nodes {
		if node.VM.Role != role {
			continue
		}
		r, err := node.Proc.ResidentMemory()
		if err != nil {
			return err
		}
		n++
		memory += r
		bytes += after[id].bytes - before[id].bytes
		processor += after[id].processor - before[id].processor
	}
	if n == 0 {
		return nil
	}
	_, err := fmt.Fprintf(out, "part=idle role=%s processes=%d of=%d core_percent=%.2f resident_mb=%.1f bytes_per_s=%d\n",
		role, n, len(c.Nodes), 100*processor.Seconds()/idleSpan.Seconds()/float64(n), float64(memory)/float64(n)/(1<<20),
		bytes/n/int64(idleSpan.Seconds()))
	return err
}
