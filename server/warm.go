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

// warmth keeps what the module has learned in a file, for the next start.
type warmth struct {
	file  string
	every time.Duration
	build string
	epoch time.Time // wall time at the clock's zero
	log   *slog.Logger
}

// newWarmth recalls what the file holds, as far as it still holds; nil where nothing is to be kept.
func newWarmth(file string, every time.Duration, core *dispatch.Core, clock dispatch.Clock, log *slog.Logger) *warmth {
	if file == "" {
		return nil
	}
	w := &warmth{file: file, every: every, epoch: time.Now().Add(-time.Duration(clock.Now()) * time.Microsecond), log: log}
	if b, ok := debug.ReadBuildInfo(); ok {
		w.build = b.Main.Version
	}
	text, err := os.ReadFile(file)
	if errors.Is(err, os.ErrNotExist) {
		return w
	}
	var kept dispatch.LearnedState
	if err == nil {
		err = json.Unmarshal(text, &kept)
	}
	if err != nil {
		log.Warn("what was learned before cannot be read; starting cold", "file", file, "error", err)
		return w
	}
	classes, fleet, why := kept.Usable(time.Now(), w.build)
	if classes {
		err = core.Restore(kept.Learned, fleet, w.epoch)
	}
	log.Info("what was learned before", "classes", classes && err == nil, "fleet", fleet && err == nil, "why", why, "error", err)
	return w
}

// run writes the file now and then, and once more when the loop ends.
func (w *warmth) run(ctx context.Context, loop *dispatch.Loop) error {
	t := time.NewTicker(w.every)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		kept := dispatch.LearnedState{Format: dispatch.LearnedFormat, Build: w.build, At: time.Now()}
		done := make(chan error, 1)
		loop.Post(dispatch.Inspect{Func: func(c *dispatch.Core) {
			var err error
			kept.Learned, err = c.Learned(w.epoch)
			done <- err
		}})
		select {
		case err := <-done:
			if err == nil {
				err = w.write(kept)
			}
			if err != nil {
				w.log.Warn("what was learned cannot be kept", "file", w.file, "error", err)
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// write replaces the file as a whole: a crash leaves the old one or the new one.
func (w *warmth) write(kept dispatch.LearnedState) error {
	text, err := json.Marshal(kept)
	if err != nil {
		return err
	}
	f, err := os.CreateTemp(filepath.Dir(w.file), filepath.Base(w.file)+".*")
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	err = errors.Join(err, f.Sync(), f.Close())
	if err == nil {
		err = os.Rename(f.Name(), w.file)
	}
	if err != nil {
		os.Remove(f.Name())
	}
	return err
}
