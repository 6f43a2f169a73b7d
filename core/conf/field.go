package conf

import (
	"encoding/hex"
	"fmt"
	"math"
	"regexp"
	"strconv"

	mn "mustardnotch"
)

const (
	maxRate      = 1e6
	maxWeight    = 1e3
	maxTokens    = 1 << 30
	maxEndpoints = 1e5
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9_.-]{0,62}$`)

const nameFormat = "1 to 63 of a-z, 0-9, '_', '.' and '-', starting with a letter or digit"

// field describes one line of a section in a resource file.
type field struct {
	name string
	// want describes the valid values, for errors.
	want     string
	required bool
	format   func(r *mn.Resource) string
	// parse stores value in r. It returns false if want does not describe value.
	parse func(r *mn.Resource, value string) bool
}

// fieldsByKind lists the fields of the sections of each kind in the order in
// which they are printed.
var fieldsByKind = map[mn.ResourceKind][]field{
	mn.KindCustomer: {
		numberField("rate", 0, maxRate, true, func(r *mn.Resource) *float64 { return &r.Customer.Rate }),
		numberField("burst", 1, maxRate, true, func(r *mn.Resource) *float64 { return &r.Customer.Burst }),
		numberField("weight", 0, maxWeight, false, func(r *mn.Resource) *float64 { return &r.Customer.Weight }),
	},
	mn.KindModel: {
		nameField("version", true, func(r *mn.Resource) *string { return &r.Model.Version }),
		intField("max_tokens", 1, maxTokens, true, func(r *mn.Resource) *int64 { return &r.Model.MaxTokens }),
	},
	mn.KindPool: {
		poolKindField(),
		nameField("model", false, func(r *mn.Resource) *mn.ModelID { return &r.Pool.Model }),
		boolField("open", func(r *mn.Resource) *bool { return &r.Pool.Open }),
		boolField("repeatable", func(r *mn.Resource) *bool { return &r.Pool.Repeatable }),
		boolField("fencing", func(r *mn.Resource) *bool { return &r.Pool.Fencing }),
		intField("min_endpoints", 0, maxEndpoints, false, func(r *mn.Resource) *int64 { return &r.Pool.MinEndpoints }),
		intField("max_endpoints", 0, maxEndpoints, false, func(r *mn.Resource) *int64 { return &r.Pool.MaxEndpoints }),
	},
	mn.KindKey: {
		keyHashField(),
		nameField("customer", true, func(r *mn.Resource) *mn.CustomerID { return &r.Key.Customer }),
		boolField("withdrawn", func(r *mn.Resource) *bool { return &r.Key.Withdrawn }),
	},
}

// newResource returns an empty resource with the name n. It returns false if
// the kind is unknown.
func newResource(n mn.ResourceName) (mn.Resource, bool) {
	switch n.Kind {
	case mn.KindCustomer:
		return mn.Resource{Customer: &mn.Customer{ID: mn.CustomerID(n.Name)}}, true
	case mn.KindModel:
		return mn.Resource{Model: &mn.Model{ID: mn.ModelID(n.Name)}}, true
	case mn.KindPool:
		return mn.Resource{Pool: &mn.Pool{ID: mn.PoolID(n.Name)}}, true
	case mn.KindKey:
		return mn.Resource{Key: &mn.Key{Name: n.Name}}, true
	}
	return mn.Resource{}, false
}

func numberField(name string, low, high float64, required bool, at func(*mn.Resource) *float64) field {
	return field{
		name:     name,
		want:     fmt.Sprintf("a number from %g to %g", low, high),
		required: required,
		format: func(r *mn.Resource) string {
			return strconv.FormatFloat(*at(r), 'g', -1, 64)
		},
		parse: func(r *mn.Resource, value string) bool {
			x, err := strconv.ParseFloat(value, 64)
			if err != nil || math.IsNaN(x) || x < low || x > high {
				return false
			}
			*at(r) = x
			return true
		},
	}
}

func intField(name string, low, high int64, required bool, at func(*mn.Resource) *int64) field {
	return field{
		name:     name,
		want:     fmt.Sprintf("a whole number from %d to %d", low, high),
		required: required,
		format: func(r *mn.Resource) string {
			return strconv.FormatInt(*at(r), 10)
		},
		parse: func(r *mn.Resource, value string) bool {
			n, err := strconv.ParseInt(value, 10, 64)
			if err != nil || n < low || n > high {
				return false
			}
			*at(r) = n
			return true
		},
	}
}

func nameField[S ~string](name string, required bool, at func(*mn.Resource) *S) field {
	return field{
		name:     name,
		want:     nameFormat,
		required: required,
		format:   func(r *mn.Resource) string { return string(*at(r)) },
		parse: func(r *mn.Resource, value string) bool {
			*at(r) = S(value)
			return namePattern.MatchString(value)
		},
	}
}

func boolField(name string, at func(*mn.Resource) *bool) field {
	return field{
		name:   name,
		want:   "true or false",
		format: func(r *mn.Resource) string { return strconv.FormatBool(*at(r)) },
		parse: func(r *mn.Resource, value string) bool {
			*at(r) = value == "true"
			return value == "true" || value == "false"
		},
	}
}

func poolKindField() field {
	return field{
		name:     "kind",
		want:     "model or plain",
		required: true,
		format:   func(r *mn.Resource) string { return string(r.Pool.Kind) },
		parse: func(r *mn.Resource, value string) bool {
			r.Pool.Kind = mn.PoolKind(value)
			return r.Pool.Kind == mn.PoolModel || r.Pool.Kind == mn.PoolPlain
		},
	}
}

func keyHashField() field {
	return field{
		name:     "hash",
		want:     "a SHA-256 as 64 lower-case hexadecimal digits",
		required: true,
		format:   func(r *mn.Resource) string { return string(r.Key.Hash) },
		parse: func(r *mn.Resource, value string) bool {
			sum, err := hex.DecodeString(value)
			r.Key.Hash = mn.KeyHash(value)
			return err == nil && len(sum) == 32 && hex.EncodeToString(sum) == value
		},
	}
}
