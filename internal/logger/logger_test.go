package logger

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"golang.org/x/time/rate"
)

func TestLinesBeyondTheBufferAreDroppedAndCounted(t *testing.T) {
	var out bytes.Buffer
	w := &Writer{Out: &out}
	log, err := New(w, "info")
	require.NoError(t, err)
	const numLines = 10_000
	for range numLines {
		log.Info("line", zap.String("filler", strings.Repeat("x", 100)), Error(nil))
	}
	require.NoError(t, w.Sync())
	require.Less(t, out.Len(), maxBufferedBytes+1000)
	require.Contains(t, out.String(), "log lines dropped")

	out.Reset()
	log.Info("later", Error(errors.New("why")))
	require.NoError(t, w.Sync())
	require.Contains(t, out.String(), `"msg":"later","error":"why"`)
	require.NotContains(t, out.String(), "dropped")
}

func TestLinesBeyondTheRateLimitAreDroppedAndCounted(t *testing.T) {
	var out bytes.Buffer
	w := &Writer{Out: &out, Limiter: rate.NewLimiter(0, 3)}
	log, err := New(w, "info")
	require.NoError(t, err)
	for range 5 {
		log.Info("line")
	}
	require.NoError(t, w.Sync())
	require.Equal(t, 3, strings.Count(out.String(), `"msg":"line"`))
	require.Contains(t, out.String(), `"lines":2`)
}

func TestUnknownLevelIsRejected(t *testing.T) {
	_, err := New(&Writer{}, "loud")
	require.Error(t, err)
}
