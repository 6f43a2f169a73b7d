package load

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	mn "mustardnotch"
)

// Bounds of a workload.
const (
	maxSpan   = mn.Hour
	maxRate   = 5000
	maxTokens = 200_000
)

// Load reads the workload in the file at path.
func Load(path string) (*Workload, error) {
	f, err := ini.Load(path)
	if err != nil {
		return nil, mn.Errorf(mn.BadSetting, "%s: %w", path, err)
	}
	return parse(path, f)
}

// Parse reads a workload from data; path only names it in errors. Sections are
// [load], and [kind NAME], [customer NAME] and [phase NAME] at least once each.
// Its error names every fault with file, section and name.
func Parse(path string, data []byte) (*Workload, error) {
	f, err := ini.Load(data)
	if err != nil {
		return nil, mn.Errorf(mn.BadSetting, "%s: %w", path, err)
	}
	return parse(path, f)
}

func parse(path string, f *ini.File) (*Workload, error) {
	s := &Workload{File: path}
	var faults []string
	for _, sec := range f.Sections() {
		r := &reader{path: path, section: sec, used: map[string]bool{}}
		what, name, _ := strings.Cut(sec.Name(), " ")
		switch {
		case sec.Name() == ini.DefaultSection:
		case what == "load" && name == "":
			s.readLoad(r)
		case what == "kind" && name != "":
			s.Kinds = append(s.Kinds, readKind(r, name))
		case what == "customer" && name != "":
			s.Customers = append(s.Customers, readCustomer(r, name))
		case what == "phase" && name != "":
			s.Phases = append(s.Phases, readPhase(r, name))
		default:
			r.fault("", "unknown section, want [load], [kind NAME], [customer NAME] or [phase NAME]")
		}
		r.unknown()
		faults = append(faults, r.faults...)
	}
	faults = append(faults, s.check()...)
	if len(faults) > 0 {
		return nil, mn.Errorf(mn.BadSetting, "%s", strings.Join(faults, "; "))
	}
	return s, nil
}

func (s *Workload) readLoad(r *reader) {
	s.Seed = uint64(r.number("seed", 1, 0, 1<<62))
	s.DrainTimeout = r.span("drain", 20*mn.Second)
	s.Entries = r.list("entries")
	s.Engines = r.list("engines")
	s.Model = mn.ModelID(r.text("model", ""))
	s.Pool = mn.PoolID(r.text("pool", ""))
	s.MaxOpen = int64(r.number("max_open", 4000, 1, 100_000))
	s.ClientDelay = r.span("client_delay", 0)
}

func readKind(r *reader, name string) Kind {
	return Kind{
		Name:         name,
		PromptTokens: int64(r.number("prompt_tokens", -1, 1, maxTokens)),
		OutputTokens: int64(r.number("output_tokens", -1, 1, maxTokens)),
		Spread:       r.number("spread", 0, 0, 3),
		PrefixTokens: int64(r.number("prefix_tokens", 0, 0, maxTokens)),
		PrefixCount:  int64(r.number("prefixes", 1, 1, 100_000)),
		Deadline:     r.span("deadline", -1),
	}
}

func readCustomer(r *reader, name string) Customer {
	c := Customer{
		ID:           mn.CustomerID(name),
		Key:          r.text("key", ""),
		Rate:         r.number("rate", -1, 0.001, maxRate),
		RateMultiple: r.number("times", 1, 0, 100),
		BookingShare: r.number("bookings", 0, 0, 1),
	}
	c.Burst = r.number("burst", max(c.Rate, 1), 1, 10*maxRate)
	return c
}

func readPhase(r *reader, name string) Phase {
	return Phase{
		Name:        name,
		Duration:    r.span("span", -1),
		RateFactor:  r.number("factor", 1, 0, 100),
		KindWeights: r.weights("mix"),
	}
}

// check finds faults between sections.
func (s *Workload) check() []string {
	var faults []string
	bad := func(format string, args ...any) { faults = append(faults, s.File+": "+fmt.Sprintf(format, args...)) }
	if len(s.Kinds) == 0 || len(s.Customers) == 0 || len(s.Phases) == 0 {
		bad("want at least one [kind NAME], one [customer NAME] and one [phase NAME]")
	}
	kinds := make(map[string]bool)
	for _, k := range s.Kinds {
		kinds[k.Name] = true
	}
	for _, p := range s.Phases {
		for _, name := range sortedKeys(p.KindWeights) {
			if !kinds[name] {
				bad("[phase %s] mix: kind %q has no section [kind %s]", p.Name, name, name)
			}
		}
	}
	for _, c := range s.Customers {
		if c.BookingShare > 0 && s.Pool == "" {
			bad("[customer %s] bookings: [load] pool is missing", c.ID)
		}
	}
	if s.Duration() > maxSpan {
		bad("all phases together last %d ms, may last %d", s.Duration(), maxSpan)
	}
	return faults
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

// reader reads one section and gathers its faults.
type reader struct {
	path    string
	section *ini.Section
	used    map[string]bool
	faults  []string
}

func (r *reader) fault(name, format string, args ...any) {
	where := fmt.Sprintf("%s: [%s]", r.path, r.section.Name())
	if name != "" {
		where += " " + name
	}
	r.faults = append(r.faults, where+": "+fmt.Sprintf(format, args...))
}

// value returns the value of name. Without one it counts a fault if required.
func (r *reader) value(name string, required bool) (string, bool) {
	r.used[name] = true
	if !r.section.HasKey(name) {
		if required {
			r.fault(name, "missing")
		}
		return "", false
	}
	return r.section.Key(name).Value(), true
}

func (r *reader) text(name, fallback string) string {
	if v, ok := r.value(name, false); ok {
		return v
	}
	return fallback
}

func (r *reader) list(name string) []string {
	v, _ := r.value(name, false)
	return strings.FieldsFunc(v, func(c rune) bool { return c == ',' || c == ' ' })
}

// number returns a number from low to high; a negative fallback requires one.
func (r *reader) number(name string, fallback, low, high float64) float64 {
	v, ok := r.value(name, fallback < 0)
	if !ok {
		return fallback
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || !(n >= low && n <= high) {
		r.fault(name, "%q: want a number from %g to %g", v, low, high)
		return low
	}
	return n
}

// span returns a time; a negative fallback requires one.
func (r *reader) span(name string, fallback mn.Millis) mn.Millis {
	v, ok := r.value(name, fallback < 0)
	if !ok {
		return max(fallback, 0)
	}
	d, err := time.ParseDuration(v)
	if err != nil || d < 0 || mn.MillisOf(d) > maxSpan {
		r.fault(name, "%q: want a time with a unit such as 1500ms or 2m, at most 1h", v)
		return 0
	}
	return mn.MillisOf(d)
}

// weights returns names with their weights, as in "check:80, report:20".
func (r *reader) weights(name string) map[string]float64 {
	v, ok := r.value(name, true)
	if !ok {
		return nil
	}
	weights := make(map[string]float64)
	for _, part := range strings.Split(v, ",") {
		kind, text, ok := strings.Cut(strings.TrimSpace(part), ":")
		n, err := strconv.ParseFloat(text, 64)
		if !ok || err != nil || n <= 0 {
			r.fault(name, "%q: want kinds with weights above 0 such as check:80, report:20", v)
			return nil
		}
		weights[kind] = n
	}
	return weights
}

func (r *reader) unknown() {
	for _, k := range r.section.Keys() {
		if !r.used[k.Name()] {
			r.fault(k.Name(), "unknown name")
		}
	}
}
