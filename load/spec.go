package load

import (
	mn "mustardnotch"
)

// Spec describes a workload.
type Spec struct {
	File string
	Seed uint64
	// Drain is how long to wait for open requests after the last arrival.
	Drain mn.Millis
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
	Prefixes     int64
	Deadline     mn.Millis
}

// Customer is a caller of the workload.
type Customer struct {
	ID  mn.CustomerID
	Key string
	// Rate and Burst are those declared for the customer.
	Rate  float64
	Burst float64
	// Times is how many times its rate the customer sends.
	Times float64
	// Bookings is the part of its requests that are bookings.
	Bookings float64
}

// Phase is a stretch of time with one mix of kinds.
type Phase struct {
	Name string
	Span mn.Millis
	// Factor scales all arrival rates.
	Factor float64
	// Mix weighs kinds by name.
	Mix map[string]float64
}

// Span returns the length of all phases together.
func (s *Spec) Span() mn.Millis {
	var span mn.Millis
	for _, p := range s.Phases {
		span += p.Span
	}
	return span
}
