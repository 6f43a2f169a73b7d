// Package setup reads and checks the INI settings of the system's processes.
package setup

import (
	"fmt"
	"net/netip"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	mn "mustardnotch"
)

// Settings holds the settings of an entry or an agent.
type Settings struct {
	// File is the path of the settings file, for errors.
	File string

	VM         mn.VMID
	DataCentre mn.DataCentre

	// CallerAddr, OperatorAddr, PeerAddr and DebugAddr are listening addresses,
	// ip:port.
	CallerAddr   string
	OperatorAddr string
	PeerAddr     string
	DebugAddr    string
	// AdvertisedAddr is the address at which peers reach the process. It differs
	// from PeerAddr only if a forwarder lies between.
	AdvertisedAddr string

	// PlatformURL is the base URL of the platform's service.
	PlatformURL string
	// EntryAddrs are peer addresses of the entries that the process may contact
	// while its roster names no other process.
	EntryAddrs []string

	// Pool, Kind and EndpointURL describe the endpoint that an agent manages.
	Pool        mn.PoolID
	Kind        mn.PoolKind
	EndpointURL string
	// MaxRunning bounds the requests that run at the endpoint at the same time.
	MaxRunning int64

	// OperatorToken is the bearer token of operators.
	OperatorToken string

	// TraceExporter is "none", "file" or "otlp". TraceOutput is the file or the URL
	// that it writes to.
	TraceExporter string
	TraceOutput   string

	// DrainTimeout bounds how long a stopping process waits for open requests.
	DrainTimeout mn.Millis
	// LeaseTTL is the time to live of the control lease.
	LeaseTTL mn.Millis
	// RolePolicy is "declared" for engines that keep their declared roles, or
	// "demand" for roles that follow the mix of prefill and decode work.
	RolePolicy string
	// UsageWindow is the length of a usage window.
	UsageWindow mn.Millis
	// Router is "cost" or, as a baseline, "round_robin".
	Router string
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int64
}

// setting describes one name of the settings file: the roles that read it, the
// format of its value and how to store it.
type setting struct {
	section, name string
	roles         []mn.Role
	required      bool
	defaultValue  string
	format        string
	set           func(s *Settings, value string) error
}

var bothRoles = []mn.Role{mn.RoleEntry, mn.RoleAgent}
var entryOnly = []mn.Role{mn.RoleEntry}
var agentOnly = []mn.Role{mn.RoleAgent}

const (
	formatAddr     = "an IP address and port such as 10.0.0.1:7001"
	formatURL      = "a URL such as http://10.0.0.1:7100"
	formatName     = "a name of letters, digits, '.', '_' and '-'"
	formatDuration = "a duration such as 1500ms or 30s"
)

var settingsTable = []setting{
	{"process", "vm", bothRoles, true, "", formatName, func(s *Settings, v string) error { s.VM = mn.VMID(v); return checkName(v) }},
	{"process", "data_centre", bothRoles, true, "", formatName, func(s *Settings, v string) error { s.DataCentre = mn.DataCentre(v); return checkName(v) }},
	{"process", "drain", bothRoles, false, "30s", formatDuration, func(s *Settings, v string) error { return parseDuration(v, &s.DrainTimeout) }},
	{"listen", "callers", entryOnly, true, "", formatAddr, func(s *Settings, v string) error { s.CallerAddr = v; return checkAddr(v) }},
	{"listen", "operators", entryOnly, true, "", formatAddr, func(s *Settings, v string) error { s.OperatorAddr = v; return checkAddr(v) }},
	{"listen", "peers", bothRoles, true, "", formatAddr, func(s *Settings, v string) error { s.PeerAddr = v; return checkAddr(v) }},
	{"listen", "advertise", bothRoles, false, "", formatAddr, func(s *Settings, v string) error { s.AdvertisedAddr = v; return checkAddr(v) }},
	{"listen", "debug", bothRoles, true, "", formatAddr, func(s *Settings, v string) error { s.DebugAddr = v; return checkAddr(v) }},
	{"listen", "max_body", entryOnly, false, "4194304", "a number of bytes from 1 to 1073741824", func(s *Settings, v string) error { return parseCount(v, 1, 1<<30, &s.MaxBodyBytes) }},
	{"platform", "url", bothRoles, true, "", formatURL, func(s *Settings, v string) error { s.PlatformURL = v; return checkURL(v) }},
	{"peers", "entries", bothRoles, false, "", "IP addresses and ports, separated by commas", parseEntries},
	{"endpoint", "pool", agentOnly, true, "", formatName, func(s *Settings, v string) error { s.Pool = mn.PoolID(v); return checkName(v) }},
	{"endpoint", "kind", agentOnly, true, "", "model or plain", func(s *Settings, v string) error {
		s.Kind = mn.PoolKind(v)
		return checkOneOf(v, string(mn.PoolModel), string(mn.PoolPlain))
	}},
	{"endpoint", "url", agentOnly, true, "", formatURL, func(s *Settings, v string) error { s.EndpointURL = v; return checkURL(v) }},
	{"endpoint", "running", agentOnly, false, "32", "a number of requests from 1 to 4096", func(s *Settings, v string) error { return parseCount(v, 1, 4096, &s.MaxRunning) }},
	{"operators", "token", entryOnly, true, "", "a token of at least 16 characters", parseToken},
	{"control", "lease", entryOnly, false, "3s", formatDuration, func(s *Settings, v string) error { return parseDuration(v, &s.LeaseTTL) }},
	{"control", "roles", entryOnly, false, "declared", "declared or demand", func(s *Settings, v string) error {
		s.RolePolicy = v
		return checkOneOf(v, "declared", "demand")
	}},
	{"control", "usage_window", entryOnly, false, "60s", formatDuration, func(s *Settings, v string) error { return parseDuration(v, &s.UsageWindow) }},
	{"routing", "router", entryOnly, false, "cost", "cost or round_robin", func(s *Settings, v string) error {
		s.Router = v
		return checkOneOf(v, "cost", "round_robin")
	}},
	{"trace", "exporter", bothRoles, false, "none", "none, file or otlp", func(s *Settings, v string) error {
		s.TraceExporter = v
		return checkOneOf(v, "none", "file", "otlp")
	}},
	{"trace", "target", bothRoles, false, "", "a file name, or a URL for otlp", func(s *Settings, v string) error { s.TraceOutput = v; return nil }},
}

// Load reads the settings of a process with the given role from the file at path.
// Its error lists every fault found, each with file, section and name.
func Load(path string, role mn.Role) (*Settings, error) {
	f, err := ini.LoadSources(ini.LoadOptions{SkipUnrecognizableLines: false, AllowShadows: true}, path)
	if err != nil {
		return nil, mn.Errorf(mn.BadSetting, "%s: %w", path, err)
	}
	return parse(path, f, role)
}

// Parse reads settings from data. The path is only used in errors.
func Parse(path string, data []byte, role mn.Role) (*Settings, error) {
	f, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true}, data)
	if err != nil {
		return nil, mn.Errorf(mn.BadSetting, "%s: %w", path, err)
	}
	return parse(path, f, role)
}

func parse(path string, f *ini.File, role mn.Role) (*Settings, error) {
	s := &Settings{File: path}
	faults := unknownNames(path, f, role)
	for _, d := range settingsTable {
		if !hasRole(d.roles, role) {
			continue
		}
		if err := setField(s, f, d); err != nil {
			faults = append(faults, fmt.Sprintf("%s: [%s] %s: %v", path, d.section, d.name, err))
		}
	}
	if s.AdvertisedAddr == "" {
		s.AdvertisedAddr = s.PeerAddr
	}
	faults = append(faults, s.addressConflicts()...)
	if s.TraceExporter != "none" && s.TraceOutput == "" {
		faults = append(faults, fmt.Sprintf("%s: [trace] target: missing, required by exporter %q", path, s.TraceExporter))
	}
	if len(faults) > 0 {
		return nil, mn.Errorf(mn.BadSetting, "%s", strings.Join(faults, "; "))
	}
	return s, nil
}

func setField(s *Settings, f *ini.File, d setting) error {
	k, err := f.Section(d.section).GetKey(d.name)
	if err != nil {
		if d.required {
			return fmt.Errorf("missing, want %s", d.format)
		}
		if d.defaultValue == "" {
			return nil
		}
		return d.set(s, d.defaultValue)
	}
	if len(k.ValueWithShadows()) > 1 {
		return fmt.Errorf("given %d times, want it only once", len(k.ValueWithShadows()))
	}
	if err := d.set(s, k.Value()); err != nil {
		return fmt.Errorf("%q: %w, want %s", k.Value(), err, d.format)
	}
	return nil
}

func unknownNames(path string, f *ini.File, role mn.Role) []string {
	known := map[string]bool{}
	sections := map[string]bool{}
	for _, d := range settingsTable {
		if hasRole(d.roles, role) {
			known[d.section+"."+d.name] = true
			sections[d.section] = true
		}
	}
	var faults []string
	for _, section := range f.Sections() {
		if section.Name() == ini.DefaultSection {
			for _, k := range section.Keys() {
				faults = append(faults, fmt.Sprintf("%s: %s: found before the first section", path, k.Name()))
			}
			continue
		}
		if !sections[section.Name()] {
			faults = append(faults, fmt.Sprintf("%s: [%s]: unknown section for %s, want one of %s", path, section.Name(), role, sortedNames(sections)))
			continue
		}
		for _, k := range section.Keys() {
			if !known[section.Name()+"."+k.Name()] {
				faults = append(faults, fmt.Sprintf("%s: [%s] %s: unknown name", path, section.Name(), k.Name()))
			}
		}
	}
	return faults
}

func sortedNames(set map[string]bool) string {
	var out []string
	for n := range set {
		out = append(out, n)
	}
	sort.Strings(out)
	return strings.Join(out, ", ")
}

// listenAddresses returns pairs of a setting's name and the listening address that
// it sets.
func (s *Settings) listenAddresses() [][2]string {
	all := [][2]string{{"callers", s.CallerAddr}, {"operators", s.OperatorAddr}, {"peers", s.PeerAddr}, {"debug", s.DebugAddr}}
	var set [][2]string
	for _, a := range all {
		if a[1] != "" {
			set = append(set, a)
		}
	}
	return set
}

func (s *Settings) addressConflicts() []string {
	var faults []string
	used := map[string]string{}
	for _, a := range s.listenAddresses() {
		if other, ok := used[a[1]]; ok {
			faults = append(faults, fmt.Sprintf("%s: [listen] %s: address %s is also used for %s", s.File, a[0], a[1], other))
		}
		used[a[1]] = a[0]
	}
	return faults
}

// CheckConflicts returns an error if two processes have the same VM name or the same
// listening address.
func CheckConflicts(all []*Settings) error {
	var faults []string
	addrs := map[string]string{}
	vms := map[mn.VMID]string{}
	for _, s := range all {
		if other, ok := vms[s.VM]; ok {
			faults = append(faults, fmt.Sprintf("%s: [process] vm: %s is also used by %s", s.File, s.VM, other))
		}
		vms[s.VM] = s.File
		for _, a := range s.listenAddresses() {
			if other, ok := addrs[a[1]]; ok {
				faults = append(faults, fmt.Sprintf("%s: [listen] %s: address %s is also used by %s", s.File, a[0], a[1], other))
			}
			addrs[a[1]] = s.File
		}
	}
	if len(faults) == 0 {
		return nil
	}
	return mn.Errorf(mn.BadSetting, "%s", strings.Join(faults, "; "))
}

func hasRole(roles []mn.Role, role mn.Role) bool {
	for _, r := range roles {
		if r == role {
			return true
		}
	}
	return false
}

func checkName(v string) error {
	if v == "" || len(v) > 64 {
		return fmt.Errorf("has %d characters, allowed are 1 to 64", len(v))
	}
	for _, c := range v {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if !letter && !(c >= '0' && c <= '9') && !strings.ContainsRune("._-", c) {
			return fmt.Errorf("character %q is not allowed", c)
		}
	}
	return nil
}

func checkAddr(v string) error {
	a, err := netip.ParseAddrPort(v)
	if err != nil {
		return err
	}
	if a.Port() == 0 {
		return fmt.Errorf("port is 0")
	}
	return nil
}

func checkURL(v string) error {
	u, err := url.Parse(v)
	if err != nil {
		return err
	}
	if u.Scheme != "http" && u.Scheme != "https" {
		return fmt.Errorf("scheme is %q", u.Scheme)
	}
	return checkAddr(u.Host)
}

func checkOneOf(v string, allowed ...string) error {
	for _, a := range allowed {
		if v == a {
			return nil
		}
	}
	return fmt.Errorf("not one of %s", strings.Join(allowed, ", "))
}

func parseDuration(v string, into *mn.Millis) error {
	d, err := time.ParseDuration(v)
	if err != nil {
		return fmt.Errorf("not a duration with a unit")
	}
	if d < time.Millisecond {
		return fmt.Errorf("shorter than 1ms")
	}
	*into = mn.MillisOf(d)
	return nil
}

func parseCount(v string, low, high int64, into *int64) error {
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil {
		return fmt.Errorf("not a whole number")
	}
	if n < low || n > high {
		return fmt.Errorf("not between %d and %d", low, high)
	}
	*into = n
	return nil
}

func parseToken(s *Settings, v string) error {
	if len(v) < 16 {
		return fmt.Errorf("has %d characters", len(v))
	}
	s.OperatorToken = v
	return nil
}

func parseEntries(s *Settings, v string) error {
	for _, a := range strings.Split(v, ",") {
		a = strings.TrimSpace(a)
		if a == "" {
			continue
		}
		if err := checkAddr(a); err != nil {
			return err
		}
		s.EntryAddrs = append(s.EntryAddrs, a)
	}
	return nil
}
