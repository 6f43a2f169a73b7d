package conf

import (
	"fmt"
	"slices"
	"strings"

	mn "mustardnotch"
)

// PlanChange returns the change that makes v contain the declared resources and
// none of the resources named by remove. Resources that v already contains as
// declared are left out.
func PlanChange(v *mn.View, declared []Declaration, remove []mn.ResourceName) (mn.Change, error) {
	var c mn.Change
	for _, d := range declared {
		name := d.Resource.Name()
		current := v.Resources[name]
		if current.Version != 0 && len(differences(current.Resource, d.Resource)) == 0 {
			continue
		}
		e := mn.Edit{Name: name, Base: current.Version, Set: &d.Resource}
		if d.HasBase {
			e.Base = d.Base
		}
		c.Edits = append(c.Edits, e)
	}
	for _, name := range remove {
		current, ok := v.Resources[name]
		if !ok {
			return c, mn.Errorf(mn.BadResource, "%s is not declared, so it can't be removed", name)
		}
		c.Edits = append(c.Edits, mn.Edit{Name: name, Base: current.Version})
	}
	slices.SortStableFunc(c.Edits, func(a, b mn.Edit) int { return compareNames(a.Name, b.Name) })
	return c, nil
}

// DescribeChange describes each edit of c relative to v in one line.
func DescribeChange(v *mn.View, c mn.Change) []string {
	var lines []string
	for _, e := range c.Edits {
		lines = append(lines, describeEdit(v, e))
	}
	return lines
}

func describeEdit(v *mn.View, e mn.Edit) string {
	current, ok := v.Resources[e.Name]
	switch {
	case e.Set == nil:
		return fmt.Sprintf("remove %s", e.Name)
	case !ok:
		empty, _ := newResource(e.Name)
		return fmt.Sprintf("add %s: %s", e.Name, strings.Join(differences(empty, *e.Set), ", "))
	default:
		return fmt.Sprintf("change %s: %s", e.Name, strings.Join(differences(current.Resource, *e.Set), ", "))
	}
}

// differences lists the fields in which two resources of one name differ.
func differences(a, b mn.Resource) []string {
	empty, _ := newResource(b.Name())
	var all []string
	for _, f := range fieldsByKind[b.Name().Kind] {
		from, to := f.format(&a), f.format(&b)
		switch {
		case from == to:
		case from == f.format(&empty):
			all = append(all, fmt.Sprintf("%s = %s", f.name, to))
		default:
			all = append(all, fmt.Sprintf("%s %s -> %s", f.name, from, to))
		}
	}
	return all
}
