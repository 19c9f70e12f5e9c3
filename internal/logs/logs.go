// Package logs makes the structured logger of the programs: slog as the API, zap behind it.
package logs

import (
	"log/slog"

	"go.uber.org/zap"
	"go.uber.org/zap/exp/zapslog"
	"go.uber.org/zap/zapcore"
)

// New returns a logger to standard error. Level is debug, info, warn or error; format is json or console.
func New(level, format string) (*slog.Logger, func(), error) {
	at, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, nil, err
	}
	c := zap.NewProductionConfig()
	c.Level, c.Encoding = zap.NewAtomicLevelAt(at), format
	c.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	c.Sampling = nil // a fault that repeats is logged each time
	z, err := c.Build()
	if err != nil {
		return nil, nil, err
	}
	// Sync fails on terminals and pipes, which hold nothing back.
	return slog.New(zapslog.NewHandler(z.Core())), func() { _ = z.Sync() }, nil
}
