package node

import (
	"context"

	mn "mustardnotch"
	"mustardnotch/core/feed"
)

// writer implements [mn.RecordWriter].
type writer struct {
	*feed.Writer
}

// Write implements [mn.RecordWriter].
func (w writer) Write(ctx context.Context, r *mn.Record) (mn.Offset, error) {
	v, err := w.Append(ctx, *r)
	if err != nil {
		return 0, err
	}
	if v.Err != nil {
		return v.Offset, v.Err
	}
	return v.Offset, nil
}
