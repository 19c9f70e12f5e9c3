package scenario

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

// Print writes the report as tables.
func (r *Report) Print(out io.Writer) error {
	var text bytes.Buffer // lines of cells separated by tabs
	fmt.Fprintf(&text, "%s (simulated nodes on loopback)\n\nrule\tchecked\tbroken\tfirst case\n", r.Name)
	for _, rule := range r.Rules {
		fmt.Fprintf(&text, "%s\t%d\t%d\t%s\n", rule.Name, rule.Checked, rule.Violations, rule.First)
	}
	r.printClients(&text)
	r.printAttempts(&text)
	r.Transactions.print(&text)
	r.printPauses(&text)
	for _, set := range r.SettingsInEffect {
		fmt.Fprintf(&text, "settings in effect at the end\t%s\n", set)
	}
	for _, reason := range slices.Sorted(maps.Keys(r.Reasons)) {
		fmt.Fprintf(&text, "reason %s\t%d, for example: %.150s\n", reason, r.Reasons[reason], r.Samples[reason])
	}
	return writeAligned(out, &text)
}

// writeAligned writes tab-separated lines as aligned columns.
func writeAligned(out io.Writer, text *bytes.Buffer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	_, err := w.Write(text.Bytes())
	return errors.Join(err, w.Flush())
}

func (r *Report) printClients(text *bytes.Buffer) {
	fmt.Fprintf(text, "\nclients\tsent\tserved\tin time\trejected\tfailed\tcancelled\tunanswered\tp50\tp99\tmax\n")
	for _, c := range r.Clients {
		fmt.Fprintf(text, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\n", c.Name, c.Sent, c.Served, c.WithinObjective, c.Rejected,
			c.Failed, c.Cancelled, c.Unanswered, rounded(c.P50), rounded(c.P99), rounded(c.Max))
	}
}

func rounded(d time.Duration) string { return d.Round(100 * time.Microsecond).String() }

func (r *Report) printAttempts(text *bytes.Buffer) {
	fmt.Fprintf(text, "\nattempts seen at nodes\t%d\nfurther attempts among them\t%d\n", r.Attempts, r.Retries)
	fmt.Fprintf(text, "latest attempt after a drain notice\t%s\ncontrol responses rejected (NACK)\t%d\n",
		rounded(r.LatestAfterDrain), r.Nacks)
	fmt.Fprintf(text, "queries over the native protocol\t%d\n", r.NativeQueries)
	if r.RetriesAfterDelay > 0 {
		fmt.Fprintf(text, "retries after the stated retry-after\t%d, served %d (%.3f)\n", r.RetriesAfterDelay, r.RetriesAfterDelayServed,
			float64(r.RetriesAfterDelayServed)/float64(r.RetriesAfterDelay))
	}
}

func (s *TransactionReport) print(text *bytes.Buffer) {
	if s.Started == 0 {
		return
	}
	fmt.Fprintf(text, "transactions started\t%d, not started %d, left open on nodes at the end %d\n", s.Started, s.NotStarted, s.Open)
	fmt.Fprintf(text, "transactions started by node\t%v\n", s.ByNode)
	for _, end := range slices.Sorted(maps.Keys(s.Ends)) {
		fmt.Fprintf(text, "transactions %s\t%d\n", end, s.Ends[end])
	}
	for _, reason := range slices.Sorted(maps.Keys(s.Reasons)) {
		fmt.Fprintf(text, "transactions ended with reason %.60s\t%d\n", reason, s.Reasons[reason])
	}
}

// printPauses prints the non-empty buckets of the histogram of event loop pauses at settings changes.
func (r *Report) printPauses(text *bytes.Buffer) {
	lower := 0.0 // cumulative count of the buckets before
	for _, bucket := range r.Pauses {
		if n := bucket[1] - lower; n > 0 {
			fmt.Fprintf(text, "event loop pauses at settings changes, up to %v\t%.0f\n", time.Duration(bucket[0]*1e9), n)
		}
		lower = bucket[1]
	}
}

// PrintPair compares two days, without and with settings changes, by client group: the shares of queries served and served in time, and
// the 99th percentile of the latency.
func PrintPair(out io.Writer, without, with *Report) error {
	var text bytes.Buffer
	fmt.Fprintf(&text, "\nclients\tserved without changes\tserved with changes\tin time without changes\tin time with changes\t"+
		"p99 with/without\n")
	share := func(n, of int) float64 { return float64(n) / float64(max(of, 1)) }
	for i, a := range without.Clients {
		b := with.Clients[i]
		fmt.Fprintf(&text, "%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.2f\n", a.Name, share(a.Served, a.Sent), share(b.Served, b.Sent),
			share(a.WithinObjective, a.Sent), share(b.WithinObjective, b.Sent), float64(b.P99)/float64(max(a.P99, 1)))
	}
	return writeAligned(out, &text)
}
