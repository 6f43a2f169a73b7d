package node

import (
	"context"

	mn "mustardnotch"
	"mustardnotch/core/feed"
)

// recordWriter adapts a [feed.Writer] to [mn.RecordWriter].
type recordWriter struct {
	*feed.Writer
}

// Write implements [mn.RecordWriter].
func (w recordWriter) Write(ctx context.Context, r *mn.Record) (mn.Offset, error) {
	v, err := w.Append(ctx, *r)
	if err != nil {
		return 0, err
	}
	if v.Err != nil {
		return v.Offset, v.Err
	}
	return v.Offset, nil
}
