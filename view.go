package mustardnotch

// ViewSource gives the latest view of the control stream.
type ViewSource interface {
	// View returns the latest view, never nil.
	View() *View
	// Changed returns a channel that is closed at the next new view.
	Changed() <-chan struct{}
}

// FreshnessChecker tells whether a process may act on its view of the configuration.
type FreshnessChecker interface {
	// CheckCurrent returns nil while the process is current, and an Error with
	// code [NotCurrent] otherwise.
	CheckCurrent() error
}
