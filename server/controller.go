package server

import (
	"context"
	"errors"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"embershunt/config"
	"embershunt/control"
	"embershunt/control/stream"
	"embershunt/dispatch"
	"embershunt/store"
)

const (
	// maxQueuedSteps is the number of steps that may wait for the control module's goroutine.
	maxQueuedSteps = 256
	// maxReconnectBackoff bounds the backoff of the stream where the file has no control block, which would set it.
	maxReconnectBackoff = 5 * time.Second
)

// controller runs the control module and executes its actions with the stream, the store and the loop. One goroutine owns the module.
// All decisions are the module's.
type controller struct {
	dispatcher      *Dispatcher
	log             *slog.Logger
	local           config.File // configuration file; streamed settings replace parts of it
	module          *control.Module
	stream          *stream.Stream
	store           *store.Store // nil: versions are lost when the process ends
	steps           chan func(*control.Module) []control.Action
	group           *errgroup.Group
	settingsVersion uint64 // of the latest change of settings that was passed to the loop

	status  atomic.Pointer[control.Status]
	mu      sync.Mutex
	updated chan struct{} // closed and replaced whenever the status is published
}

// newController opens the store, if one is configured. It returns the controller and the configuration to start with: that of the
// file, or that of the last version in the store.
func newController(cfg *config.Config, log *slog.Logger) (*controller, *config.Config, error) {
	c := &controller{log: log, local: cfg.File, steps: make(chan func(*control.Module) []control.Action, maxQueuedSteps),
		updated: make(chan struct{})}
	bounds := control.DefaultBounds()
	settings := cfg.File.Control
	if settings == nil { // only the node list is streamed
		c.module = control.New(bounds, c.local, control.Set{})
		return c, cfg, nil
	}
	bounds.Floor, bounds.FloorCount, bounds.ForbidShorter = settings.Floor, settings.FloorCount, !settings.AllowShorter
	bounds.RelistAfter = settings.RelistAfter.D().Microseconds()
	inForce, set := cfg, control.Set{}
	if settings.Store != "" {
		var err error
		if c.store, err = store.Open(settings.Store, settings.KeepVersions); err != nil {
			return nil, nil, err
		}
		if inForce, set, err = c.lastVersion(cfg); err != nil {
			return nil, nil, errors.Join(err, c.store.Close())
		}
	}
	c.module = control.New(bounds, c.local, set)
	c.publish()
	return c, inForce, nil
}

// lastVersion returns the newest intact set in the store and the configuration with it merged in. Damaged versions that are newer are
// logged and skipped. Without an intact version, or where it cannot be merged into the file, lastVersion returns the configuration of
// the file.
func (c *controller) lastVersion(cfg *config.Config) (*config.Config, control.Set, error) {
	set, damaged, err := c.store.Last()
	for _, d := range damaged {
		c.log.Error("stored version is damaged and was skipped", "error", d)
	}
	if errors.Is(err, store.ErrNotFound) {
		return cfg, control.Set{}, nil
	}
	if err != nil {
		return nil, control.Set{}, err
	}
	merged, err := control.Merge(cfg.File, set)
	if err != nil {
		c.log.Error("last stored version cannot be merged into the configuration file; starting from the file",
			"set", set.Number, "error", err)
		return cfg, control.Set{}, nil
	}
	c.log.Info("starting from the last stored version", "set", set.Number)
	return merged, set, nil
}

// startController starts the controller and its stream to the control service in the group; both run until ctx ends.
func (d *Dispatcher) startController(ctx context.Context, group *errgroup.Group) {
	d.controller.stream = stream.New(streamOptions(d.cfg), streamHandler{d.controller, ctx})
	d.fleet.OnFetch(d.controller.stream.RetryNow)
	group.Go(func() error { return d.controller.run(ctx) })
}

func streamOptions(cfg *config.Config) stream.Options {
	f := &cfg.File
	o := stream.Options{Node: f.Name, Names: cfg.Names(), MaxBackoff: maxReconnectBackoff}
	if f.Control != nil {
		o.Address, o.Cluster, o.Settings, o.Delta = f.Control.Address, f.Control.Cluster, true, f.Control.Delta
		o.MaxBackoff = f.Control.MaxReconnectBackoff.D()
	} else {
		o.Address, o.Cluster = f.Nodes.EDS.Address, f.Nodes.EDS.Cluster
	}
	return o
}

// AwaitControl waits until the status of streamed versions satisfies a condition; the error is the context's.
func (d *Dispatcher) AwaitControl(ctx context.Context, satisfied func(control.Status) bool) error {
	if d.controller == nil {
		return errSettingsNotStreamed
	}
	return d.controller.await(ctx, satisfied)
}

// ControlStatus returns the status of streamed versions; ok is false where nothing is streamed.
func (d *Dispatcher) ControlStatus() (status control.Status, ok bool) {
	if d.controller == nil {
		return control.Status{}, false
	}
	if s := d.controller.status.Load(); s != nil {
		return *s, true
	}
	return control.Status{}, true
}

// publish stores the module's status for other goroutines and wakes the callers of await.
func (c *controller) publish() {
	s := c.module.Status()
	c.status.Store(&s)
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.updated)
	c.updated = make(chan struct{})
}

// await waits until the published status satisfies a condition; the error is the context's.
func (c *controller) await(ctx context.Context, satisfied func(control.Status) bool) error {
	for {
		c.mu.Lock()
		updated := c.updated
		c.mu.Unlock()
		if s := c.status.Load(); s != nil && satisfied(*s) {
			return nil
		}
		select {
		case <-updated:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// run steps the module and executes its actions until ctx ends; then it closes the store.
func (c *controller) run(ctx context.Context) error {
	c.group, ctx = errgroup.WithContext(ctx)
	c.group.Go(func() error { return c.stream.Run(ctx) })
	c.group.Go(func() error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case step := <-c.steps:
				actions := step(c.module)
				c.publish() // first, so that the status is up to date when an action takes effect
				for _, a := range actions {
					c.execute(ctx, a)
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

// post queues an event for the module's goroutine. It waits while the queue is full, and gives up when ctx ends.
func (c *controller) post(ctx context.Context, ev control.Event) {
	step := func(m *control.Module) []control.Action { return m.Step(c.dispatcher.clock.Now(), ev) }
	select {
	case c.steps <- step:
	case <-ctx.Done():
	}
}

// execute carries out one action. Store and Apply complete in goroutines of their own, which post the result as an event, since a
// write to disk and a change of the loop's settings take time. The other actions are carried out inline, also the deletion of a set.
func (c *controller) execute(ctx context.Context, a control.Action) {
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
			c.post(ctx, control.Stored{Number: a.Set.Number, Err: err})
			return nil
		})
	case control.DeleteSet:
		if c.store != nil {
			if err := c.store.DeleteNewest(a.Number); err != nil {
				c.log.Error("cannot delete from the store a version that could not be applied", "set", a.Number, "error", err)
			}
		}
	case control.Apply:
		c.applySettings(ctx, a)
	case control.ApplyNodeList:
		if err := c.dispatcher.fleet.SetNodes(a.Nodes); err != nil {
			c.log.Error("node list rejected", "error", err)
		}
	case control.NodeListRejected:
		c.dispatcher.fleet.ListFailed(errors.New(strings.Join(a.Reasons, "; ")))
	case control.RenewStream:
		c.stream.Renew()
	case control.Log:
		c.log.Info(a.Text, "from", "control")
	}
}

// applySettings puts a set in force between two steps of the loop; then the frontends classify later calls by it.
func (c *controller) applySettings(ctx context.Context, a control.Apply) {
	c.settingsVersion++
	version := c.settingsVersion
	done := make(chan error, 1)
	c.dispatcher.loop.Post(dispatch.SettingsChange{Version: version, Settings: a.Config.Settings, Done: func(err error) { done <- err }})
	c.group.Go(func() error {
		select {
		case err := <-done:
			if err == nil {
				c.dispatcher.intake.SetSettings(frontendSettings(a.Config, version))
			}
			c.post(ctx, control.Applied{Number: a.Set.Number, Err: err})
		case <-ctx.Done(): // the loop may have ended before the change
		}
		return nil
	})
}

// streamHandler receives the events of a stream for a controller.
type streamHandler struct {
	controller *controller
	ctx        context.Context
}

var _ stream.Handler = streamHandler{}

// Offered implements stream.Handler. For settings it first reads the live state from the loop, which the safety checks need.
func (h streamHandler) Offered(ev control.Offered) {
	if ev.Kind != control.Nodes {
		var err error
		if ev.Live, err = h.controller.dispatcher.liveState(h.ctx); err != nil {
			return // ctx has ended: the dispatcher is shutting down
		}
	}
	h.controller.post(h.ctx, ev)
}

// liveState reads the state from the loop that the safety checks compare settings with. The error is the context's.
func (d *Dispatcher) liveState(ctx context.Context) (control.LiveState, error) {
	result := make(chan control.LiveState, 1)
	d.loop.Post(dispatch.Inspect{Func: func(core *dispatch.Core) {
		live := control.LiveState{PendingByClass: core.PendingByClass()}
		live.Retries, live.Received, live.OrderKeyPaused = core.Outstanding()
		result <- live
	}})
	select {
	case live := <-result:
		return live, nil
	case <-ctx.Done():
		return control.LiveState{}, ctx.Err()
	}
}

// Lost implements stream.Handler. A stream that Renew ended is not a failure of the node list.
func (h streamHandler) Lost(err error) {
	if !errors.Is(err, stream.ErrRenewed) {
		h.controller.dispatcher.fleet.ListFailed(err)
	}
	h.controller.post(h.ctx, control.StreamLost{})
}

// BreakStore closes the store of a running dispatcher: later writes fail, as they do on a full or read-only disk. It is for tests.
func (d *Dispatcher) BreakStore() error { return d.controller.store.Close() }
