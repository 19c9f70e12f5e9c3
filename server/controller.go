package server

import (
	"context"
	"errors"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"

	"golang.org/x/sync/errgroup"

	"embershunt/config"
	"embershunt/control"
	"embershunt/control/stream"
	"embershunt/dispatch"
	"embershunt/store"
)

// controller carries out what the control module decides: one goroutine owns the module, the stream and the store are
// its hands. It decides nothing.
type controller struct {
	d      *Dispatcher
	log    *slog.Logger
	local  config.File // without what is streamed
	module *control.Module
	stream *stream.Stream
	store  *store.Store // nil: versions do not outlive the process
	events chan func(*control.Module) []control.Action
	status atomic.Pointer[control.Status]
	mu     sync.Mutex
	news   chan struct{} // closed at each change of the status
	group  *errgroup.Group
	serial uint64 // of changes of the settings, for the loop
}

// newController reads the last good version out of the store, if there is one, and returns the configuration to start
// with. A damaged version is passed over in favour of the one before it.
func newController(cfg *config.Config, log *slog.Logger) (*controller, *config.Config, error) {
	c := &controller{log: log, events: make(chan func(*control.Module) []control.Action, 256), news: make(chan struct{})}
	k := cfg.File.Control
	bounds, force, local := control.DefaultBounds(), control.Set{}, cfg.File
	c.local = local
	if k == nil {
		c.module = control.New(bounds, local, force)
		return c, cfg, nil
	}
	bounds.Floor, bounds.FloorCount, bounds.NoShorter = k.Floor, k.FloorCount, !k.Shorter
	bounds.RelistAfter = k.RelistAfter.D().Microseconds()
	if k.Store != "" {
		s, err := store.Open(k.Store, k.KeepVersions)
		if err != nil {
			return nil, nil, err
		}
		c.store = s
		set, damaged, err := s.Last()
		for _, one := range damaged {
			log.Error("a stored version is damaged and passed over", "error", one)
		}
		switch {
		case errors.Is(err, store.ErrNone):
		case err != nil:
			s.Close()
			return nil, nil, err
		default:
			started, err := control.Merge(cfg.File, set)
			if err != nil {
				log.Error("the last version does not fit the file any more; starting from the file", "set", set.Number, "error", err)
				break
			}
			log.Info("starting from the last good version", "set", set.Number)
			cfg, force = started, set
		}
	}
	c.module = control.New(bounds, local, force)
	c.publish()
	return c, cfg, nil
}

// publish shows where the module stands, and wakes those that await it.
func (c *controller) publish() {
	s := c.module.Status()
	c.status.Store(&s)
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.news)
	c.news = make(chan struct{})
}

// await returns when the status satisfies good, or with the context's error.
func (c *controller) await(ctx context.Context, good func(control.Status) bool) error {
	for {
		c.mu.Lock()
		news := c.news
		c.mu.Unlock()
		if s := c.status.Load(); s != nil && good(*s) {
			return nil
		}
		select {
		case <-news:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// run owns the module until ctx ends.
func (c *controller) run(ctx context.Context) error {
	c.group, ctx = errgroup.WithContext(ctx)
	c.group.Go(func() error { return c.stream.Run(ctx) })
	c.group.Go(func() error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case ev := <-c.events:
				actions := ev(c.module)
				c.publish() // before anybody hears of it
				for _, a := range actions {
					c.carry(ctx, a)
				}
			}
		}
	})
	err := c.group.Wait()
	if c.store != nil {
		err = errors.Join(err, c.store.Close())
	}
	return err
}

// tell hands an event to the module's goroutine.
func (c *controller) tell(ctx context.Context, ev control.Event) {
	step := func(m *control.Module) []control.Action { return m.Step(c.d.clock.Now(), ev) }
	select {
	case c.events <- step:
	case <-ctx.Done():
	}
}

// carry does one action. What takes time is done beside and told as an event.
func (c *controller) carry(ctx context.Context, a control.Action) {
	switch a := a.(type) {
	case control.Ack:
		c.stream.Reply(stream.Reply{Kind: a.Kind, Version: a.Version, Nonce: a.Nonce})
	case control.Nack:
		c.stream.Reply(stream.Reply{Kind: a.Kind, Version: a.Version, Nonce: a.Nonce, Reasons: a.Reasons})
	case control.Store:
		c.group.Go(func() error {
			var err error
			if c.store != nil {
				err = c.store.Put(a.Set)
			}
			c.tell(ctx, control.Stored{Number: a.Set.Number, Err: err})
			return nil
		})
	case control.Forget:
		if c.store != nil {
			if err := c.store.Forget(a.Number); err != nil {
				c.log.Error("a version that could not be put in force stays in the store", "set", a.Number, "error", err)
			}
		}
	case control.Apply:
		c.apply(ctx, a)
	case control.List:
		if err := c.d.fleet.SetNodes(a.Nodes); err != nil {
			c.log.Error("node list", "error", err)
		}
	case control.ListRefused:
		c.d.fleet.ListFailed(errors.New(strings.Join(a.Reasons, "; ")))
	case control.Renew:
		c.stream.Renew()
	case control.Log:
		c.log.Info(a.Text, "from", "control")
	}
}

// apply puts a set in force between two steps of the loop; calls that come later are classified by it.
func (c *controller) apply(ctx context.Context, a control.Apply) {
	c.serial++
	version := c.serial
	done := make(chan error, 1)
	c.d.loop.Post(dispatch.Change{Version: version, Settings: a.Config.Settings, Done: func(err error) { done <- err }})
	c.group.Go(func() error {
		select {
		case err := <-done:
			if err == nil {
				c.d.desk.SetTables(tables(a.Config, version))
			}
			c.tell(ctx, control.Applied{Number: a.Set.Number, Err: err})
		case <-ctx.Done(): // the loop may have ended before it
		}
		return nil
	})
}

// handler is the stream's side of a controller.
type handler struct {
	c   *controller
	ctx context.Context
}

func knownOf(core *dispatch.Core) control.LiveState {
	k := control.LiveState{InFlight: core.InFlight()}
	k.Retries, k.Received, k.OrderKeyResting = core.Outstanding()
	return k
}

// Offered implements stream.Handler. What is out is asked of the loop first: the checks for harm need it.
func (h handler) Offered(ev control.Offered) {
	if ev.Kind != control.Nodes {
		known := make(chan control.LiveState, 1)
		h.c.d.loop.Post(dispatch.Inspect{Func: func(core *dispatch.Core) {
			known <- knownOf(core)
		}})
		select {
		case ev.Live = <-known:
		case <-h.ctx.Done():
			return
		}
	}
	h.c.tell(h.ctx, ev)
}

// Lost implements stream.Handler.
func (h handler) Lost(err error) {
	if !errors.Is(err, stream.ErrRenewed) {
		h.c.d.fleet.ListFailed(err)
	}
	h.c.tell(h.ctx, control.Lost{})
}

// BreakStore closes the store under a running dispatcher, so that every write to it fails: for tests of full and read-only
// disks.
func (d *Dispatcher) BreakStore() error { return d.control.store.Close() }
