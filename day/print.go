package day

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

// Print writes the report as tables.
func (r *Report) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "%s (simulated nodes on loopback)\n\nrule\tchecked\tbroken\tfirst case\n", r.Name)
	for _, x := range r.Rules {
		fmt.Fprintf(w, "%s\t%d\t%d\t%s\n", x.Name, x.Checked, x.Broken, x.First)
	}
	fmt.Fprintf(w, "\nclients\tasked\tserved\tin time\trefused\tfailed\tleft\tno word\tp50\tp99\tmax\n")
	ms := func(d time.Duration) string { return d.Round(100 * time.Microsecond).String() }
	for _, c := range r.Classes {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\n", c.Name, c.Asked, c.Served, c.InTime, c.Refused,
			c.Failed, c.Left, c.Lost, ms(c.P50), ms(c.P99), ms(c.Max))
	}
	fmt.Fprintf(w, "\nattempts seen at nodes\t%d\nfurther attempts among them\t%d\n", r.Attempts, r.Further)
	fmt.Fprintf(w, "last attempt seen after a drain was told\t%s\nresponses turned down\t%d\n", ms(r.Latest), r.Nacks)
	for _, x := range r.Sets {
		fmt.Fprintf(w, "in force at the end\t%s\n", x)
	}
	for _, k := range slices.Sorted(maps.Keys(r.Reasons)) {
		fmt.Fprintf(w, "reason %s\t%d\n", k, r.Reasons[k])
	}
	return w.Flush()
}
