package scenario

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
	fmt.Fprintf(w, "asked over the native protocol\t%d\n", r.Natively)
	if r.Came > 0 {
		fmt.Fprintf(w, "came back when told to\t%d, served %d (%.3f)\n", r.Came, r.CameOK, float64(r.CameOK)/float64(r.Came))
	}
	if s := &r.Sessions; s.Begun > 0 {
		fmt.Fprintf(w, "transactions begun\t%d, turned away %d, left open on nodes at the end %d\n", s.Begun, s.NotBegun, s.Open)
		fmt.Fprintf(w, "transactions begun by node\t%v\n", s.ByNode)
		for _, k := range slices.Sorted(maps.Keys(s.Ends)) {
			fmt.Fprintf(w, "transactions %s\t%d\n", k, s.Ends[k])
		}
		for _, k := range slices.Sorted(maps.Keys(s.Reasons)) {
			fmt.Fprintf(w, "transactions ended by %.60s\t%d\n", k, s.Reasons[k])
		}
	}
	before := 0.0
	for _, b := range r.Pauses {
		if n := b[1] - before; n > 0 {
			fmt.Fprintf(w, "pauses of the loop at a change, up to %v\t%.0f\n", time.Duration(b[0]*1e9), n)
		}
		before = b[1]
	}
	for _, x := range r.Sets {
		fmt.Fprintf(w, "in force at the end\t%s\n", x)
	}
	for _, k := range slices.Sorted(maps.Keys(r.Reasons)) {
		fmt.Fprintf(w, "reason %s\t%d, such as: %.150s\n", k, r.Reasons[k], r.Samples[k])
	}
	return w.Flush()
}

// PrintPair compares the service of two days by client group: shares served and in time, and the 99th percentile.
func PrintPair(out io.Writer, without, with *Report) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "\nclients\tserved without\tserved with\tin time without\tin time with\tp99 with/without\n")
	share := func(n, of int) float64 { return float64(n) / float64(max(of, 1)) }
	for i, a := range without.Classes {
		b := with.Classes[i]
		fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.2f\n", a.Name, share(a.Served, a.Asked), share(b.Served, b.Asked),
			share(a.InTime, a.Asked), share(b.InTime, b.Asked), float64(b.P99)/float64(max(a.P99, 1)))
	}
	return w.Flush()
}
