package simulator

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// group identifies the cases that one row of the table aggregates.
type group struct {
	deployment string
	load       float64
	fault      Fault
	policy     string
}

// WriteTable writes a table with the medians and worst values over the seeds for each deployment, load, fault and
// policy.
func WriteTable(cases []Case, out io.Writer) error {
	var order []group
	members := map[group][]Case{}
	for _, c := range cases {
		g := group{c.Deployment, c.Load, c.Fault, c.Policy}
		if members[g] == nil {
			order = append(order, g)
		}
		members[g] = append(members[g], c)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, strings.Join([]string{
		"deployment", "load", "fault", "policy", "seeds", "goodput", "worst", "ofBound", "worstOfBound",
		"urgent", "worstUrgent", "whereFits", "nearFault", "weighted", "p99LatenessMs", "refused", "retried",
		"roleChanges", "breaches", "cutUrgent",
	}, "\t"))
	for _, g := range order {
		fmt.Fprintln(table, formatRow(g, members[g]))
	}
	return table.Flush()
}

// formatRow formats the row of one group.
func formatRow(g group, cases []Case) string {
	goodput := collect(cases, func(c Case) float64 { return c.Result.Goodput() })
	ofBound := collect(cases, func(c Case) float64 { return c.Result.Goodput() / c.Bound.Goodput })
	urgent := collect(cases, func(c Case) float64 { return c.Result.UrgentGoodput() })
	fits := collect(cases, func(c Case) float64 { return c.Result.UrgentWhereFits })
	near := collect(cases, func(c Case) float64 { return c.Result.UrgentNearFault })
	weighted := collect(cases, func(c Case) float64 { return c.Result.WeightedGoodput() })
	lateness := collect(cases, func(c Case) float64 { return float64(c.Result.P99Lateness.Milliseconds()) })
	refused := collect(cases, func(c Case) float64 { return float64(c.Result.Refused) })
	retried := collect(cases, func(c Case) float64 { return float64(c.Result.Retried) })
	changes := collect(cases, func(c Case) float64 { return float64(c.Result.RoleChanges) })
	violations, cutUrgent := 0, 0
	for _, c := range cases {
		violations += c.Result.Violations
		cutUrgent += c.Result.CutUrgent
	}
	return fmt.Sprintf(
		"%s\t%.2f\t%s\t%s\t%d\t%.4f\t%.4f\t%.4f\t%.4f\t%.4f\t%.4f\t%.4f\t%.4f\t%.4f\t%.0f\t%.0f\t%.0f\t%.0f\t%d\t%d",
		g.deployment, g.load, g.fault, g.policy, len(cases), median(goodput), goodput[0], median(ofBound), ofBound[0],
		median(urgent), urgent[0], median(fits), median(near), median(weighted), median(lateness),
		median(refused), median(retried), median(changes), violations, cutUrgent)
}

// collect returns one metric of every case in ascending order.
func collect(cases []Case, metric func(Case) float64) []float64 {
	values := make([]float64, 0, len(cases))
	for _, c := range cases {
		values = append(values, metric(c))
	}
	slices.Sort(values)
	return values
}

// median returns the middle of sorted values.
func median(sorted []float64) float64 {
	n := len(sorted)
	if n%2 == 1 {
		return sorted[n/2]
	}
	return (sorted[n/2-1] + sorted[n/2]) / 2
}

// WriteLosses writes a table of the requests without a response in time, by deployment, policy, class and cause.
func WriteLosses(cases []Case, out io.Writer) error {
	type key struct{ deployment, policy, class, cause string }
	sums := map[key]int{}
	arrived := map[key]int{}
	for _, c := range cases {
		for _, class := range c.Result.Classes {
			arrived[key{c.Deployment, c.Policy, string(class.Class), ""}] += class.Arrived
			for cause, n := range class.Losses {
				sums[key{c.Deployment, c.Policy, string(class.Class), cause}] += n
			}
		}
	}
	keys := slices.SortedFunc(maps.Keys(sums), func(a, b key) int {
		return strings.Compare(a.deployment+a.policy+a.class+a.cause, b.deployment+b.policy+b.class+b.cause)
	})
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "deployment\tpolicy\tclass\tcause\tlost\tshareOfClass")
	for _, k := range keys {
		all := arrived[key{k.deployment, k.policy, k.class, ""}]
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%.4f\n",
			k.deployment, k.policy, k.class, k.cause, sums[k], share(sums[k], all))
	}
	return table.Flush()
}
