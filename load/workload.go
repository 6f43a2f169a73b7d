package load

import (
	mn "mustardnotch"
)

// Workload describes the requests of a load run and where to send them.
type Workload struct {
	// File is the path of the workload file, for errors and reports.
	File string
	Seed uint64
	// DrainTimeout is how long to wait for open requests after the last arrival.
	DrainTimeout mn.Millis
	// Entries are base URLs of entries, which are used in turn.
	Entries []string
	// Engines are base URLs of stand-in engines, whose counters go into the report.
	Engines []string
	// Model is the model of generations, Pool the pool of bookings.
	Model mn.ModelID
	Pool  mn.PoolID
	// MaxOpen bounds the open requests. Arrivals beyond it are not sent and are
	// counted as unsent.
	MaxOpen int64
	// ClientDelay is a simulated one-way delay between callers and entries. It is
	// added twice to measured times.
	ClientDelay mn.Millis

	Kinds     []Kind
	Customers []Customer
	Phases    []Phase
}

// Kind is a kind of generation, with its own distribution of lengths.
type Kind struct {
	Name string
	// PromptTokens and OutputTokens are medians of log-normal distributions
	// whose logarithms have standard deviation Spread.
	PromptTokens int64
	OutputTokens int64
	Spread       float64
	// Each prompt starts with one of PrefixCount prefixes of its customer, which
	// are PrefixTokens long.
	PrefixTokens int64
	PrefixCount  int64
	// Deadline is the time within which an answer counts as in time. Bookings are
	// drawn with a kind too and have its deadline.
	Deadline mn.Millis
}

// Customer is a caller of the workload.
type Customer struct {
	ID  mn.CustomerID
	Key string
	// Rate, in requests per second, and Burst are those declared for the customer.
	Rate  float64
	Burst float64
	// RateMultiple is the ratio of the rate at which the customer sends to Rate.
	RateMultiple float64
	// BookingShare is the share of the customer's requests that are bookings.
	BookingShare float64
}

// Phase is a part of the run with its own mix of kinds.
type Phase struct {
	Name     string
	Duration mn.Millis
	// RateFactor scales all arrival rates.
	RateFactor float64
	// KindWeights holds the relative weights of kinds by name.
	KindWeights map[string]float64
}

// Duration returns the total length of all phases.
func (w *Workload) Duration() mn.Millis {
	var total mn.Millis
	for _, p := range w.Phases {
		total += p.Duration
	}
	return total
}
