// Package logs creates the structured logger of the programs: slog is the API, zap writes the output.
package logs

import (
	"log/slog"

	"go.uber.org/zap"
	"go.uber.org/zap/exp/zapslog"
	"go.uber.org/zap/zapcore"
)

// New returns a logger that writes to standard error, and a function that flushes it. Level is debug, info, warn or error; format
// is json or console.
func New(level, format string) (*slog.Logger, func(), error) {
	parsedLevel, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, nil, err
	}
	c := zap.NewProductionConfig()
	c.Level, c.Encoding = zap.NewAtomicLevelAt(parsedLevel), format
	c.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	c.Sampling = nil // sampling would drop messages that repeat, and each fault must be logged each time
	z, err := c.Build()
	if err != nil {
		return nil, nil, err
	}
	// Sync returns an error on terminals and pipes, which have nothing to flush; the error is ignored.
	return slog.New(zapslog.NewHandler(z.Core())), func() { _ = z.Sync() }, nil
}
