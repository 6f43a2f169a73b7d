package load

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	mn "mustardnotch"
)

// WriteText writes the report as a table.
func (r *Report) WriteText(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "workload %s seed %d label %q: %d ms, %d unsent\n", r.File, r.Seed, r.Label, r.Elapsed, r.Unsent)
	fmt.Fprintf(&b, "%-24s %7s %7s %7s %6s %6s %7s %7s %6s %9s %9s %9s %s\n", "group", "sent", "in_rate", "in_time",
		"late", "failed", "refused", "served", "hits", "first_p50", "first_p95", "gap_p95", "codes")
	groups := append([]*Group{r.All}, r.Customers...)
	groups = append(append(groups, r.Phases...), r.CustomerPhases...)
	for _, g := range groups {
		fmt.Fprintf(&b, "%-24s %7d %7d %7d %6d %6d %7d %6.1f%% %5.1f%% %9.1f %9.1f %9.1f %s\n", g.Name, g.Sent, g.WithinRate, g.InTime,
			g.Late, g.Failed, g.RejectedWithinRate, 100*g.ServedRatio, 100*g.PrefixHitRatio,
			g.FirstToken.Median, g.FirstToken.P95, g.BetweenTokens.P95, codeList(g.Codes))
	}
	fmt.Fprintf(&b, "worst served: %s; engine seconds %.0f (busy %.0f); role changes %d; KV imports %d\n", r.WorstCustomer,
		r.EngineSeconds, float64(r.Engines.BusyTime)/1000, r.Engines.RoleChanges, r.Engines.Imports)
	for _, code := range sortedKeys(r.Samples) {
		fmt.Fprintf(&b, "first %s: %s\n", code, r.Samples[code])
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func codeList(codes map[string]int64) string {
	var all []string
	for _, c := range sortedKeys(codes) {
		all = append(all, fmt.Sprintf("%s:%d", c, codes[c]))
	}
	return strings.Join(all, " ")
}

// WriteJSON writes the report to the file at path.
func (r *Report) WriteJSON(path string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), 0o644)
}

// ReadJSON reads a report that [Report.WriteJSON] wrote.
func ReadJSON(path string) (*Report, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, mn.Errorf(mn.BadSetting, "%w", err)
	}
	r := &Report{}
	if err := json.Unmarshal(data, r); err != nil || r.All == nil {
		return nil, mn.Errorf(mn.BadSetting, "%s is not a report of a load run: %v", path, err)
	}
	return r, nil
}

// Compare writes a table with the measures of a and b and the ratio of b to a.
func Compare(w io.Writer, a, b *Report) error {
	if a.File != b.File || a.Seed != b.Seed {
		if _, err := fmt.Fprintf(w, "note: workloads differ: %s seed %d, %s seed %d\n", a.File, a.Seed, b.File, b.Seed); err != nil {
			return err
		}
	}
	var out strings.Builder
	fmt.Fprintf(&out, "%-40s %12s %12s %8s\n", "measure", a.Label, b.Label, "ratio")
	addLine := func(name string, x, y float64) {
		ratio := "-"
		if x != 0 {
			ratio = fmt.Sprintf("%.2f", y/x)
		}
		fmt.Fprintf(&out, "%-40s %12.2f %12.2f %8s\n", name, x, y, ratio)
	}
	addLine("goodput, answers/s", a.All.Goodput, b.All.Goodput)
	addLine("worst-served customer, served %", 100*a.WorstServed().ServedRatio, 100*b.WorstServed().ServedRatio)
	addLine("refused within rate", float64(a.All.RejectedWithinRate), float64(b.All.RejectedWithinRate))
	addLine("first token p95, ms", a.All.FirstToken.P95, b.All.FirstToken.P95)
	addLine("between tokens p95, ms", a.All.BetweenTokens.P95, b.All.BetweenTokens.P95)
	addLine("prefix hits, %", 100*a.All.PrefixHitRatio, 100*b.All.PrefixHitRatio)
	addLine("engine seconds", a.EngineSeconds, b.EngineSeconds)
	addLine("engine busy seconds", float64(a.Engines.BusyTime)/1000, float64(b.Engines.BusyTime)/1000)
	addLine("role changes", float64(a.Engines.RoleChanges), float64(b.Engines.RoleChanges))
	compareGroups(a.Customers, b.Customers, "customer", addLine)
	compareGroups(a.Phases, b.Phases, "phase", addLine)
	_, err := io.WriteString(w, out.String())
	return err
}

func compareGroups(a, b []*Group, what string, addLine func(string, float64, float64)) {
	for _, x := range a {
		for _, y := range b {
			if x.Name == y.Name {
				addLine(what+" "+x.Name+", goodput/s", x.Goodput, y.Goodput)
			}
		}
	}
}
