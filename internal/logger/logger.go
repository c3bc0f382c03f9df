// Package logger writes structured logs without ever holding up the process.
//
// Lines go into a buffer that a goroutine writes out. What does not fit, or is
// beyond the limit, is dropped and counted; the count is written with the next
// lines.
package logger

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/time/rate"
)

const (
	// maxBuffered is how many bytes wait to be written.
	maxBuffered = 256 << 10
	// flushInterval is the longest time that a line waits.
	flushInterval = 50 * time.Millisecond
)

// Limits of lines for NewLimiter.
const (
	linesPerSecond = 500
	burstLines     = 2000
)

// NewLimiter returns the limiter of an instance's log: well above what it writes
// under its usual load, and little enough for its processor under any.
func NewLimiter() *rate.Limiter { return rate.NewLimiter(linesPerSecond, burstLines) }

// Writer is a zapcore.WriteSyncer that never blocks.
type Writer struct {
	Out io.Writer
	// Limit bounds the lines, unless it is nil.
	Limit *rate.Limiter

	mu      sync.Mutex
	buf     []byte
	dropped int
	out     sync.Mutex // held while writing
}

// Write implements io.Writer. It keeps a line or drops it.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buf)+len(line) > maxBuffered || w.Limit != nil && !w.Limit.Allow() {
		w.dropped++
	} else {
		w.buf = append(w.buf, line...)
	}
	return len(line), nil
}

// Sync writes out what waits.
func (w *Writer) Sync() error {
	w.out.Lock()
	defer w.out.Unlock()
	w.mu.Lock()
	buf, dropped := w.buf, w.dropped
	w.buf, w.dropped = nil, 0
	w.mu.Unlock()
	if dropped > 0 {
		buf = fmt.Appendf(buf, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", dropped)
	}
	if len(buf) == 0 {
		return nil
	}
	_, err := w.Out.Write(buf)
	return errors.Wrap(err, "write log")
}

// Run writes out what waits, now and then, until ctx ends.
func (w *Writer) Run(ctx context.Context) {
	tick := time.NewTicker(flushInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			_ = w.Sync() // the output is all there is to complain to
			return
		case <-tick.C:
			_ = w.Sync() // the output is all there is to complain to
		}
	}
}

// New returns a logger on the writer at a level, such as "info".
func New(w *Writer, level string) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "log level")
	}
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.ISO8601TimeEncoder
	cfg.EncodeDuration = zapcore.StringDurationEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(cfg), w, l)), nil
}

// Error returns the field of an error without its stack, which would make up
// most of a line.
func Error(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}
