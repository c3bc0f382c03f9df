package replayer_test

import (
	"testing"

	"github.com/primrosedrift/primrosedrift/internal/replayer"
	"github.com/primrosedrift/primrosedrift/internal/tracer"
)

func BenchmarkReplay(b *testing.B) {
	t := tracer.Write(tracer.Tolwerk(), 1, tracer.Options{})
	for b.Loop() {
		replayer.Replay(t, replayer.Policy(t.Deployment).Setup)
	}
}
