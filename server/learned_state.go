package server

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	"embershunt/dispatch"
)

// learnedStateKeeper saves what the policy has learned to a file, so that the next start need not learn it again.
type learnedStateKeeper struct {
	file     string
	interval time.Duration // between two writes of the file
	build    string        // version of this program; learned state of another build is not used
	epoch    time.Time     // wall time at which the dispatcher's clock was 0
	log      *slog.Logger
}

// newLearnedStateKeeper restores the usable parts of the file into the core. It returns nil where no file is configured. If the file
// cannot be used, the reason is logged and the dispatcher starts cold; a missing file is not logged.
func newLearnedStateKeeper(file string, interval time.Duration, core *dispatch.Core, clock dispatch.Clock,
	log *slog.Logger) *learnedStateKeeper {
	if file == "" {
		return nil
	}
	k := &learnedStateKeeper{file: file, interval: interval, build: buildVersion(),
		epoch: time.Now().Add(-time.Duration(clock.Now()) * time.Microsecond), log: log}
	state, err := readLearnedState(file)
	if errors.Is(err, os.ErrNotExist) {
		return k
	}
	if err != nil {
		log.Warn("cannot read learned state; starting without it", "file", file, "error", err)
		return k
	}
	classes, fleet, reason := state.Usable(time.Now(), k.build)
	if classes {
		err = core.Restore(state.Learned, fleet, k.epoch)
	}
	log.Info("learned state read", "classes", classes && err == nil, "fleet", fleet && err == nil, "why", reason, "error", err)
	return k
}

// buildVersion returns the version of this program's main module, or "" where the binary has no build information.
func buildVersion() string {
	if b, ok := debug.ReadBuildInfo(); ok {
		return b.Main.Version
	}
	return ""
}

func readLearnedState(file string) (state dispatch.LearnedState, err error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return state, err
	}
	return state, json.Unmarshal(text, &state)
}

// run saves the learned state once per interval until ctx ends.
func (k *learnedStateKeeper) run(ctx context.Context, loop *dispatch.Loop) error {
	ticker := time.NewTicker(k.interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		k.save(ctx, loop)
	}
}

// save reads the learned state from the loop and writes it to the file, unless ctx ends first.
func (k *learnedStateKeeper) save(ctx context.Context, loop *dispatch.Loop) {
	state := dispatch.LearnedState{Format: dispatch.LearnedFormat, Build: k.build, At: time.Now()}
	done := make(chan error, 1)
	loop.Post(dispatch.Inspect{Func: func(c *dispatch.Core) {
		var err error
		state.Learned, err = c.Learned(k.epoch)
		done <- err
	}})
	select {
	case err := <-done:
		if err == nil {
			err = k.write(state)
		}
		if err != nil {
			k.log.Warn("cannot write learned state", "file", k.file, "error", err)
		}
	case <-ctx.Done():
	}
}

// write replaces the file atomically, by renaming a synced temporary file: after a crash the old or the new file is there, whole.
func (k *learnedStateKeeper) write(state dispatch.LearnedState) error {
	text, err := json.Marshal(state)
	if err != nil {
		return err
	}
	f, err := os.CreateTemp(filepath.Dir(k.file), filepath.Base(k.file)+".*")
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	err = errors.Join(err, f.Sync(), f.Close())
	if err == nil {
		err = os.Rename(f.Name(), k.file)
	}
	if err != nil {
		_ = os.Remove(f.Name()) // the error that matters is the first one
	}
	return err
}
