// Package logger writes structured logs without blocking the process.
//
// Lines go into a bounded buffer that a goroutine flushes to the output. Lines
// that do not fit or exceed the rate limit are dropped and counted; the next
// flush writes the count.
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
	// maxBufferedBytes bounds the lines that wait to be written.
	maxBufferedBytes = 256 << 10
	// flushInterval is the time between two flushes of the buffer.
	flushInterval = 50 * time.Millisecond
)

// Rate and burst of NewLimiter.
const (
	linesPerSecond = 500
	maxBurstLines  = 2000
)

// NewLimiter returns a rate limiter for the log of an instance. Its rate is well
// above that of the usual load, and low enough that logging costs little CPU time
// under any load.
func NewLimiter() *rate.Limiter { return rate.NewLimiter(linesPerSecond, maxBurstLines) }

// Writer is a zapcore.WriteSyncer that never blocks.
type Writer struct {
	Out io.Writer
	// Limiter limits the rate of lines, unless it is nil.
	Limiter *rate.Limiter

	mu         sync.Mutex
	buf        []byte
	numDropped int        // lines dropped since the last flush
	outMu      sync.Mutex // held while writing to Out
}

// Write implements io.Writer. It buffers the line or drops it, and returns no
// error.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buf)+len(line) > maxBufferedBytes || w.Limiter != nil && !w.Limiter.Allow() {
		w.numDropped++
	} else {
		w.buf = append(w.buf, line...)
	}
	return len(line), nil
}

// Sync writes the buffered lines, and the number of dropped lines, to Out.
func (w *Writer) Sync() error {
	w.outMu.Lock()
	defer w.outMu.Unlock()
	w.mu.Lock()
	buf, numDropped := w.buf, w.numDropped
	w.buf, w.numDropped = nil, 0
	w.mu.Unlock()
	if numDropped > 0 {
		buf = fmt.Appendf(buf, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", numDropped)
	}
	if len(buf) == 0 {
		return nil
	}
	_, err := w.Out.Write(buf)
	return errors.Wrap(err, "write log")
}

// Run flushes the buffer periodically until ctx ends, and then a last time.
func (w *Writer) Run(ctx context.Context) {
	tick := time.NewTicker(flushInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			_ = w.Sync() // an error of the log output cannot be logged
			return
		case <-tick.C:
			_ = w.Sync() // an error of the log output cannot be logged
		}
	}
}

// New returns a logger that writes lines at or above a level, such as "info", to
// w.
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
