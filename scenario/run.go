package scenario

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	"golang.org/x/sync/errgroup"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"embershunt/config"
	"embershunt/policy"
	"embershunt/server"
	"embershunt/simulated"
)

// Asked is one query as its client saw it.
type Asked struct {
	Serial     int
	Group      int
	Dispatcher int
	Key        int // -1: none
	Work       time.Duration
	Sent       time.Time
	Deadline   time.Time
	Ended      time.Time
	Final      string // served, refused, failed; "" where no word of the dispatcher came
	Reason     string
	Left       bool // the client called it off
	Lost       bool // the dispatcher was killed meanwhile, or was not up
	Rows       int64
	Want       int64
	Error      string
	Native     bool // over the native protocol
	Token      string
	Came       bool // it is a refused one that came back when it was told to
}

// world is a day while it is played.
type world struct {
	script  *Script
	log     *slog.Logger
	rng     *rand.Rand // of the arrivals; one goroutine
	nodes   []*simulated.Node
	rows    []simulated.Listed // as the control service will know them
	control *simulated.Control
	begin   time.Time

	mu      sync.Mutex
	asked   []*Asked
	txs     []*Tx
	hosts   []*host
	lists   []restart // births of nodes
	downs   []span    // when a dispatcher was down
	listBad string
}

type span struct {
	dispatcher int
	from, to   time.Time
}

// restart is the start of a node.
type restart struct {
	node string
	at   time.Time
}

// host is one dispatcher and its clients' connections.
type host struct {
	d       *server.Dispatcher
	cfg     *config.Config
	address string
	client  *flightsql.Client
	natives *natives
	pauses  [][2]float64 // of the loop at changes, of the lives that ended: upper bound in seconds and how many
	cancel  context.CancelFunc
	ended   chan error
}

// Run plays a script and judges it.
func Run(ctx context.Context, s *Script, log *slog.Logger) (*Report, error) {
	w := &world{script: s, log: log, rng: rand.New(rand.NewPCG(uint64(s.Seed), 77)),
		control: simulated.NewControl(cluster)}
	defer w.stop()
	if err := w.start(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	outer := ctx
	group, ctx := errgroup.WithContext(ctx)
	w.begin = time.Now()
	for i := range s.Faults {
		group.Go(func() error { return w.fault(ctx, &s.Faults[i]) })
	}
	group.Go(func() error { return w.versions(ctx) })
	for i := range s.Clients {
		seed := w.rng.Uint64()
		group.Go(func() error { return w.clients(ctx, i, rand.New(rand.NewPCG(seed, 5))) })
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	w.drainSessions(outer)
	r := w.judge()
	w.stop()
	return r, nil
}

func (w *world) start() error {
	s := w.script
	if err := w.control.Start(); err != nil {
		return err
	}
	tokens := map[string]*simulated.Tokens{} // the nodes of a hall drop each other's repeats
	for _, g := range s.Nodes {
		if tokens[g.Zone] == nil {
			tokens[g.Zone] = simulated.NewTokens(s.window())
		}
		model := simulated.Model{ColdFor: s.Config.Limits.SlowStartDuration.D(), ColdFrom: s.Config.Limits.SlowStartFloor}
		for _, k := range s.Config.Kinds {
			if k.Name == g.Kind || g.Kind == "" {
				model.Cores, model.MemoryMB = k.Cores, k.MemoryMB
				break
			}
		}
		for range g.Count {
			n := simulated.NewNode(fmt.Sprintf("node-%d", len(w.nodes)), model, w.rng.Uint64())
			n.Share(tokens[g.Zone])
			if err := n.Start("127.0.0.1:0", false); err != nil {
				return err
			}
			w.nodes = append(w.nodes, n)
			w.rows = append(w.rows, simulated.Listed{Name: n.Name, Address: n.Address, Native: n.Native, Hall: g.Zone, Kind: g.Kind})
		}
	}
	w.control.Set(w.listed(), "")
	for i := range s.Dispatchers {
		h := &host{}
		cfg, err := s.config(i, w.control.Address())
		if err != nil {
			return err
		}
		h.cfg = cfg
		w.hosts = append(w.hosts, h)
		if err := w.up(i); err != nil {
			return err
		}
		h.client, err = flightsql.NewClient(h.address, nil, nil,
			grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(64<<20)))
		if err != nil {
			return err
		}
	}
	return nil
}

// up starts a dispatcher, at the address it had before if it had one.
func (w *world) up(i int) error {
	h := w.hosts[i]
	cfg := *h.cfg
	if h.address != "" {
		cfg.File.Listen.FlightSQL, cfg.File.Listen.Native = h.address, h.natives.address
		h.pauses = addPauses(h.pauses, h.d)
	}
	d, err := server.New(&cfg, server.Options{Log: w.log, Seed: uint64(w.script.Seed)<<8 + uint64(i) + 1})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.d, h.cancel, h.address, h.ended = d, cancel, d.Address(), make(chan error, 1)
	if h.natives == nil {
		h.natives = &natives{address: d.NativeAddress()}
	}
	ended := h.ended
	go func() { ended <- d.Run(ctx) }()
	return nil
}

// stop ends everything; it may be called twice.
func (w *world) stop() {
	for _, h := range w.hosts {
		if h.client != nil {
			h.client.Close()
			h.client = nil
			h.natives.close()
		}
		if h.cancel != nil {
			h.cancel()
			<-h.ended
			h.cancel = nil
		}
	}
	for _, n := range w.nodes {
		n.Die()
	}
	w.control.Stop()
}

func (w *world) listed() []simulated.Listed { return append([]simulated.Listed(nil), w.rows...) }

// list changes one row of the control service's list, after its delay.
func (w *world) list(ctx context.Context, change func(rows []simulated.Listed) []simulated.Listed) {
	if !sleep(ctx, w.script.ListDelay.D()) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rows = change(w.listed())
	w.control.Set(w.listed(), w.listBad)
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// fault plays one fault from its begin to its end.
func (w *world) fault(ctx context.Context, f *Fault) error {
	if !sleep(ctx, time.Until(w.begin.Add(f.At.D()))) {
		return nil
	}
	w.log.Info("fault", "do", f.Do, "nodes", f.Nodes, "for", f.For.D())
	switch f.Do {
	case "list_down":
		w.control.Stop()
		sleep(ctx, f.For.D())
		return w.control.Start()
	case "list_empty", "list_malformed":
		w.bad(f.Do[len("list_"):])
		sleep(ctx, f.For.D())
		w.bad("")
		return nil
	}
	var group errgroup.Group
	for _, n := range f.Nodes {
		group.Go(func() error { return w.strike(ctx, f, n) })
	}
	return group.Wait()
}

func (w *world) bad(what string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.listBad = what
	w.control.Set(w.listed(), what)
}

// strike plays a fault of one node or dispatcher.
func (w *world) strike(ctx context.Context, f *Fault, i int) error {
	if f.Do == "kill" {
		return w.kill(ctx, f, i)
	}
	n := w.nodes[i]
	switch f.Do {
	case "die", "vanish":
		if f.Do == "die" {
			n.Die()
		} else {
			n.Vanish()
		}
		var group errgroup.Group
		group.Go(func() error {
			w.list(ctx, func(rows []simulated.Listed) []simulated.Listed { return without(rows, n.Name) })
			return nil
		})
		sleep(ctx, f.For.D())
		group.Wait()
		return w.reborn(ctx, i)
	case "drain": // it finishes its work, leaves, and comes back as a new process
		w.list(ctx, func(rows []simulated.Listed) []simulated.Listed {
			for j := range rows {
				rows[j].Draining = rows[j].Draining || rows[j].Name == n.Name
			}
			return rows
		})
		if !sleep(ctx, f.For.D()) {
			return nil
		}
		n.Die()
		return w.reborn(ctx, i)
	}
	n.Set(simulated.Faults{Hang: f.Do == "hang", Lost: f.Do == "lose", Full: f.Do == "full", StallRow: onlyIf(f, "stall", f.Rows),
		CutRow: onlyIf(f, "cut", f.Rows), Fail: onlyIf(f, "fail", f.Share), Slow: onlyIf(f, "slow", f.Times),
		PauseFor: onlyIf(f, "pause", f.Pause.D()), PauseEach: onlyIf(f, "pause", f.Each.D())})
	sleep(ctx, f.For.D())
	n.Set(simulated.Faults{})
	return nil
}

func onlyIf[T any](f *Fault, do string, v T) (none T) {
	if f.Do == do {
		return v
	}
	return none
}

func without(rows []simulated.Listed, name string) []simulated.Listed {
	var out []simulated.Listed
	for _, r := range rows {
		if r.Name != name {
			out = append(out, r)
		}
	}
	return out
}

// reborn starts a node anew, cold, and lists it.
func (w *world) reborn(ctx context.Context, i int) error {
	n := w.nodes[i]
	n.Die()
	if ctx.Err() != nil {
		return nil
	}
	if err := n.Start("", true); err != nil {
		return err
	}
	w.mu.Lock()
	w.lists = append(w.lists, restart{n.Name, n.Started()})
	w.mu.Unlock()
	hall, kind := w.where(i)
	w.list(ctx, func(rows []simulated.Listed) []simulated.Listed {
		return append(without(rows, n.Name), simulated.Listed{Name: n.Name, Address: n.Address, Native: n.Native, Hall: hall, Kind: kind,
			Started: n.Started()})
	})
	return nil
}

// versions streams the settings at their times.
func (w *world) versions(ctx context.Context) error {
	for i := range w.script.Versions {
		v := &w.script.Versions[i]
		if !sleep(ctx, time.Until(w.begin.Add(v.At.D()))) {
			return nil
		}
		resources, err := w.script.resources(v)
		if err != nil {
			return err
		}
		w.log.Info("version", "number", v.Number)
		w.control.Put("default", resources...)
	}
	return nil
}

// where is a node's hall and kind.
func (w *world) where(i int) (hall, kind string) {
	for _, g := range w.script.Nodes {
		if i < g.Count {
			return g.Zone, g.Kind
		}
		i -= g.Count
	}
	return "", ""
}

// kill ends a dispatcher without a word and starts it again.
func (w *world) kill(ctx context.Context, f *Fault, i int) error {
	w.mu.Lock()
	h := w.hosts[i]
	h.d.Kill()
	from := time.Now()
	w.mu.Unlock()
	h.cancel()
	<-h.ended
	sleep(ctx, f.For.D())
	w.mu.Lock()
	defer w.mu.Unlock()
	w.downs = append(w.downs, span{i, from, time.Now()})
	return w.up(i)
}

// clients sends one group's queries for the length of the day and waits for all of their answers.
func (w *world) clients(ctx context.Context, g int, rng *rand.Rand) error {
	c := &w.script.Clients[g]
	var group errgroup.Group
	defer group.Wait()
	send := func() {
		if c.Statements > 0 {
			seed := rng.Uint64()
			group.Go(func() error {
				w.transact(ctx, g, rand.New(rand.NewPCG(seed, 9)))
				return nil
			})
			return
		}
		a, statement := w.next(g, rng)
		leave := rng.Float64() < c.LeaveRate
		group.Go(func() error {
			w.ask(ctx, a, statement, leave, c.Retries)
			return nil
		})
	}
	if c.Burst > 0 {
		if !sleep(ctx, time.Until(w.begin.Add(c.BurstAt.D()))) {
			return nil
		}
		for range c.Burst {
			send()
		}
		return nil
	}
	at := w.begin
	for c.Rate > 0 {
		at = at.Add(time.Duration(rng.ExpFloat64() / c.Rate * 1e9))
		if at.Sub(w.begin) > w.script.Length.D() || !sleep(ctx, time.Until(at)) {
			return nil
		}
		send()
	}
	return nil
}

// next draws a query.
func (w *world) next(g int, rng *rand.Rand) (*Asked, string) {
	c := &w.script.Clients[g]
	native := c.Keyed || c.Native > 0 && rng.Float64() < c.Native
	work := c.WorkMS * math.Exp(c.Sigma*rng.NormFloat64())
	a := &Asked{Group: g, Key: -1, Dispatcher: rng.IntN(len(w.hosts)), Want: int64(c.Rows),
		Work: time.Duration(work * float64(time.Millisecond)), Native: native}
	if c.Keys > 0 {
		a.Key = rng.IntN(c.Keys)
		a.Dispatcher = a.Key % len(w.hosts) // order is kept by each dispatcher alone
	}
	return a, w.book(a, false)
}

// book numbers a query and writes its statement.
func (w *world) book(a *Asked, retry bool) string {
	c := &w.script.Clients[a.Group]
	w.mu.Lock()
	a.Serial = len(w.asked)
	w.asked = append(w.asked, a)
	w.mu.Unlock()
	verb := "SELECT * FROM policy"
	switch {
	case c.Keyed:
		verb = "INSERT INTO events (id, name)"
		if a.Token == "" {
			a.Token = fmt.Sprintf("token-%d", a.Serial)
		}
	case c.Update, c.Statements > 0:
		verb = "INSERT INTO payment VALUES (1)"
	}
	s := fmt.Sprintf("%s /* serial=%d class=%s work_ms=%.3f threads=%d rows=%d", verb, a.Serial, c.Class,
		float64(a.Work.Microseconds())/1e3, max(c.Threads, 1), c.Rows)
	if c.RowBytes > 0 {
		s += fmt.Sprintf(" row_bytes=%d", c.RowBytes)
	}
	if c.Hints {
		s += fmt.Sprintf(" cost_ms=%.3f", float64(a.Work.Microseconds())/1e3)
	}
	if c.MemoryMB > 0 {
		s += fmt.Sprintf(" memory_mb=%.0f", c.MemoryMB)
	}
	if a.Key >= 0 {
		s += fmt.Sprintf(" key=k%d", a.Key)
	}
	if retry {
		s += " retry=1"
	}
	if s += " */"; c.Keyed {
		s += " VALUES"
	}
	return s
}

// ask sends one query and books its end; a refused one comes back when it may.
func (w *world) ask(outer context.Context, a *Asked, statement string, leave bool, retries int) {
	c := &w.script.Clients[a.Group]
	now := time.Now()
	deadline := now.Add(c.Deadline.D())
	ctx, cancel := context.WithDeadline(outer, deadline)
	defer cancel()
	if leave {
		t := time.AfterFunc(c.Deadline.D()/2, cancel)
		defer t.Stop()
	}
	w.mu.Lock()
	a.Sent, a.Deadline = now, deadline
	client, natives := w.hosts[a.Dispatcher].client, w.hosts[a.Dispatcher].natives
	w.mu.Unlock()
	var rows int64
	var err error
	speak := word
	if a.Native {
		speak = nativeWord
		if rows, err = natives.execute(ctx, statement, a.Token); c.Update || c.Keyed {
			rows = a.Want // counted by nodes
		}
	} else {
		rows, err = execute(ctx, client, statement, c.Update)
	}
	ended := time.Now()
	final, reason, back := speak(err)
	w.mu.Lock()
	a.Ended, a.Final, a.Reason, a.Rows = ended, final, reason, rows
	a.Left = leave && ctx.Err() == context.Canceled
	if err != nil {
		a.Error = err.Error()
		a.Lost = final == "" && (a.Native || status.Code(err) == codes.Unavailable)
	}
	w.mu.Unlock()
	if final == "refused" && retries > 0 && sleep(outer, back) {
		again := &Asked{Group: a.Group, Dispatcher: a.Dispatcher, Key: a.Key, Work: a.Work, Want: a.Want, Native: a.Native,
			Token: a.Token, Came: back > 0}
		text := w.book(again, true)
		w.ask(outer, again, text, false, retries-1)
	}
}

// execute runs a statement with a real Flight SQL client.
func execute(ctx context.Context, client *flightsql.Client, statement string, update bool) (rows int64, err error) {
	if update {
		return client.ExecuteUpdate(ctx, statement)
	}
	info, err := client.Execute(ctx, statement)
	if err != nil {
		return 0, err
	}
	r, err := client.DoGet(ctx, info.Endpoint[0].Ticket)
	if err != nil {
		return 0, err
	}
	defer r.Release()
	for r.Next() {
		rows += r.RecordBatch().NumRows()
	}
	if err := r.Err(); err != nil && !errors.Is(err, io.EOF) {
		return rows, err
	}
	return rows, nil
}

// word reads the final answer's kind, reason and come-back time from an error.
func word(err error) (final, reason string, back time.Duration) {
	if err == nil {
		return "served", "", 0
	}
	var s interface{ GRPCStatus() *status.Status }
	if !errors.As(err, &s) {
		return "", "", 0
	}
	for _, d := range s.GRPCStatus().Details() {
		switch d := d.(type) {
		case *errdetails.ErrorInfo:
			final, reason = d.GetMetadata()["final"], d.GetReason()
		case *errdetails.RetryInfo:
			back = d.GetRetryDelay().AsDuration()
		}
	}
	return final, reason, back
}

// classOf is the class of a group as the module knows it.
func (w *world) classOf(g int) policy.Class {
	cfg := w.hosts[0].cfg
	for i, c := range cfg.Settings.Classes {
		if c.Name == w.script.Clients[g].Class {
			if k := cfg.Classes.Keyed[i]; w.script.Clients[g].Keyed && k >= 0 {
				return cfg.Settings.Classes[k]
			}
			if w.script.Clients[g].Update || w.script.Clients[g].Keyed || w.script.Clients[g].Statements > 0 {
				return cfg.Settings.Classes[cfg.Classes.Updates[i]]
			}
			return c
		}
	}
	return policy.Class{}
}

// addPauses adds a dispatcher's histogram of the loop's pauses at changes of the settings.
func addPauses(sum [][2]float64, d *server.Dispatcher) [][2]float64 {
	families, err := d.Registry().Gather()
	if err != nil {
		return sum
	}
	for _, f := range families {
		if f.GetName() != "embershunt_change_pause_seconds" {
			continue
		}
		for i, b := range f.GetMetric()[0].GetHistogram().GetBucket() {
			if i >= len(sum) {
				sum = append(sum, [2]float64{b.GetUpperBound()})
			}
			sum[i][1] += float64(b.GetCumulativeCount())
		}
	}
	return sum
}
