package usage_test

import (
	"fmt"

	mn "mustardnotch"
	"mustardnotch/core/usage"
)

func Example() {
	served := mn.RequestUsage{ID: "request 1", Customer: "voering", Pool: "taalpers", PromptTokens: 3, OutputTokens: 40}
	stream := []*usage.Record{
		{Version: 1, Writer: "entry-1", Batch: []usage.Item{{RequestUsage: served}}},
		{Version: 1, Writer: "taalpers-1", Batch: []usage.Item{{RequestUsage: served}}},
		{Version: 1, Writer: "entry-1", Marker: &usage.Marker{Window: 1}},
	}
	aggregator := usage.NewAggregator()
	for i, r := range stream {
		data, _ := usage.Encode(r)
		_ = aggregator.Apply([]mn.LogEntry{{Offset: mn.Offset(i + 1), Data: data}})
	}
	report, _ := aggregator.NextReport()
	fmt.Println(report.Window, report.Marker, report.Lines)
	// Output: 1 3 [{voering taalpers 1 3 40}]
}
