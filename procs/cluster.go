package procs

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"time"

	mn "mustardnotch"
	"mustardnotch/io/caller"
	"mustardnotch/io/plat"
)

// Ports of the processes. They are the same for all nodes, as each node has its
// own address.
const (
	reservePort      = 6999
	callerPort       = 7001
	operatorPort     = 7002
	peerPort         = 7003
	debugPort        = 7004
	standInPort      = 7100
	peerLinkPort     = 7013
	platformLinkPort = 7110
)

// OperatorToken is the operator token of every cluster.
const OperatorToken = "operators-token-of-tests"

// startTimeout is how long a process may take to become ready.
const startTimeout = 15 * mn.Second

// Node is one VM with its process and, for an agent, the endpoint's process.
type Node struct {
	VM       mn.VM
	IP       string
	Proc     *Proc
	Endpoint *Proc
	// RunsFile is the file in which a plain service records its runs.
	RunsFile string
	// PeerLink carries connections from peers to the process, PlatformLink those
	// from the process to the platform. Both are nil unless the cluster uses links.
	PeerLink     *Link
	PlatformLink *Link
	// settingsFile is the path of the process's settings.
	settingsFile string
	kind         mn.PoolKind
	model        mn.ModelID
	engineArgs   []string
}

// CallerURL returns the base URL of an entry's caller API.
func (n *Node) CallerURL() string { return fmt.Sprintf("http://%s:%d", n.IP, callerPort) }

// OperatorURL returns the base URL of an entry's operator API.
func (n *Node) OperatorURL() string { return fmt.Sprintf("http://%s:%d", n.IP, operatorPort) }

// DebugURL returns the base URL of the process's metrics and readiness.
func (n *Node) DebugURL() string { return fmt.Sprintf("http://%s:%d", n.IP, debugPort) }

// EndpointURL returns the base URL of an agent's endpoint.
func (n *Node) EndpointURL() string { return fmt.Sprintf("http://%s:%d", n.IP, standInPort) }

// Cluster is a set of processes on a separate loopback subnet.
type Cluster struct {
	// Bin is the directory of the programs mustardnotch and fakes.
	Bin string
	// Dir is the directory for settings and output.
	Dir string
	// Platform is the process of the platform stand-in.
	Platform *Proc
	Nodes    map[mn.VMID]*Node
	// ExtraSettings is added to the settings of every node added from now on.
	ExtraSettings string
	// ExtraEntrySettings is appended to the settings of entries added from now on.
	ExtraEntrySettings string
	// EngineArgs, if set, are the arguments of the program fakes for model
	// engines added from now on, except --model and --listen.
	EngineArgs []string
	// MaxRunning, if set, limits the running requests at each endpoint added from
	// now on.
	MaxRunning int
	// UseLinks routes connections from peers and to the platform through links for
	// every node added from now on, so that Isolate can partition it.
	UseLinks bool

	subnetListener net.Listener
	subnet         string
	lastHost       int
	vms            []mn.VM
}

// New returns a cluster with a running platform stand-in and no nodes. It runs the
// programs in bin and writes settings and output to dir.
func New(bin, dir string) (*Cluster, error) {
	c := &Cluster{Bin: bin, Dir: dir, Nodes: map[mn.VMID]*Node{}}
	if err := c.reserveSubnet(); err != nil {
		return nil, err
	}
	p, err := Start(dir, "platform", filepath.Join(bin, "fakes"), "platform", "--listen", c.platformAddr())
	if err != nil {
		return nil, err
	}
	c.Platform = p
	return c, c.awaitAnswer("platform", c.PlatformURL()+"/vms", p)
}

// reserveSubnet picks a random loopback subnet and reserves it against other
// clusters on the machine by listening on reservePort of its first address.
func (c *Cluster) reserveSubnet() error {
	for range 64 {
		subnet := fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), 1+rand.IntN(250))
		l, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", subnet, reservePort))
		if err != nil {
			continue
		}
		c.subnetListener = l
		c.subnet = subnet
		c.lastHost = 1
		return nil
	}
	return fmt.Errorf("no free loopback subnet found in 64 attempts")
}

func (c *Cluster) nextIP() string {
	c.lastHost++
	return fmt.Sprintf("%s.%d", c.subnet, c.lastHost)
}

func (c *Cluster) platformAddr() string { return fmt.Sprintf("%s.1:%d", c.subnet, standInPort) }

// PlatformURL returns the base URL of the platform stand-in.
func (c *Cluster) PlatformURL() string { return "http://" + c.platformAddr() }

// PlatformClient returns a client of the platform.
func (c *Cluster) PlatformClient() *plat.Client { return plat.New(c.PlatformURL()) }

// Close kills all processes, waits until they have exited, and closes all links.
func (c *Cluster) Close() {
	for _, n := range c.Nodes {
		for _, p := range []*Proc{n.Proc, n.Endpoint} {
			if p != nil {
				p.Kill()
			}
		}
		for _, l := range []*Link{n.PeerLink, n.PlatformLink} {
			if l != nil {
				l.Close()
			}
		}
	}
	if c.Platform != nil {
		c.Platform.Kill()
	}
	c.subnetListener.Close()
}

// AddEntry starts an entry and waits until it is ready.
func (c *Cluster) AddEntry(name string, dc mn.DataCentre) (*Node, error) {
	ip := c.nextIP()
	n := &Node{
		IP: ip,
		VM: mn.VM{ID: mn.VMID(name), State: mn.VMLive, Role: mn.RoleEntry, Addr: fmt.Sprintf("%s:%d", ip, peerPort), DataCentre: dc},
	}
	if err := c.addLinks(n); err != nil {
		return n, err
	}
	settings := c.commonSettings(n) + fmt.Sprintf("callers = %s:%d\noperators = %s:%d\n[operators]\ntoken = %s\n",
		ip, callerPort, ip, operatorPort, OperatorToken) + c.ExtraEntrySettings
	return n, c.launch(n, settings)
}

// AddEngine starts a model engine with its agent and waits until it is ready.
func (c *Cluster) AddEngine(name string, dc mn.DataCentre, pool mn.PoolID, model mn.ModelID) (*Node, error) {
	engine := []string{"engine"}
	if c.EngineArgs != nil {
		engine = c.EngineArgs
	}
	return c.addEndpoint(&Node{kind: mn.PoolModel, model: model, engineArgs: engine}, name, dc, pool)
}

// AddPlainService starts a plain service with its agent and waits until it is ready.
func (c *Cluster) AddPlainService(name string, dc mn.DataCentre, pool mn.PoolID) (*Node, error) {
	return c.addEndpoint(&Node{kind: mn.PoolPlain}, name, dc, pool)
}

func (c *Cluster) addEndpoint(n *Node, name string, dc mn.DataCentre, pool mn.PoolID) (*Node, error) {
	n.IP = c.nextIP()
	n.VM = mn.VM{ID: mn.VMID(name), State: mn.VMLive, Role: mn.RoleAgent, Addr: fmt.Sprintf("%s:%d", n.IP, peerPort), DataCentre: dc, Pool: pool}
	n.RunsFile = filepath.Join(c.Dir, name+".runs")
	if err := c.StartEndpoint(n); err != nil {
		return n, err
	}
	if err := c.addLinks(n); err != nil {
		return n, err
	}
	settings := c.commonSettings(n) + fmt.Sprintf("[endpoint]\npool = %s\nkind = %s\nurl = %s\n", pool, n.kind, n.EndpointURL())
	if c.MaxRunning > 0 {
		settings += fmt.Sprintf("running = %d\n", c.MaxRunning)
	}
	return n, c.launch(n, settings)
}

// StartEndpoint starts the endpoint of n and waits until it answers. It also
// restarts an endpoint that has exited.
func (c *Cluster) StartEndpoint(n *Node) error {
	args := []string{"plain", "--runs", n.RunsFile}
	if n.kind == mn.PoolModel {
		args = append(append([]string{}, n.engineArgs...), "--model", string(n.model))
	}
	args = append(args, "--listen", fmt.Sprintf("%s:%d", n.IP, standInPort))
	p, err := Start(c.Dir, string(n.VM.ID)+"-endpoint", filepath.Join(c.Bin, "fakes"), args...)
	if err != nil {
		return err
	}
	n.Endpoint = p
	return c.awaitAnswer(p.Name, n.EndpointURL(), p)
}

func (c *Cluster) addLinks(n *Node) error {
	if !c.UseLinks {
		return nil
	}
	n.VM.Addr = fmt.Sprintf("%s:%d", n.IP, peerLinkPort)
	var err error
	if n.PeerLink, err = NewLink(n.VM.Addr, fmt.Sprintf("%s:%d", n.IP, peerPort)); err != nil {
		return err
	}
	n.PlatformLink, err = NewLink(fmt.Sprintf("%s:%d", n.IP, platformLinkPort), c.platformAddr())
	return err
}

func (c *Cluster) commonSettings(n *Node) string {
	platform := c.PlatformURL()
	if n.PlatformLink != nil {
		platform = fmt.Sprintf("http://%s:%d", n.IP, platformLinkPort)
	}
	s := fmt.Sprintf("[process]\nvm = %s\ndata_centre = %s\n[platform]\nurl = %s\n", n.VM.ID, n.VM.DataCentre, platform)
	s += c.ExtraSettings
	var entries string
	for _, v := range c.vms {
		if v.Role == mn.RoleEntry {
			entries += v.Addr + ","
		}
	}
	if entries != "" {
		s += "[peers]\nentries = " + entries + "\n"
	}
	return s + fmt.Sprintf("[listen]\nadvertise = %s\npeers = %s:%d\ndebug = %s:%d\n", n.VM.Addr, n.IP, peerPort, n.IP, debugPort)
}

func (c *Cluster) launch(n *Node, settings string) error {
	c.Nodes[n.VM.ID] = n
	n.settingsFile = filepath.Join(c.Dir, string(n.VM.ID)+".ini")
	if err := os.WriteFile(n.settingsFile, []byte(settings), 0o644); err != nil {
		return err
	}
	c.vms = append(c.vms, n.VM)
	if err := c.SetVMs(c.vms); err != nil {
		return err
	}
	return c.Restart(n)
}

// Restart starts the process of n, which must not be running, and waits until it
// is ready.
func (c *Cluster) Restart(n *Node) error {
	if err := c.StartAsync(n); err != nil {
		return err
	}
	return c.awaitAnswer(n.Proc.Name, n.DebugURL()+"/ready", n.Proc)
}

// StartAsync starts the process of n without waiting until it is ready.
func (c *Cluster) StartAsync(n *Node) error {
	p, err := Start(c.Dir, string(n.VM.ID), filepath.Join(c.Bin, "mustardnotch"), string(n.VM.Role), "--settings", n.settingsFile)
	if err != nil {
		return err
	}
	n.Proc = p
	return nil
}

// Isolate partitions n from its peers, in both directions, and from the platform.
// It requires UseLinks.
func (c *Cluster) Isolate(n *Node) {
	n.PlatformLink.Partition()
	n.PeerLink.Partition()
	for _, o := range c.Nodes {
		if o != n {
			o.PeerLink.PartitionFrom(n.IP)
		}
	}
}

// Rejoin reverts Isolate.
func (c *Cluster) Rejoin(n *Node) {
	n.PlatformLink.Restore()
	n.PeerLink.Restore()
	for _, o := range c.Nodes {
		if o != n {
			o.PeerLink.RestoreFrom(n.IP)
		}
	}
}

// VMs returns a copy of the list of VMs that the cluster last wrote to the
// platform through AddEntry, AddEngine, AddPlainService or RemoveVM.
func (c *Cluster) VMs() []mn.VM { return append([]mn.VM(nil), c.vms...) }

// RemoveVM removes a VM from the platform's list. It doesn't stop its process.
func (c *Cluster) RemoveVM(id mn.VMID) error {
	var rest []mn.VM
	for _, v := range c.vms {
		if v.ID != id {
			rest = append(rest, v)
		}
	}
	c.vms = rest
	return c.SetVMs(rest)
}

// SetVMs replaces the platform's list of VMs.
func (c *Cluster) SetVMs(vms []mn.VM) error {
	data, err := json.Marshal(vms)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPut, c.PlatformURL()+"/admin/vms", bytes.NewReader(data))
	if err != nil {
		return err
	}
	return doRequest(req, nil)
}

// SetFault sets the value of a fault at the stand-in with base URL base.
func (c *Cluster) SetFault(base, name string, value int64) error {
	q := url.Values{"name": {name}, "value": {fmt.Sprint(value)}}
	req, err := http.NewRequest(http.MethodPost, base+"/fault?"+q.Encode(), nil)
	if err != nil {
		return err
	}
	return doRequest(req, nil)
}

// FetchJSON gets u and decodes the JSON answer into v.
func FetchJSON(u string, v any) error {
	req, err := http.NewRequest(http.MethodGet, u, nil)
	if err != nil {
		return err
	}
	return doRequest(req, v)
}

// doRequest sends req and, if v is not nil, decodes the JSON answer into v. Any
// status other than 200 is an error.
func doRequest(req *http.Request, v any) error {
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d: %s", req.URL, resp.StatusCode, body)
	}
	if v == nil {
		return nil
	}
	return json.Unmarshal(body, v)
}

// awaitAnswer waits until u answers with a status other than 503. It returns an
// error if p exits or startTimeout has passed.
func (c *Cluster) awaitAnswer(name, u string, p *Proc) error {
	deadline := time.Now().Add(startTimeout.Duration())
	for time.Now().Before(deadline) {
		if !p.Running() {
			return fmt.Errorf("%s exited: %s", name, p.Tail(2000))
		}
		resp, err := http.Get(u)
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode != http.StatusServiceUnavailable {
				return nil
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready after %d ms: %s", name, startTimeout, p.Tail(2000))
}

// Declare appends a change that creates resources.
func (c *Cluster) Declare(ctx context.Context, resources ...mn.Resource) (mn.Offset, error) {
	change := &mn.Change{}
	for _, r := range resources {
		change.Edits = append(change.Edits, mn.Edit{Name: r.Name(), Set: &r})
	}
	return c.Append(ctx, &mn.Record{Change: change})
}

// Append appends a record to the control stream with "operator" as its writer.
func (c *Cluster) Append(ctx context.Context, r *mn.Record) (mn.Offset, error) {
	r.Version = mn.RecordVersion
	r.ID = mn.NewRecordID()
	r.Writer = "operator"
	data, err := mn.EncodeRecord(r)
	if err != nil {
		return 0, err
	}
	return c.PlatformClient().Append(ctx, mn.ControlStream, data)
}

// CallerClient returns a client of entry n that presents key.
func (c *Cluster) CallerClient(n *Node, key string) *caller.Client {
	return caller.NewClient(n.CallerURL(), key)
}

// WithTemporaryCluster calls f with a new cluster whose output goes to a temporary
// directory. It closes the cluster and removes the directory when f returns.
func WithTemporaryCluster(bin string, f func(c *Cluster) error) error {
	dir, err := os.MkdirTemp("", "mustardnotch")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	c, err := New(bin, dir)
	if err != nil {
		return err
	}
	defer c.Close()
	return f(c)
}
