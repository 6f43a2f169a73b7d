package sched

import mn "mustardnotch"

// Tokens counts tokens of a model's vocabulary.
type Tokens int64

// Cost is an amount of work at the endpoint. One unit is the prefill of one
// prompt token.
type Cost float64

// Job describes a request to be run at the endpoint.
type Job struct {
	Customer mn.CustomerID
	// Weight is the customer's relative share of a busy endpoint; 0 means 1.
	Weight float64
	// PromptTokens is the number of prompt tokens to prefill.
	PromptTokens Tokens
	// MaxOutputTokens is the maximum number of tokens to generate.
	MaxOutputTokens Tokens
	// Deadline is the time on the queue's clock by which the job has to be done;
	// 0 for none.
	Deadline mn.Millis
}

// Limits are the parameters of a queue.
type Limits struct {
	// Running is the maximum number of jobs at the endpoint.
	Running int
	// PrefillTokens bounds the prompt tokens at the endpoint that wait for
	// prefill; 0 for no bound. While they reach it, no further job starts, so
	// that jobs wait in this queue, which is fair, and not at the endpoint, which
	// prefills in order of arrival.
	PrefillTokens Tokens
	// QueuedPerCustomer is the maximum number of waiting jobs of one customer.
	QueuedPerCustomer int
	// Queued is the maximum number of waiting jobs of all customers.
	Queued int
	// Quantum is what each round adds to the deficit of a customer of weight 1.
	Quantum Cost
	// OutputCost is the cost of generating one token.
	OutputCost Cost
}

// DefaultLimits returns limits for a model engine that batches 32 requests.
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

// Stats is the state of a queue at one time.
type Stats struct {
	// Running is the number of jobs at the endpoint.
	Running int
	// Waiting is the number of jobs in the queue.
	Waiting int
	// QueuedTokens is the number of prompt tokens of the waiting jobs.
	QueuedTokens Tokens
	// PrefillTokens is the number of prompt tokens of the running jobs whose
	// prefill has not ended.
	PrefillTokens Tokens
	// Backlog is the estimated cost of the waiting jobs.
	Backlog Cost
	// Throughput is the cost that the running jobs are estimated to complete in a
	// millisecond, 0 while the endpoint's latency is not measured.
	Throughput float64
	// RejectedDeadline counts jobs rejected because of their deadline.
	RejectedDeadline int64
	// RejectedFull counts jobs rejected because a queue was full.
	RejectedFull int64
	// Limit is the current limit on running jobs.
	Limit int
	// Latency is the latency per token at the current batch size.
	Latency TokenLatency
}
