package usage

import (
	"context"
	"expvar"

	mn "mustardnotch"
)

// Counters of the process.
var (
	windowsClosed = expvar.NewInt("usage_windows_closed")
	reports       = expvar.NewInt("usage_reports")
	reportsFailed = expvar.NewInt("usage_reports_failed")
)

// BillerParams sets the intervals and timeouts of a [Biller].
type BillerParams struct {
	// Window is the minimum interval between two markers.
	Window mn.Millis
	// PollInterval is how long a read waits for records, and the delay after an
	// error or while another process holds the lease.
	PollInterval mn.Millis
	// SummaryInterval is the number of records from one summary to the next. It
	// must be well below the number of records that the log retains.
	SummaryInterval mn.Offset
	// ReportTimeout is the timeout of one report, which also ends with the lease.
	ReportTimeout mn.Millis
}

// DefaultBillerParams returns parameters that close one window per minute.
func DefaultBillerParams() BillerParams {
	return BillerParams{Window: mn.Minute, PollInterval: 500 * mn.Millisecond, SummaryInterval: 5000, ReportTimeout: 2 * mn.Second}
}

// maxReadRecords is the maximum number of records per read of the log.
const maxReadRecords = 256

// LeaseChecker has the method of [mn.LeaseChecker], which a [Biller] needs.
type LeaseChecker interface {
	// Held reports whether the process holds the control lease. If so, it returns
	// the term and the instant, on the process's own clock, at which the lease ends.
	Held() (term mn.Term, until mn.Millis, ok bool)
}

// Biller closes usage windows and reports them to the platform while its process
// holds the control lease.
type Biller struct {
	vm          mn.VMID
	log         mn.Log
	sink        mn.UsageSink
	clock       mn.Clock
	lease       LeaseChecker
	params      BillerParams
	aggregator  *Aggregator
	lastSummary mn.Offset
}

// NewBiller returns a biller for the process on vm.
func NewBiller(vm mn.VMID, log mn.Log, sink mn.UsageSink, clock mn.Clock, lease LeaseChecker, params BillerParams) *Biller {
	return &Biller{vm: vm, log: log, sink: sink, clock: clock, lease: lease, params: params, aggregator: NewAggregator()}
}

// Run calls [Biller.Step] until ctx is done.
func (b *Biller) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := b.Step(ctx); err != nil {
			_ = b.clock.Sleep(ctx, b.params.PollInterval)
		}
	}
	return ctx.Err()
}

// Step reads the usage stream. At the end of the stream it closes the open window
// and writes a summary if they are due, and reports the oldest window for which the
// stream has no Reported record. Without the lease it only waits.
func (b *Biller) Step(ctx context.Context) error {
	if _, _, ok := b.lease.Held(); !ok {
		return b.clock.Sleep(ctx, b.params.PollInterval)
	}
	behind, err := b.readNext(ctx)
	if err != nil || behind {
		return err
	}
	if err := b.closeWindow(ctx); err != nil {
		return err
	}
	if err := b.reportOldest(ctx); err != nil {
		return err
	}
	return b.summarize(ctx)
}

// readNext applies the next records and reports whether the stream has more.
func (b *Biller) readNext(ctx context.Context) (behind bool, err error) {
	batch, err := b.log.Read(ctx, mn.UsageStream, b.aggregator.Offset()+1, maxReadRecords, b.params.PollInterval)
	if err != nil {
		return false, err
	}
	if err := b.aggregator.Apply(batch.Entries); err != nil {
		return false, err
	}
	return b.aggregator.Offset() < batch.Head, nil
}

// closeWindow appends a marker if the open window is due and has usage.
func (b *Biller) closeWindow(ctx context.Context) error {
	window, last, used := b.aggregator.OpenWindow()
	wall := b.clock.Wall()
	term, _, ok := b.lease.Held()
	if !ok || !used || wall-last < b.params.Window {
		return nil
	}
	if err := b.append(ctx, &Record{Marker: &Marker{Window: window, Wall: wall, Term: term}}); err != nil {
		return err
	}
	windowsClosed.Add(1)
	return nil
}

// reportOldest sends the oldest unreported window and records that it was reported.
// If the platform's answer is lost, this holder or the next one repeats the report
// with the same content.
func (b *Biller) reportOldest(ctx context.Context) error {
	u, found := b.aggregator.NextReport()
	if !found {
		return nil
	}
	_, until, ok := b.lease.Held()
	left := min(until-b.clock.Now(), b.params.ReportTimeout)
	if !ok || left <= 0 {
		return nil
	}
	limited, cancel := context.WithTimeout(ctx, left.Duration())
	defer cancel()
	if err := b.sink.ReportUsage(limited, u); err != nil {
		reportsFailed.Add(1)
		return err
	}
	reports.Add(1)
	return b.append(ctx, &Record{Reported: &Reported{Window: u.Window}})
}

// summarize appends a summary if one is due.
func (b *Biller) summarize(ctx context.Context) error {
	s, ok := b.aggregator.Summary()
	if !ok || s.Offset < b.lastSummary+b.params.SummaryInterval {
		return nil
	}
	if err := b.append(ctx, &Record{Summary: &s}); err != nil {
		return err
	}
	b.lastSummary = s.Offset
	return nil
}

func (b *Biller) append(ctx context.Context, r *Record) error {
	r.Version = mn.RecordVersion
	r.Writer = b.vm
	data, err := Encode(r)
	if err != nil {
		return err
	}
	_, err = b.log.Append(ctx, mn.UsageStream, data)
	return err
}
