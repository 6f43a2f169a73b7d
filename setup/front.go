package setup

import (
	mn "mustardnotch"
	"mustardnotch/core/place"
)

// Front holds the settings of a front, the process that forwards callers' HTTP
// requests to endpoints of the users' platform.
type Front struct {
	// File is the path of the settings file, for logs.
	File string

	VM         mn.VMID
	DataCentre mn.DataCentre
	// IP is the VM's own address; PeerPort and MetricsPort are ports on it.
	IP          string
	PeerPort    int
	MetricsPort int
	// CallerAddr and ReadinessAddr are listening addresses, ip:port.
	CallerAddr    string
	ReadinessAddr string
	// StoreAddr and DutiesAddr are addresses of the platform. Without a
	// DutiesAddr the front performs no duties.
	StoreAddr string
	// MaxRecordBytes is the size of the largest record that the store accepts, 0 if it
	// declares none.
	MaxRecordBytes int64
	DutiesAddr     string

	// MemoryMB is the memory that the process may use, in MiB, or 0 for no limit.
	MemoryMB int64
	// MaxFDs is the number of descriptors that the process may have, or 0 for no limit.
	MaxFDs int64
	// RevokeWithin is the time from the withdrawal of a key until every front must
	// reject it. If StrictRevoke is set, the bound also holds for a front that
	// can't reach the store.
	RevokeWithin mn.Millis
	StrictRevoke bool
	// ApplyWithin is the time within which a new configuration must be in force.
	ApplyWithin mn.Millis
	// DrainWithin is the time within which a leaving endpoint must stop receiving
	// requests.
	DrainWithin mn.Millis
	// GracePeriod is the time from SIGTERM until the process must have exited.
	GracePeriod mn.Millis
	// RetryRatio and RetrySlack bound the retries of all fronts together in any
	// window of length RetryWindow: at most RetryRatio retries for each request,
	// plus RetrySlack.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow mn.Millis
	// QuotaTolerance and QuotaSlack are what the platform tolerates beyond a customer's
	// rate and burst: a share, and a number of tokens.
	QuotaTolerance float64
	QuotaSlack     float64
	// QuotaWindow is the length of the window over which the platform checks what
	// a customer has spent.
	QuotaWindow mn.Millis
	// DutyLease is the period in which two duty holders must not alternate: no
	// front may make a duty call within DutyLease of an earlier one of its own if
	// another front has made one in between.
	DutyLease mn.Millis
	// UsageWindow is the length of a usage window. The run report of a window is due
	// UsageReportWithin after the end of the window.
	UsageWindow       mn.Millis
	UsageReportWithin mn.Millis
	// Router is "cost" or, as a baseline, "naive".
	Router string
	// DisabledFeatures is a comma-separated list of [place.Features] to switch off,
	// to measure what they contribute.
	DisabledFeatures string
}

// DefaultFront returns the default values of the settings that the platform's file
// may leave out.
func DefaultFront() *Front {
	return &Front{
		RevokeWithin:      5 * mn.Second,
		ApplyWithin:       2 * mn.Second,
		DrainWithin:       2 * mn.Second,
		GracePeriod:       8 * mn.Second,
		RetryRatio:        0.2,
		RetryWindow:       10 * mn.Second,
		DutyLease:         3 * mn.Second,
		UsageWindow:       5 * mn.Second,
		UsageReportWithin: 10 * mn.Second,
		Router:            "cost",
	}
}

// WithBounds returns a copy of s with those bounds of other that may change while
// the process runs.
func (s *Front) WithBounds(other Front) Front {
	merged := *s
	merged.RevokeWithin, merged.StrictRevoke = other.RevokeWithin, other.StrictRevoke
	merged.ApplyWithin, merged.DrainWithin = other.ApplyWithin, other.DrainWithin
	merged.GracePeriod = other.GracePeriod
	merged.UsageReportWithin = other.UsageReportWithin
	return merged
}

// Validate checks the settings that come from the command line.
func (s *Front) Validate() error {
	if _, err := place.ParseFeatures(s.DisabledFeatures); err != nil {
		return mn.Errorf(mn.BadSetting, "without: %w", err)
	}
	if err := checkOneOf(s.Router, "cost", "naive"); err != nil {
		return mn.Errorf(mn.BadSetting, "router %q: %w", s.Router, err)
	}
	return nil
}
