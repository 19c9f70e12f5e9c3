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

// learnedStateKeeper keeps what the policy has learned in a file, for the next start.
type learnedStateKeeper struct {
	file     string
	interval time.Duration // between two writes
	build    string        // of this program
	epoch    time.Time     // wall time at the clock's zero
	log      *slog.Logger
}

// newLearnedStateKeeper restores what is usable of the file into the core; nil where there is no file to keep. A file that cannot be
// used is logged: the dispatcher starts cold.
func newLearnedStateKeeper(file string, interval time.Duration, core *dispatch.Core, clock dispatch.Clock, log *slog.Logger) *learnedStateKeeper {
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
		log.Warn("learned state cannot be read; starting without it", "file", file, "error", err)
		return k
	}
	classes, fleet, reason := state.Usable(time.Now(), k.build)
	if classes {
		err = core.Restore(state.Learned, fleet, k.epoch)
	}
	log.Info("learned state read", "classes", classes && err == nil, "fleet", fleet && err == nil, "why", reason, "error", err)
	return k
}

// buildVersion is the version of this program; "" where the build does not know it.
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

// run writes the file at each interval until ctx ends.
func (k *learnedStateKeeper) run(ctx context.Context, loop *dispatch.Loop) error {
	t := time.NewTicker(k.interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		k.save(ctx, loop)
	}
}

// save reads what was learned from the loop and writes it, unless ctx ends before.
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
			k.log.Warn("learned state cannot be written", "file", k.file, "error", err)
		}
	case <-ctx.Done():
	}
}

// write replaces the file as a whole: after a crash it is the old one or the new one.
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
