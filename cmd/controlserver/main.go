// Command controlserver is a simulated control service. It streams the node list and numbered sets of settings from a folder
// to dispatchers, rolls new sets out in stages, and prints the reply of each dispatcher.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"google.golang.org/protobuf/types/known/anypb"

	"embershunt/config"
	"embershunt/control"
	"embershunt/simulated"
)

var cli struct {
	Folder  string            `arg:"" type:"existingdir" help:"Folder with nodes.jsonc and settings, NUMBER.jsonc; changes are read."`
	Listen  string            `short:"l" default:"127.0.0.1:18000" help:"Address for dispatchers."`
	Status  string            `help:"HTTP address of the status table of dispatchers; none if empty."`
	Cluster string            `default:"query-nodes" help:"Name of the node list."`
	Stages  []float64         `default:"0.1,0.5,1" help:"Cumulative shares of the dispatchers that get a new set, by stage."`
	Hold    time.Duration     `default:"10s" help:"Minimum time in a stage after all its dispatchers have replied."`
	Metrics map[string]string `help:"Metrics addresses of dispatchers, NAME=HOST:PORT, to compare their shares of queries served."`
	Fall    float64           `default:"0.1" help:"Drop of the share served, against the old set, that halts the rollout; 0: none does."`
	Refusal float64           `default:"0.05" help:"Share of a stage's dispatchers that halts the rollout if they reject the set."`
}

// Intervals and timeouts.
const (
	readInterval  = 500 * time.Millisecond // between two reads of the folder
	scrapeTimeout = time.Second            // for the metrics of one dispatcher
	statusTimeout = 5 * time.Second        // for the header of a request on the status address
)

// Exit codes: 0 ended by a signal; 1 cannot listen; 80 wrong usage (by kong).
func main() {
	kong.Parse(&cli, kong.Name("controlserver"), kong.Description("Streams node lists and settings to dispatchers."))
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "controlserver:", err)
		os.Exit(1)
	}
}

// service is the control service, with the content of its folder as last read.
type service struct {
	control *simulated.Control
	rollout *control.Rollout
	begin   time.Time
	sets    map[uint64]control.FileParts // sets read so far, by number
	nodes   string                       // text of the current node list
	printed map[string]string            // the last error printed, by file
}

func run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	s := &service{control: simulated.NewControl(cli.Cluster), begin: time.Now(), sets: map[uint64]control.FileParts{},
		printed: map[string]string{}, rollout: control.NewRollout(0, cli.Stages, cli.Hold.Microseconds(), cli.Refusal)}
	s.rollout.MaxServiceDrop = cli.Fall
	s.control.SetRollout(s.rollout.Offer, func(d string, n uint64, refused string) { s.rollout.RecordReply(s.now(), d, n, refused) })
	s.readFolder()
	s.control.SetAddress(cli.Listen)
	if err := s.control.Start(); err != nil {
		return err
	}
	defer s.control.Stop()
	fmt.Println("serves", s.control.Address())
	if cli.Status != "" {
		defer s.serveStatus(cli.Status)()
	}
	ticker := time.NewTicker(readInterval)
	defer ticker.Stop()
	for printed := ""; ; {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		s.readFolder()
		s.recordService(ctx)
		s.control.Update(func() { s.rollout.Advance(s.now()) })
		s.addRollback()
		if t := s.table(); t != printed {
			fmt.Println(t)
			printed = t
		}
	}
}

// now returns the time since the start in microseconds, at least 1: the rollout takes 0 for an event that has not occurred.
func (s *service) now() control.Micros { return time.Since(s.begin).Microseconds() + 1 }

// recordService gives the rollout the query counters of each dispatcher. A dispatcher whose metrics cannot be read is left out.
func (s *service) recordService(ctx context.Context) {
	for name, address := range cli.Metrics {
		served, received, err := scrapeCounters(ctx, address)
		if err == nil {
			s.control.Update(func() { s.rollout.RecordService(s.now(), name, served, received) })
		}
	}
}

// scrapeCounters reads the numbers of queries served and received from a dispatcher's metrics.
func scrapeCounters(ctx context.Context, address string) (served, received float64, err error) {
	ctx, cancel := context.WithTimeout(ctx, scrapeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return 0, 0, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = response.Body.Close() }() // only read: nothing is lost
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(response.Body)
	if err != nil {
		return 0, 0, err
	}
	for _, m := range families["embershunt_queries_total"].GetMetric() {
		received += m.GetCounter().GetValue()
		for _, l := range m.GetLabel() {
			if l.GetName() == "final" && l.GetValue() == "served" {
				served += m.GetCounter().GetValue()
			}
		}
	}
	return served, received, nil
}

// readFolder reads the node list and the new sets, and starts the rollout of the highest new number. An error of a file is
// printed once, until the file has another one.
func (s *service) readFolder() {
	files, _ := filepath.Glob(filepath.Join(cli.Folder, "*.jsonc"))
	newest := uint64(0)
	for _, f := range files {
		text, err := os.ReadFile(f)
		base := strings.TrimSuffix(filepath.Base(f), ".jsonc")
		if err == nil && base == "nodes" {
			err = s.readNodes(f, text)
		} else if n, parseErr := strconv.ParseUint(base, 10, 64); err == nil && parseErr == nil && n > 0 && !s.hasSet(n) {
			if high := s.rollout.HighestNumber(); n <= high {
				err = fmt.Errorf("%s: found number %d, allowed are numbers above %d, the highest in use", f, n, high)
			} else if err = s.readSettings(f, n, text); err == nil {
				newest = max(newest, n)
			}
		}
		if err != nil && s.printed[f] != err.Error() {
			s.printed[f] = err.Error()
			fmt.Fprintln(os.Stderr, err)
		}
	}
	if newest > 0 {
		s.control.Update(func() { s.rollout.Begin(s.now(), newest) })
	}
}

func (s *service) hasSet(n uint64) bool { _, ok := s.sets[n]; return ok }

// readSettings decodes a settings file and adds it as set n.
func (s *service) readSettings(file string, n uint64, text []byte) error {
	var parts control.FileParts
	if err := config.Decode(file, text, &parts, nil); err != nil {
		return err
	}
	return s.addSet(n, parts)
}

// addRollback adds the content of the previous set under the new number by which a halted rollout offers it.
func (s *service) addRollback() {
	if n, of := s.rollout.Restored(); n > 0 && of > 0 && !s.hasSet(n) {
		if err := s.addSet(n, s.sets[of]); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}
}

// addSet makes a set available to the rollout under number n.
func (s *service) addSet(n uint64, parts control.FileParts) error {
	set := parts.Set(n)
	var all []*anypb.Any
	for _, m := range set.Resources() {
		a, err := anypb.New(m)
		if err != nil {
			return err
		}
		all = append(all, a)
	}
	s.sets[n] = parts
	s.control.Update(func() { s.control.AddSet(n, all) })
	return nil
}

// readNodes decodes the node list and, if its text has changed, publishes it.
func (s *service) readNodes(file string, text []byte) error {
	if string(text) == s.nodes {
		return nil
	}
	var list struct {
		Nodes []config.Node `json:"nodes"`
	}
	if err := config.Decode(file, text, &list, nil); err != nil {
		return err
	}
	var rows []simulated.ListedNode
	for _, n := range list.Nodes {
		if n.State == "gone" {
			continue
		}
		row := simulated.ListedNode{Name: n.Name, Address: n.Address, Zone: n.Zone, Kind: n.Kind, Draining: n.State == "draining"}
		if n.Started != "" {
			at, err := time.Parse(time.RFC3339Nano, n.Started)
			if err != nil {
				return fmt.Errorf("%s: node %q: started: %w", file, n.Name, err)
			}
			row.Started = at
		}
		rows = append(rows, row)
	}
	s.nodes = string(text)
	s.control.SetEndpoints(rows, "")
	return nil
}

// serveStatus serves the status table over HTTP until the returned function is called.
func (s *service) serveStatus(address string) (stop func()) {
	status := &http.Server{Addr: address, ReadHeaderTimeout: statusTimeout,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = fmt.Fprint(w, s.table()) // the client may have disconnected
		})}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := status.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
			fmt.Fprintln(os.Stderr, "controlserver: status:", err)
		}
	}()
	return func() {
		_ = status.Close() // the program ends
		<-done
	}
}

// table returns the state of the rollout and the last reply of each dispatcher.
func (s *service) table() string {
	var b strings.Builder
	s.control.Update(func() {
		fmt.Fprintln(&b, s.rollout.State())
		w := tabwriter.NewWriter(&b, 0, 4, 2, ' ', 0) // writing to a strings.Builder never fails
		_, _ = fmt.Fprintln(w, "dispatcher\tin force\trefused\treason")
		for _, status := range s.rollout.Statuses() {
			_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%s\n", status.Dispatcher, status.Number, status.Rejected, status.Reason)
		}
		_ = w.Flush()
	})
	return b.String()
}
