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
	// CallerAddr and Readiness are listening addresses, ip:port.
	CallerAddr    string
	ReadinessAddr string
	// StoreAddr and Duties are addresses of the platform. Duties may be empty.
	StoreAddr  string
	DutiesAddr string

	// MemoryMB bounds the process's memory, 0 for no bound.
	MemoryMB int64
	// RevokeWithin is how soon after its withdrawal a key must be refused, also
	// by a process that can't reach the store if StrictRevoke is set.
	RevokeWithin mn.Millis
	StrictRevoke bool
	// ApplyWithin is how soon a new configuration must be in force.
	ApplyWithin mn.Millis
	// DrainWithin is how soon a leaving endpoint must get no more work.
	DrainWithin mn.Millis
	// GracePeriod is how long a process has to end after SIGTERM.
	GracePeriod mn.Millis
	// RetryRatio and RetrySlack bound the retries of all fronts together in any
	// RetryWindow: RetryRatio for each request, and RetrySlack.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow mn.Millis
	// QuotaTolerance and QuotaSlack are what the platform tolerates beyond a customer's
	// rate and burst: a share, and a number of tokens.
	QuotaTolerance float64
	QuotaSlack     float64
	// QuotaWindow is the span over which the platform judges spending.
	QuotaWindow mn.Millis
	// HolderLease is the time within which two holders must not alternate.
	HolderLease mn.Millis
	// UsageWindow is the span of a usage window; its report is due UsageLate
	// after its end.
	UsageWindow       mn.Millis
	UsageReportWithin mn.Millis
	// Router is "cost" or, as a baseline, "naive".
	Router string
	// DisabledFeatures lists decisions of [place.Features] that are switched off, to
	// measure what they are worth, with commas between them.
	DisabledFeatures string
}

// DefaultFront returns the settings that the platform's file need not have.
func DefaultFront() *Front {
	return &Front{
		RevokeWithin:      5 * mn.Second,
		ApplyWithin:       2 * mn.Second,
		DrainWithin:       2 * mn.Second,
		GracePeriod:       8 * mn.Second,
		RetryRatio:        0.2,
		RetryWindow:       10 * mn.Second,
		HolderLease:       3 * mn.Second,
		UsageWindow:       5 * mn.Second,
		UsageReportWithin: 10 * mn.Second,
		Router:            "cost",
	}
}

// WithBounds returns s with the bounds of other, which may change while a process
// runs.
func (s *Front) WithBounds(other Front) Front {
	merged := *s
	merged.RevokeWithin, merged.StrictRevoke = other.RevokeWithin, other.StrictRevoke
	merged.ApplyWithin, merged.DrainWithin = other.ApplyWithin, other.DrainWithin
	merged.GracePeriod = other.GracePeriod
	merged.UsageReportWithin = other.UsageReportWithin
	return merged
}

// Validate returns what is wrong with settings that come from the command line.
func (s *Front) Validate() error {
	if _, err := place.ParseFeatures(s.DisabledFeatures); err != nil {
		return mn.Errorf(mn.BadSetting, "without: %w", err)
	}
	if err := checkOneOf(s.Router, "cost", "naive"); err != nil {
		return mn.Errorf(mn.BadSetting, "router %q: %w", s.Router, err)
	}
	return nil
}
