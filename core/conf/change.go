package conf

import (
	"maps"

	mn "mustardnotch"
)

// applyChange applies all edits of c to v, or none of them.
func applyChange(v *mn.View, off mn.Offset, c *mn.Change) *mn.Error {
	edited := map[mn.ResourceName]bool{}
	for _, e := range c.Edits {
		if edited[e.Name] {
			return mn.Errorf(mn.BadResource, "%s is edited twice in one change", e.Name)
		}
		edited[e.Name] = true
		if err := checkEdit(v, e); err != nil {
			return err
		}
	}
	resources := maps.Clone(v.Resources)
	for _, e := range c.Edits {
		if e.Set == nil {
			delete(resources, e.Name)
			continue
		}
		resources[e.Name] = mn.Versioned{Resource: *e.Set, Version: off}
	}
	keys, err := checkReferences(resources)
	if err != nil {
		return err
	}
	v.Resources = resources
	v.Keys = keys
	return nil
}

// checkEdit checks that e is based on the current version of its resource and
// is consistent.
func checkEdit(v *mn.View, e mn.Edit) *mn.Error {
	current := v.Resources[e.Name]
	if current.Version != e.Base {
		return mn.Errorf(mn.Conflict, "%s is at version %d, the change is based on version %d", e.Name, current.Version, e.Base)
	}
	if e.Set == nil {
		return nil
	}
	if e.Set.Name() != e.Name {
		return mn.Errorf(mn.BadResource, "edit of %q contains the resource %q", e.Name, e.Set.Name())
	}
	return checkWithdrawn(v, current.Resource.Key, e.Set.Key)
}

// checkWithdrawn rejects an edit that brings a withdrawn key back, under its
// own name or another.
func checkWithdrawn(v *mn.View, old, set *mn.Key) *mn.Error {
	if set == nil {
		return nil
	}
	revives := v.Keys[set.Hash].Withdrawn && !set.Withdrawn
	if old != nil && old.Withdrawn && set.Hash != old.Hash {
		revives = true
	}
	if revives {
		return mn.Errorf(mn.BadResource, "key %s is withdrawn, which can't be undone; issue another key", set.Name)
	}
	return nil
}

// checkReferences checks that the customer of every key and the model of every
// model pool are declared, and that no two keys have the same hash. It returns
// the keys by hash.
func checkReferences(resources map[mn.ResourceName]mn.Versioned) (map[mn.KeyHash]mn.Key, *mn.Error) {
	keys := map[mn.KeyHash]mn.Key{}
	for name, r := range resources {
		if want := reference(r.Resource); want.Name != "" {
			if _, ok := resources[want]; !ok {
				return nil, mn.Errorf(mn.BadResource, "%s needs %s, which is not declared", name, want)
			}
		}
		k := r.Resource.Key
		if k == nil {
			continue
		}
		if other, ok := keys[k.Hash]; ok {
			return nil, mn.Errorf(mn.BadResource, "keys %q and %q have the same hash", k.Name, other.Name)
		}
		keys[k.Hash] = *k
	}
	return keys, nil
}

// reference returns the name of the resource that r requires, if any.
func reference(r mn.Resource) mn.ResourceName {
	switch {
	case r.Key != nil:
		return mn.ResourceName{Kind: mn.KindCustomer, Name: string(r.Key.Customer)}
	case r.Pool != nil && r.Pool.Kind == mn.PoolModel:
		return mn.ResourceName{Kind: mn.KindModel, Name: string(r.Pool.Model)}
	}
	return mn.ResourceName{}
}

// CheckChange returns an error if c would be rejected on top of v.
func CheckChange(v *mn.View, c *mn.Change) error {
	next := *v
	if err := applyChange(&next, v.Offset+1, c); err != nil {
		return err
	}
	return nil
}

// Removes reports whether r takes away something that a process could go on
// using if it did not know of r: a key, a resource, a member, or a rate share.
// An edit of an existing resource counts.
func Removes(r *mn.Record) bool {
	if r.Leave != nil || r.Remove != nil || r.RateShare != nil {
		return true
	}
	if r.Change == nil {
		return false
	}
	for _, e := range r.Change.Edits {
		if e.Set == nil || e.Base != 0 {
			return true
		}
	}
	return false
}
