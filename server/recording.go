package server

import (
	"errors"
	"fmt"
	"log/slog"
	"os"

	"github.com/prometheus/client_golang/prometheus"

	"embershunt/config"
	"embershunt/dispatch"
	"embershunt/trace"
)

// recording writes the inputs and the decisions of the policy to a file (log.decisions).
type recording struct {
	recorder *trace.Recorder
	writer   *trace.Writer
	file     *os.File
	maxBytes int64
}

// newRecording renames an existing file to NAME.old, creates a new one and starts to record. It returns nil where no file is
// configured.
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
		_ = file.Close() // the error that matters is the first one
		return nil, fmt.Errorf("log.decisions: %w", err)
	}
	rec := &recording{recorder: trace.NewRecorder(f.Name, buildVersion()), writer: w, file: file, maxBytes: int64(f.Log.MaxDecisionBytes)}
	core.Record(clock.Now(), rec.recorder)
	r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: metricsNamespace, Name: "decisions_not_recorded_total",
		Help: "Steps of the module that the recording lost because it could not keep up, or had reached its bound."},
		func() float64 { return float64(rec.recorder.Drops()) }))
	return rec, nil
}

// run writes the recording until stop is closed. An error ends the recording and is logged, but does not stop the dispatcher.
func (r *recording) run(stop <-chan struct{}, log *slog.Logger) error {
	err := errors.Join(r.recorder.Run(stop, r.writer, r.maxBytes), r.writer.Flush(), r.file.Close())
	if err != nil {
		log.Error("recording of decisions stopped", "error", err)
	}
	return nil
}
