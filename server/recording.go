package server

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"runtime/debug"

	"github.com/prometheus/client_golang/prometheus"

	"embershunt/config"
	"embershunt/dispatch"
	"embershunt/trace"
)

// recording writes down what the module was told and what it decided.
type recording struct {
	recorder *trace.Recorder
	writer   *trace.Writer
	file     *os.File
	most     int64
}

// newRecording opens the file; one that is there already is kept as NAME.old. nil where nothing is to be recorded.
func newRecording(f *config.File, core *dispatch.Core, clock dispatch.Clock, r *prometheus.Registry) (*recording, error) {
	name := f.Log.Decisions
	if name == "" {
		return nil, nil
	}
	if err := os.Rename(name, name+".old"); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("log.decisions: %w", err)
	}
	file, err := os.OpenFile(name, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("log.decisions: %w", err)
	}
	w, err := trace.NewWriter(file)
	if err != nil {
		file.Close()
		return nil, fmt.Errorf("log.decisions: %w", err)
	}
	build := ""
	if b, ok := debug.ReadBuildInfo(); ok {
		build = b.Main.Version
	}
	rec := &recording{recorder: trace.NewRecorder(f.Name, build), writer: w, file: file, most: int64(f.Log.MaxDecisionBytes)}
	core.Record(clock.Now(), rec.recorder)
	r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: "embershunt", Name: "decisions_not_recorded_total",
		Help: "Steps of the module that the recording lost because it could not keep up, or had reached its bound."},
		func() float64 { return float64(rec.recorder.Drops()) }))
	return rec, nil
}

// run writes until the loop has ended. A recording that fails is no reason to stop serving.
func (r *recording) run(stop <-chan struct{}, log *slog.Logger) error {
	err := errors.Join(r.recorder.Run(stop, r.writer, r.most), r.writer.Flush(), r.file.Close())
	if err != nil {
		log.Error("decisions are not recorded any more", "error", err)
	}
	return nil
}
