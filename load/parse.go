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

// Limits of a workload.
const (
	maxDuration = mn.Hour
	maxRate     = 5000
	maxTokens   = 200_000
)

// Load reads the workload in the file at path.
func Load(path string) (*Workload, error) {
	f, err := ini.Load(path)
	if err != nil {
		return nil, mn.Errorf(mn.BadSetting, "%s: %w", path, err)
	}
	return parse(path, f)
}

// Parse reads a workload from data. The path is only used in errors. The sections
// are [load], and at least one each of [kind NAME], [customer NAME] and
// [phase NAME]. The error lists every fault found, each with file, section and name.
func Parse(path string, data []byte) (*Workload, error) {
	f, err := ini.Load(data)
	if err != nil {
		return nil, mn.Errorf(mn.BadSetting, "%s: %w", path, err)
	}
	return parse(path, f)
}

func parse(path string, f *ini.File) (*Workload, error) {
	w := &Workload{File: path}
	var faults []string
	for _, sec := range f.Sections() {
		r := &sectionReader{path: path, section: sec, used: map[string]bool{}}
		kind, name, _ := strings.Cut(sec.Name(), " ")
		switch {
		case sec.Name() == ini.DefaultSection:
		case kind == "load" && name == "":
			w.parseLoad(r)
		case kind == "kind" && name != "":
			w.Kinds = append(w.Kinds, parseKind(r, name))
		case kind == "customer" && name != "":
			w.Customers = append(w.Customers, parseCustomer(r, name))
		case kind == "phase" && name != "":
			w.Phases = append(w.Phases, parsePhase(r, name))
		default:
			r.addFault("", "unknown section, want [load], [kind NAME], [customer NAME] or [phase NAME]")
		}
		r.addUnknownNames()
		faults = append(faults, r.faults...)
	}
	faults = append(faults, w.check()...)
	if len(faults) > 0 {
		return nil, mn.Errorf(mn.BadSetting, "%s", strings.Join(faults, "; "))
	}
	return w, nil
}

func (w *Workload) parseLoad(r *sectionReader) {
	w.Seed = uint64(r.number("seed", 1, 0, 1<<62))
	w.DrainTimeout = r.duration("drain", 20*mn.Second)
	w.Entries = r.list("entries")
	w.Engines = r.list("engines")
	w.Model = mn.ModelID(r.str("model", ""))
	w.Pool = mn.PoolID(r.str("pool", ""))
	w.MaxOpen = int64(r.number("max_open", 4000, 1, 100_000))
	w.ClientDelay = r.duration("client_delay", 0)
}

func parseKind(r *sectionReader, name string) Kind {
	return Kind{
		Name:         name,
		PromptTokens: int64(r.number("prompt_tokens", -1, 1, maxTokens)),
		OutputTokens: int64(r.number("output_tokens", -1, 1, maxTokens)),
		Spread:       r.number("spread", 0, 0, 3),
		PrefixTokens: int64(r.number("prefix_tokens", 0, 0, maxTokens)),
		PrefixCount:  int64(r.number("prefixes", 1, 1, 100_000)),
		Deadline:     r.duration("deadline", -1),
	}
}

func parseCustomer(r *sectionReader, name string) Customer {
	c := Customer{
		ID:           mn.CustomerID(name),
		Key:          r.str("key", ""),
		Rate:         r.number("rate", -1, 0.001, maxRate),
		RateMultiple: r.number("times", 1, 0, 100),
		BookingShare: r.number("bookings", 0, 0, 1),
	}
	c.Burst = r.number("burst", max(c.Rate, 1), 1, 10*maxRate)
	return c
}

func parsePhase(r *sectionReader, name string) Phase {
	return Phase{
		Name:        name,
		Duration:    r.duration("span", -1),
		RateFactor:  r.number("factor", 1, 0, 100),
		KindWeights: r.weights("mix"),
	}
}

// check returns the faults that concern several sections.
func (w *Workload) check() []string {
	var faults []string
	addFault := func(format string, args ...any) { faults = append(faults, w.File+": "+fmt.Sprintf(format, args...)) }
	if len(w.Kinds) == 0 || len(w.Customers) == 0 || len(w.Phases) == 0 {
		addFault("want at least one [kind NAME], one [customer NAME] and one [phase NAME]")
	}
	kinds := make(map[string]bool)
	for _, k := range w.Kinds {
		kinds[k.Name] = true
	}
	for _, p := range w.Phases {
		for _, name := range sortedKeys(p.KindWeights) {
			if !kinds[name] {
				addFault("[phase %s] mix: kind %q has no section [kind %s]", p.Name, name, name)
			}
		}
	}
	for _, c := range w.Customers {
		if c.BookingShare > 0 && w.Pool == "" {
			addFault("[customer %s] bookings: [load] pool is missing", c.ID)
		}
	}
	if w.Duration() > maxDuration {
		addFault("the phases take %d ms in total, allowed are %d ms", w.Duration(), maxDuration)
	}
	return faults
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

// sectionReader reads one section and collects its faults.
type sectionReader struct {
	path    string
	section *ini.Section
	used    map[string]bool
	faults  []string
}

func (r *sectionReader) addFault(name, format string, args ...any) {
	where := fmt.Sprintf("%s: [%s]", r.path, r.section.Name())
	if name != "" {
		where += " " + name
	}
	r.faults = append(r.faults, where+": "+fmt.Sprintf(format, args...))
}

// value returns the value of name and reports whether the section has one. A
// missing value is a fault if required is set.
func (r *sectionReader) value(name string, required bool) (string, bool) {
	r.used[name] = true
	if !r.section.HasKey(name) {
		if required {
			r.addFault(name, "missing")
		}
		return "", false
	}
	return r.section.Key(name).Value(), true
}

func (r *sectionReader) str(name, fallback string) string {
	if v, ok := r.value(name, false); ok {
		return v
	}
	return fallback
}

func (r *sectionReader) list(name string) []string {
	v, _ := r.value(name, false)
	return strings.FieldsFunc(v, func(c rune) bool { return c == ',' || c == ' ' })
}

// number returns a number from low to high, or the fallback if the section has
// none. With a negative fallback the value is required.
func (r *sectionReader) number(name string, fallback, low, high float64) float64 {
	v, ok := r.value(name, fallback < 0)
	if !ok {
		return fallback
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || !(n >= low && n <= high) {
		r.addFault(name, "%q: want a number from %g to %g", v, low, high)
		return low
	}
	return n
}

// duration returns a duration, or the fallback if the section has none. With a
// negative fallback the value is required.
func (r *sectionReader) duration(name string, fallback mn.Millis) mn.Millis {
	v, ok := r.value(name, fallback < 0)
	if !ok {
		return max(fallback, 0)
	}
	d, err := time.ParseDuration(v)
	if err != nil || d < 0 || mn.MillisOf(d) > maxDuration {
		r.addFault(name, "%q: want a duration with a unit such as 1500ms or 2m, at most 1h", v)
		return 0
	}
	return mn.MillisOf(d)
}

// weights returns weights by name, which are written as in "check:80, report:20".
func (r *sectionReader) weights(name string) map[string]float64 {
	v, ok := r.value(name, true)
	if !ok {
		return nil
	}
	weights := make(map[string]float64)
	for _, part := range strings.Split(v, ",") {
		kind, text, ok := strings.Cut(strings.TrimSpace(part), ":")
		n, err := strconv.ParseFloat(text, 64)
		if !ok || err != nil || n <= 0 {
			r.addFault(name, "%q: want kinds with weights above 0 such as check:80, report:20", v)
			return nil
		}
		weights[kind] = n
	}
	return weights
}

func (r *sectionReader) addUnknownNames() {
	for _, k := range r.section.Keys() {
		if !r.used[k.Name()] {
			r.addFault(k.Name(), "unknown name")
		}
	}
}
