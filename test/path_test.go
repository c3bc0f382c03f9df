package test

import (
	"context"
	"strings"
	"testing"

	"github.com/oklog/ulid/v2"
	"github.com/stretchr/testify/require"

	callerv1 "github.com/primrosedrift/primrosedrift/pkg/api/caller/v1"
)

const operatorsFile = `
[policy]
store-concurrent-loads = 4
adapter-loads-in-flight = 32
max-entries = 7
[[contracts]]
customer = "tolwerk"
replicas = 8
memory = "160GiB"
waiting-time = "30s"
concurrency = 64
requests-per-second = 500.0
class = "urgent"
never-twice = ["debit"]
[[models]]
name = "levy-status"
customer = "tolwerk"
memory = "20GiB"
checkpoint = "levy-status-1"
[[adapters]]
name = "levy-status-nl"
model = "levy-status"
customer = "tolwerk"
`

// newSmallFleet starts three entry instances, two engines and a plain service.
func newSmallFleet(t testing.TB) *fleet {
	f := newFleet(t)
	f.startEngine("taalmodellen-1", false)
	f.startEngine("taalmodellen-2", true)
	f.startService("kernheffing-1", "kernheffing")
	for _, name := range []string{"entry-1", "entry-2", "entry-3"} {
		f.startEntry(name)
	}
	f.publish(operatorsFile)
	return f
}

func TestGenerateAndCallEndToEnd(t *testing.T) {
	f := newSmallFleet(t)
	c := f.client("tolwerk")
	ctx := context.Background()

	var tokens []string
	err := c.Generate(ctx, &callerv1.GenerateRequest{Model: "levy-status", Adapter: "levy-status-nl", Prompt: "p", MaxTokens: 3},
		func(tok string) { tokens = append(tokens, tok) })
	require.NoError(t, err)
	require.Equal(t, "p-0 p-1 p-2", strings.Join(tokens, " "))

	key := ulid.Make().String()
	first, err := c.Call(ctx, &callerv1.CallRequest{Service: "kernheffing", Method: "debit", Key: key})
	require.NoError(t, err)
	require.False(t, first.GetEarlier())
	require.Equal(t, map[string]int{key: 1}, f.runCounts("kernheffing-1"))
}
