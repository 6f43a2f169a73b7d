package sched

import mn "mustardnotch"

// Tokens counts tokens of a model's vocabulary.
type Tokens int64

// Cost is an amount of endpoint work. One unit is the work of prefilling one
// prompt token.
type Cost float64

// Job is one request that waits for the endpoint.
type Job struct {
	Customer mn.CustomerID
	// Weight is the customer's share of a crowded endpoint; 0 means 1.
	Weight float64
	// PromptTokens is how many prompt tokens have to be prefilled.
	PromptTokens Tokens
	// MaxOutputTokens bounds the tokens to generate.
	MaxOutputTokens Tokens
	// Deadline is the instant on the queue's clock by which the job has to be
	// done; 0 for none.
	Deadline mn.Millis
}

// Limits bounds a queue.
type Limits struct {
	// Running is how many jobs are at the endpoint at once.
	Running int
	// PrefillTokens bounds the prompt tokens at the endpoint that wait for prefill, so
	// that work waits here in turn and not there in order of arrival; 0 for no
	// bound.
	PrefillTokens Tokens
	// QueuedPerCustomer is how many jobs of one customer may wait.
	QueuedPerCustomer int
	// Queued is how many jobs may wait in all.
	Queued int
	// Quantum is what a customer of weight 1 earns in each round.
	Quantum Cost
	// OutputCost is the cost of generating one token.
	OutputCost Cost
}

// DefaultLimits suits a model engine that batches 32 requests.
func DefaultLimits() Limits {
	return Limits{Running: 32, PrefillTokens: 2048, QueuedPerCustomer: 256, Queued: 1024, Quantum: 512, OutputCost: 4}
}

func (l Limits) cost(prompt, output Tokens) Cost {
	return Cost(prompt) + Cost(output)*l.OutputCost + 1
}

func (j Job) weight() Cost {
	if j.Weight <= 0 {
		return 1
	}
	return Cost(j.Weight)
}

// Stats is a queue's state at one instant.
type Stats struct {
	Running int
	Waiting int
	// QueuedTokens counts prompt tokens that wait to be handed to the endpoint.
	QueuedTokens Tokens
	// PrefillTokens counts prompt tokens handed over whose prefill hasn't ended.
	PrefillTokens Tokens
	// Backlog is the work that waits.
	Backlog Cost
	// Throughput is the work that the running jobs get done in a millisecond, 0 while
	// the endpoint's speed is not known.
	Throughput float64
	// RejectedDeadline counts jobs refused because of their deadline.
	RejectedDeadline int64
	// RejectedFull counts jobs refused because a queue was full.
	RejectedFull int64
	// Limit is how many jobs may be at the endpoint now.
	Limit int
	// Latency is the speed at the present batch.
	Latency TokenLatency
}
