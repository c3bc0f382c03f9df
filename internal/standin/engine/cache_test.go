package engine

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/primrosedrift/primrosedrift/internal/prefixer"
	upstreamv1 "github.com/primrosedrift/primrosedrift/pkg/api/upstream/v1"
)

// A reader of the reports knows which prefixes the engine has cached, the dropped
// ones excepted.
func TestReportsHoldCacheEvents(t *testing.T) {
	e := &Engine{Slots: 1}
	e.init()
	e.replicas["r"] = &replica{model: "m", loaded: true}
	var known prefixer.PrefixSet
	hash := func(prompt int) uint64 { return prefixer.Hash("m", "", Token("p", uint32(prompt))) }
	for i := range maxCachedPrefixes + 2 {
		done, err := e.begin(&upstreamv1.GenerateRequest{Replica: "r", Model: "m", Prompt: Token("p", uint32(i))})
		require.NoError(t, err)
		done()
		resp, err := e.Report(t.Context(), nil)
		require.NoError(t, err)
		known.Observe(resp.Msg)
	}
	require.False(t, known.Has(hash(0)))
	require.False(t, known.Has(hash(1)))
	require.True(t, known.Has(hash(2)))
	require.Equal(t, maxCachedPrefixes, known.Len())
}
