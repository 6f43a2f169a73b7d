package conf

import (
	"fmt"
	"strconv"
	"strings"

	"gopkg.in/ini.v1"

	mn "mustardnotch"
)

// baseField is the field that holds the version on which a section is based.
const baseField = "base"

// noChildSections is a delimiter that no section name contains, so that no
// section inherits from another.
const noChildSections = "\x00"

// Declaration is one section of a resource file.
type Declaration struct {
	Resource mn.Resource
	// HasBase reports whether the section states the version on which it is
	// based, Base.
	HasBase bool
	Base    mn.Offset
}

// ParseResources parses a resource file. Errors have code [mn.BadResource] and
// state the file, the section, the field and the expected value.
func ParseResources(file string, data []byte) ([]Declaration, error) {
	f, err := ini.LoadSources(ini.LoadOptions{
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		AllowNonUniqueSections:     true,
		IgnoreContinuation:         true,
		SpaceBeforeInlineComment:   true,
		ChildSectionDelimiter:      noChildSections,
		KeyValueDelimiters:         "=",
	}, data)
	if err != nil {
		return nil, mn.Errorf(mn.BadResource, "%s: %w", file, err)
	}
	var all []Declaration
	seen := map[mn.ResourceName]bool{}
	for _, s := range f.Sections() {
		if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
			continue
		}
		d, err := parseSection(s)
		if err != nil {
			return nil, mn.Errorf(mn.BadResource, "%s: section [%s]: %w", file, s.Name(), err)
		}
		name := d.Resource.Name()
		if seen[name] {
			return nil, mn.Errorf(mn.BadResource, "%s: section [%s] appears twice", file, s.Name())
		}
		seen[name] = true
		all = append(all, d)
	}
	return all, nil
}

func parseSection(s *ini.Section) (Declaration, error) {
	name, err := ParseName(s.Name())
	if err != nil {
		return Declaration{}, err
	}
	r, _ := newResource(name)
	d := Declaration{Resource: r}
	for _, k := range s.Keys() {
		if n := len(k.ValueWithShadows()); n > 1 {
			return d, fmt.Errorf("%s: given %d times, want once", k.Name(), n)
		}
		if err := setField(&d, name.Kind, k.Name(), k.Value()); err != nil {
			return d, err
		}
	}
	for _, f := range fieldsByKind[name.Kind] {
		if f.required && !s.HasKey(f.name) {
			return d, fmt.Errorf("%s: missing, want %s", f.name, f.want)
		}
	}
	return d, checkPool(r.Pool)
}

// ParseName parses the name of a resource as it appears in a section header,
// "KIND NAME".
func ParseName(s string) (mn.ResourceName, error) {
	kind, name, _ := strings.Cut(s, " ")
	n := mn.ResourceName{Kind: mn.ResourceKind(kind), Name: name}
	if _, ok := newResource(n); !ok {
		return n, fmt.Errorf("kind %q: want customer, key, model or pool, then a space and the name", kind)
	}
	if !namePattern.MatchString(name) {
		return n, fmt.Errorf("name %q: want %s", name, nameFormat)
	}
	return n, nil
}

func setField(d *Declaration, kind mn.ResourceKind, name, value string) error {
	if name == baseField {
		return setBase(d, value)
	}
	for _, f := range fieldsByKind[kind] {
		if f.name != name {
			continue
		}
		if !f.parse(&d.Resource, value) {
			return fmt.Errorf("%s = %q: want %s", name, value, f.want)
		}
		return nil
	}
	return fmt.Errorf("%s: unknown, want one of %s", name, fieldNames(kind))
}

func setBase(d *Declaration, value string) error {
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil || n < 0 {
		return fmt.Errorf("%s = %q: want the version printed by get", baseField, value)
	}
	d.HasBase = true
	d.Base = mn.Offset(n)
	return nil
}

func fieldNames(kind mn.ResourceKind) string {
	var names []string
	for _, f := range fieldsByKind[kind] {
		names = append(names, f.name)
	}
	return strings.Join(append(names, baseField), ", ")
}

func checkPool(p *mn.Pool) error {
	switch {
	case p == nil:
		return nil
	case p.Kind == mn.PoolModel && p.Model == "":
		return fmt.Errorf("model: missing, want the name of the model that a pool of kind model serves")
	case p.Kind == mn.PoolPlain && p.Model != "":
		return fmt.Errorf("model = %q: want none in a pool of kind plain", p.Model)
	case p.MaxEndpoints != 0 && p.MinEndpoints > p.MaxEndpoints:
		return fmt.Errorf("min_endpoints = %d: want at most max_endpoints, %d", p.MinEndpoints, p.MaxEndpoints)
	}
	return nil
}

// CheckResource makes the checks of [ParseResources] on a resource that did not
// come from a file.
func CheckResource(r mn.Resource) error {
	_, err := ParseResources("resource", PrintResources([]mn.Versioned{{Resource: r}}))
	return err
}

// PrintResources formats resources as a file that [ParseResources] accepts.
func PrintResources(resources []mn.Versioned) []byte {
	var b strings.Builder
	for i, r := range resources {
		if i > 0 {
			b.WriteString("\n")
		}
		name := r.Resource.Name()
		fmt.Fprintf(&b, "[%s]\n", name)
		if r.Version != 0 {
			fmt.Fprintf(&b, "%s = %d\n", baseField, r.Version)
		}
		empty, _ := newResource(name)
		for _, f := range fieldsByKind[name.Kind] {
			if v := f.format(&r.Resource); f.required || v != f.format(&empty) {
				fmt.Fprintf(&b, "%s = %s\n", f.name, v)
			}
		}
	}
	return []byte(b.String())
}
