package setup

import (
	mn "mustardnotch"
	"mustardnotch/core/place"
)

// Front holds the settings of a front, the process that serves callers' HTTP
// requests from endpoints of the users' platform.
type Front struct {
	File string

	VM         mn.VMID
	DataCentre mn.DataCentre
	// IP is the VM's own address; PeerPort and MetricsPort are ports on it.
	IP          string
	PeerPort    int
	MetricsPort int
	// Callers and Readiness are listening addresses, ip:port.
	Callers   string
	Readiness string
	// Store and Duties are addresses of the platform. Duties may be empty.
	Store  string
	Duties string

	// MemoryMB bounds the process's memory, 0 for no bound.
	MemoryMB int64
	// RevokeWithin is how soon after its withdrawal a key must be refused, also
	// by a process that can't reach the store if StrictRevoke is set.
	RevokeWithin mn.Millis
	StrictRevoke bool
	// ApplyWithin is how soon a new configuration must be in force.
	ApplyWithin mn.Millis
	// LeavingWithin is how soon a leaving endpoint must get no more work.
	LeavingWithin mn.Millis
	// Grace is how long a process has to end after SIGTERM.
	Grace mn.Millis
	// RetryRatio and RetrySlack bound the retries of all fronts together in any
	// RetryWindow: RetryRatio for each request, and RetrySlack.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow mn.Millis
	// QuotaOver and QuotaSlack are what the platform tolerates beyond a customer's
	// rate and burst: a share, and a number of tokens.
	QuotaOver  float64
	QuotaSlack float64
	// QuotaWindow is the span over which the platform judges spending.
	QuotaWindow mn.Millis
	// HolderApart is the time within which two holders must not alternate.
	HolderApart mn.Millis
	// UsageWindow is the span of a usage window; its report is due UsageLate
	// after its end.
	UsageWindow mn.Millis
	UsageLate   mn.Millis
	// Router is "cost" or, as a baseline, "naive".
	Router string
	// Without lists decisions of [place.Features] that are switched off, to
	// measure what they are worth, with commas between them.
	Without string
}

// DefaultFront returns the settings that the platform's file need not have.
func DefaultFront() *Front {
	return &Front{
		RevokeWithin:  5 * mn.Second,
		ApplyWithin:   2 * mn.Second,
		LeavingWithin: 2 * mn.Second,
		Grace:         8 * mn.Second,
		RetryRatio:    0.2,
		RetryWindow:   10 * mn.Second,
		HolderApart:   3 * mn.Second,
		UsageWindow:   5 * mn.Second,
		UsageLate:     10 * mn.Second,
		Router:        "cost",
	}
}

// WithBounds returns s with the bounds of other, which may change while a process
// runs.
func (s *Front) WithBounds(other Front) Front {
	merged := *s
	merged.RevokeWithin, merged.StrictRevoke = other.RevokeWithin, other.StrictRevoke
	merged.ApplyWithin, merged.LeavingWithin = other.ApplyWithin, other.LeavingWithin
	merged.Grace = other.Grace
	merged.UsageLate = other.UsageLate
	return merged
}

// Check returns what is wrong with settings that come from the command line.
func (s *Front) Check() error {
	if _, err := place.ParseFeatures(s.Without); err != nil {
		return mn.Errorf(mn.BadSetting, "without: %w", err)
	}
	if err := checkOneOf(s.Router, "cost", "naive"); err != nil {
		return mn.Errorf(mn.BadSetting, "router %q: %w", s.Router, err)
	}
	return nil
}
