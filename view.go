package mustardnotch

// Views gives the latest view of the control stream.
type Views interface {
	// View returns the latest view, never nil.
	View() *View
	// Changed returns a channel that is closed at the next new view.
	Changed() <-chan struct{}
}

// Currency tells whether a process may act on its view of the configuration.
type Currency interface {
	// Current returns nil while the process is current, and an Error with
	// code [NotCurrent] otherwise.
	Current() error
}
