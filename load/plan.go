package load

import (
	"math"
	"math/rand/v2"
	"sort"
	"strconv"
	"strings"

	mn "mustardnotch"
)

// bytesPerToken is the length of a prompt in bytes for each of its tokens.
const bytesPerToken = 4

// Arrival is one request of a workload.
type Arrival struct {
	// At is the time at which the request is sent, from the start of the run.
	At       mn.Millis
	Customer int // index into the workload's customers
	Phase    int // index into its phases
	Kind     int // index into its kinds
	// Booking reports whether the request is a call of the plain pool that must not
	// run twice, rather than a generation.
	Booking bool
	// WithinRate reports whether the customer's rate and burst admit the request.
	WithinRate   bool
	PromptTokens int64
	OutputTokens int64
	PrefixIndex  int64 // which of the customer's prefixes of the kind
	Index        int   // position in the plan
}

// Plan returns the arrivals of the workload in order of time. The arrivals of each
// customer are a Poisson process with a constant rate in each phase.
func (w *Workload) Plan() []Arrival {
	var all []Arrival
	var start mn.Millis
	for p, phase := range w.Phases {
		for c, customer := range w.Customers {
			random := rand.New(rand.NewPCG(w.Seed, uint64(p*1000+c)))
			meanGap := 1000 / (customer.Rate * customer.RateMultiple * phase.RateFactor)
			for at := random.ExpFloat64() * meanGap; at < float64(phase.Duration); at += random.ExpFloat64() * meanGap {
				a := w.drawArrival(random, phase, customer)
				a.At, a.Customer, a.Phase = start+mn.Millis(at), c, p
				all = append(all, a)
			}
		}
		start += phase.Duration
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].At < all[j].At })
	w.markWithinRate(all)
	for i := range all {
		all[i].Index = i
	}
	return all
}

func (w *Workload) drawArrival(random *rand.Rand, phase Phase, c Customer) Arrival {
	a := Arrival{Kind: w.drawKind(random, phase), Booking: random.Float64() < c.BookingShare}
	k := w.Kinds[a.Kind]
	a.PrefixIndex = random.Int64N(k.PrefixCount)
	a.PromptTokens = max(drawLogNormal(random, k.PromptTokens, k.Spread), k.PrefixTokens+8)
	a.OutputTokens = drawLogNormal(random, k.OutputTokens, k.Spread)
	return a
}

func (w *Workload) drawKind(random *rand.Rand, phase Phase) int {
	total := 0.0
	for _, k := range w.Kinds {
		total += phase.KindWeights[k.Name]
	}
	remaining := random.Float64() * total
	last := 0
	for i, k := range w.Kinds {
		if phase.KindWeights[k.Name] == 0 {
			continue
		}
		last = i
		if remaining -= phase.KindWeights[k.Name]; remaining < 0 {
			break
		}
	}
	return last
}

func drawLogNormal(random *rand.Rand, median int64, sigma float64) int64 {
	n := float64(median) * math.Exp(sigma*random.NormFloat64())
	return int64(min(max(n, 1), maxTokens))
}

// markWithinRate marks the arrivals that the token bucket of their customer admits.
func (w *Workload) markWithinRate(all []Arrival) {
	tokens := make([]float64, len(w.Customers))
	last := make([]mn.Millis, len(w.Customers))
	for i, c := range w.Customers {
		tokens[i] = c.Burst
	}
	for i := range all {
		a := &all[i]
		c := w.Customers[a.Customer]
		tokens[a.Customer] = min(c.Burst, tokens[a.Customer]+float64(a.At-last[a.Customer])*c.Rate/1000)
		last[a.Customer] = a.At
		if tokens[a.Customer] >= 1 {
			tokens[a.Customer]--
			a.WithinRate = true
		}
	}
}

// Prompt returns the prompt of an arrival: a prefix that it shares with others,
// followed by text that is unique to it.
func (w *Workload) Prompt(a Arrival) string {
	k := w.Kinds[a.Kind]
	var b strings.Builder
	padToTokens(&b, string(w.Customers[a.Customer].ID)+" "+k.Name+" "+strconv.FormatInt(a.PrefixIndex, 10)+" ", k.PrefixTokens)
	padToTokens(&b, strconv.FormatUint(w.Seed, 10)+" "+strconv.Itoa(a.Index)+" ", a.PromptTokens)
	return b.String()
}

// padToTokens appends repetitions of text to b until b is as long as a prompt with
// the given number of tokens.
func padToTokens(b *strings.Builder, text string, tokens int64) {
	for int64(b.Len()) < tokens*bytesPerToken {
		remaining := tokens*bytesPerToken - int64(b.Len())
		b.WriteString(text[:min(remaining, int64(len(text)))])
	}
}
