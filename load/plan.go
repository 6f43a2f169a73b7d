package load

import (
	"math"
	"math/rand/v2"
	"sort"
	"strconv"
	"strings"

	mn "mustardnotch"
)

// bytesPerToken is the length that prompts have for each token.
const bytesPerToken = 4

// Arrival is one request of a workload.
type Arrival struct {
	// At is when it is sent, in milliseconds from the start.
	At       mn.Millis
	Customer int // index into the workload's customers
	Phase    int // index into its phases
	Kind     int // index into its kinds
	// Booking says that it is a call that may not be repeated, not a generation.
	Booking bool
	// WithinRate says that the customer's rate and burst allow for it.
	WithinRate   bool
	PromptTokens int64
	OutputTokens int64
	PrefixIndex  int64
	Index        int
}

// Plan returns the arrivals of the workload in order of time.
func (s *Workload) Plan() []Arrival {
	var all []Arrival
	var start mn.Millis
	for p, phase := range s.Phases {
		for c, customer := range s.Customers {
			random := rand.New(rand.NewPCG(s.Seed, uint64(p*1000+c)))
			gap := 1000 / (customer.Rate * customer.RateMultiple * phase.RateFactor)
			for at := random.ExpFloat64() * gap; at < float64(phase.Duration); at += random.ExpFloat64() * gap {
				a := s.draw(random, phase, customer)
				a.At, a.Customer, a.Phase = start+mn.Millis(at), c, p
				all = append(all, a)
			}
		}
		start += phase.Duration
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].At < all[j].At })
	s.markRates(all)
	for i := range all {
		all[i].Index = i
	}
	return all
}

func (s *Workload) draw(random *rand.Rand, phase Phase, c Customer) Arrival {
	a := Arrival{Kind: s.drawKind(random, phase), Booking: random.Float64() < c.BookingShare}
	k := s.Kinds[a.Kind]
	a.PrefixIndex = random.Int64N(k.PrefixCount)
	a.PromptTokens = max(spread(random, k.PromptTokens, k.Spread), k.PrefixTokens+8)
	a.OutputTokens = spread(random, k.OutputTokens, k.Spread)
	return a
}

func (s *Workload) drawKind(random *rand.Rand, phase Phase) int {
	total := 0.0
	for _, k := range s.Kinds {
		total += phase.KindWeights[k.Name]
	}
	left := random.Float64() * total
	last := 0
	for i, k := range s.Kinds {
		if phase.KindWeights[k.Name] == 0 {
			continue
		}
		last = i
		if left -= phase.KindWeights[k.Name]; left < 0 {
			break
		}
	}
	return last
}

func spread(random *rand.Rand, median int64, sigma float64) int64 {
	n := float64(median) * math.Exp(sigma*random.NormFloat64())
	return int64(min(max(n, 1), maxTokens))
}

// markRates marks the arrivals that a token bucket of each customer admits.
func (s *Workload) markRates(all []Arrival) {
	tokens := make([]float64, len(s.Customers))
	last := make([]mn.Millis, len(s.Customers))
	for i, c := range s.Customers {
		tokens[i] = c.Burst
	}
	for i := range all {
		a := &all[i]
		c := s.Customers[a.Customer]
		tokens[a.Customer] = min(c.Burst, tokens[a.Customer]+float64(a.At-last[a.Customer])*c.Rate/1000)
		last[a.Customer] = a.At
		if tokens[a.Customer] >= 1 {
			tokens[a.Customer]--
			a.WithinRate = true
		}
	}
}

// Prompt returns the prompt of an arrival: its shared prefix, then text of its
// own.
func (s *Workload) Prompt(a Arrival) string {
	k := s.Kinds[a.Kind]
	var b strings.Builder
	fill(&b, string(s.Customers[a.Customer].ID)+" "+k.Name+" "+strconv.FormatInt(a.PrefixIndex, 10)+" ", k.PrefixTokens)
	fill(&b, strconv.FormatUint(s.Seed, 10)+" "+strconv.Itoa(a.Index)+" ", a.PromptTokens)
	return b.String()
}

// fill repeats text until b has the length of so many tokens.
func fill(b *strings.Builder, text string, tokens int64) {
	for int64(b.Len()) < tokens*bytesPerToken {
		left := tokens*bytesPerToken - int64(b.Len())
		b.WriteString(text[:min(left, int64(len(text)))])
	}
}
