package mustardnotch

// ViewSource provides the latest view of the control stream.
type ViewSource interface {
	// View returns the latest view, never nil.
	View() *View
	// Changed returns a channel that is closed when the next view is available.
	Changed() <-chan struct{}
}

// FreshnessChecker checks whether a process's view of the configuration is current
// enough to act on.
type FreshnessChecker interface {
	// CheckCurrent returns nil if the view is current, else an Error with code
	// [NotCurrent].
	CheckCurrent() error
}
