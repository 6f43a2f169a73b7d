package load

import (
	mn "mustardnotch"
)

// Workload describes a workload.
type Workload struct {
	File string
	Seed uint64
	// DrainTimeout is how long to wait for open requests after the last arrival.
	DrainTimeout mn.Millis
	// Entries are base URLs of entries, used in turn.
	Entries []string
	// Engines are base URLs of stand-in engines whose counters are read.
	Engines []string
	// Model is what generations ask for, Pool where bookings go.
	Model mn.ModelID
	Pool  mn.PoolID
	// MaxOpen bounds open requests; arrivals past it are counted as unsent.
	MaxOpen int64
	// ClientDelay is the one-way delay between callers and entries, which is
	// added to measured times.
	ClientDelay mn.Millis

	Kinds     []Kind
	Customers []Customer
	Phases    []Phase
}

// Kind is a kind of generation.
type Kind struct {
	Name string
	// PromptTokens and OutputTokens are medians of log-normal distributions
	// whose logarithms have standard deviation Spread.
	PromptTokens int64
	OutputTokens int64
	Spread       float64
	// PrefixTokens of each prompt are one of Prefixes prefixes of its customer.
	PrefixTokens int64
	PrefixCount  int64
	Deadline     mn.Millis
}

// Customer is a caller of the workload.
type Customer struct {
	ID  mn.CustomerID
	Key string
	// Rate and Burst are those declared for the customer.
	Rate  float64
	Burst float64
	// RateMultiple is how many times its rate the customer sends.
	RateMultiple float64
	// BookingShare is the part of its requests that are bookings.
	BookingShare float64
}

// Phase is a stretch of time with one mix of kinds.
type Phase struct {
	Name     string
	Duration mn.Millis
	// RateFactor scales all arrival rates.
	RateFactor float64
	// KindWeights weighs kinds by name.
	KindWeights map[string]float64
}

// Duration returns the length of all phases together.
func (w *Workload) Duration() mn.Millis {
	var total mn.Millis
	for _, p := range w.Phases {
		total += p.Duration
	}
	return total
}
