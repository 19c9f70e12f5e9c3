// Command controlserver is a stand-in control service: it streams node lists and numbered settings from a folder to
// dispatchers, a share of them first, and shows what each one replied.
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
	Folder  string            `arg:"" type:"existingdir" help:"Folder with nodes.jsonc and versions of the settings, NUMBER.jsonc. It is read again as it changes."`
	Listen  string            `short:"l" default:"127.0.0.1:18000" help:"Address for dispatchers."`
	Status  string            `help:"Address for GET / with the table of dispatchers; none if empty."`
	Cluster string            `default:"query-nodes" help:"Name of the node list."`
	Stages  []float64         `default:"0.1,0.5,1" help:"Shares of the dispatchers that get a new version, stage by stage."`
	Hold    time.Duration     `default:"10s" help:"Least time in a stage after its last acknowledgement."`
	Metrics map[string]string `help:"Metrics addresses by dispatcher's name, NAME=HOST:PORT, to compare service by."`
	Fall    float64           `default:"0.1" help:"Fall of the share served, against dispatchers with the old set, that halts the rollout; 0: none does."`
	Refusal float64           `default:"0.05" help:"Share of a stage's dispatchers whose refusal halts the rollout."`
}

// Intervals and time-outs.
const (
	readInterval  = 500 * time.Millisecond // between two looks at the folder
	scrapeTimeout = time.Second            // of one dispatcher's metrics
	statusTimeout = 5 * time.Second        // for the header of a request for the table
)

// Exit codes: 0 ended by a signal, 1 it cannot serve, 2 wrong usage.
func main() {
	kong.Parse(&cli, kong.Name("controlserver"), kong.Description("Streams node lists and settings to dispatchers."))
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "controlserver:", err)
		os.Exit(1)
	}
}

// service is the folder as it was read last.
type service struct {
	control *simulated.Control
	rollout *control.Rollout
	begin   time.Time
	sets    map[uint64]control.FileParts // versions of the settings read so far, by number
	nodes   string                       // text of the node list in force
	printed map[string]string            // the last error printed, by file
}

func run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	s := &service{control: simulated.NewControl(cli.Cluster), begin: time.Now(), sets: map[uint64]control.FileParts{},
		printed: map[string]string{}, rollout: control.NewRollout(0, cli.Stages, cli.Hold.Microseconds(), cli.Refusal)}
	s.rollout.MaxServiceDrop = cli.Fall
	s.control.Stage(s.rollout.Offer, func(d string, n uint64, refused string) { s.rollout.RecordReply(s.now(), d, n, refused) })
	s.read()
	s.control.At(cli.Listen)
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
	for last := ""; ; {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		s.read()
		s.compareService(ctx)
		s.control.Locked(func() { s.rollout.Advance(s.now()) })
		s.addRollback()
		if t := s.table(); t != last {
			fmt.Println(t)
			last = t
		}
	}
}

func (s *service) now() control.Micros { return time.Since(s.begin).Microseconds() + 1 }

// compareService reads each dispatcher's counters of final answers; one that cannot be reached is left out.
func (s *service) compareService(ctx context.Context) {
	for name, address := range cli.Metrics {
		served, received, err := counters(ctx, address)
		if err == nil {
			s.control.Locked(func() { s.rollout.RecordService(s.now(), name, served, received) })
		}
	}
}

func counters(ctx context.Context, address string) (served, received float64, err error) {
	ctx, cancel := context.WithTimeout(ctx, scrapeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return 0, 0, err
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = answer.Body.Close() }() // all of it has been read
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(answer.Body)
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

// read takes up what is new in the folder. A file with errors is reported once and left alone.
func (s *service) read() {
	files, _ := filepath.Glob(filepath.Join(cli.Folder, "*.jsonc"))
	newest := uint64(0)
	for _, f := range files {
		text, err := os.ReadFile(f)
		base := strings.TrimSuffix(filepath.Base(f), ".jsonc")
		if err == nil && base == "nodes" {
			err = s.readNodes(f, text)
		} else if n, bad := strconv.ParseUint(base, 10, 64); err == nil && bad == nil && n > 0 && !s.has(n) {
			if high := s.rollout.Highest(); n <= high {
				err = fmt.Errorf("%s: number %d: allowed are those above %d, which is in use", f, n, high)
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
		s.control.Locked(func() { s.rollout.Begin(s.now(), newest) })
	}
}

func (s *service) has(n uint64) bool { _, ok := s.sets[n]; return ok }

func (s *service) readSettings(file string, n uint64, text []byte) error {
	var parts control.FileParts
	if err := config.Decode(file, text, &parts, nil); err != nil {
		return err
	}
	return s.add(n, parts)
}

// addRollback makes the content of the set before a halted one known under the number it is offered by.
func (s *service) addRollback() {
	if n, of := s.rollout.Restored(); n > 0 && of > 0 && !s.has(n) {
		if err := s.add(n, s.sets[of]); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}
}

func (s *service) add(n uint64, parts control.FileParts) error {
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
	s.control.Locked(func() { s.control.AddSet(n, all) })
	return nil
}

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
	s.control.Set(rows, "")
	return nil
}

// serveStatus serves the table until the returned function is called.
func (s *service) serveStatus(address string) (stop func()) {
	status := &http.Server{Addr: address, ReadHeaderTimeout: statusTimeout,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = fmt.Fprint(w, s.table()) // a reader that has left needs no table
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

// table shows how far the rollout is and what each dispatcher replied last.
func (s *service) table() string {
	var b strings.Builder
	s.control.Locked(func() {
		fmt.Fprintln(&b, s.rollout.State())
		w := tabwriter.NewWriter(&b, 0, 4, 2, ' ', 0) // writes to a builder: never fails
		_, _ = fmt.Fprintln(w, "dispatcher\tin force\trefused\treason")
		for _, status := range s.rollout.Statuses() {
			_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%s\n", status.Dispatcher, status.Number, status.Refused, status.Reason)
		}
		_ = w.Flush()
	})
	return b.String()
}
