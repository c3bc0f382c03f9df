package publisher

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/primrosedrift/primrosedrift/internal/settings"
)

const whole = `[policy]
store-loads-per-second = 4.5
[[contracts]]
customer = "hauliers"
waiting-time = "5s"
concurrency = 64
requests-per-second = 500.0
class = "urgent"
never-twice = ["debit"]
[[models]]
name = "levy-status"
customer = "hauliers"
memory = "20GiB"
[[adapters]]
name = "levy-status-nl"
model = "levy-status"
customer = "hauliers"
[[upstreams]]
name = "taalmodellen-1"
address = "127.0.0.1:8000"
memory = "80GiB"
slots = 32
`

func TestFaults(t *testing.T) {
	tests := []struct {
		name     string
		old, new string
		want     []string
	}{
		{"whole", "", "", nil},
		{"waiting time", `"5s"`, `"0s"`, []string{"f.toml:5: contracts[0].waiting-time: must be from 1ms"}},
		{"waiting time too long", `"5s"`, `"2000h"`, []string{"f.toml:5: contracts[0].waiting-time: must be from 1ms"}},
		{"no concurrency", "concurrency = 64\n", "", []string{"f.toml:3: contracts[0].concurrency: must be above zero"}},
		{"rate", "500.0", "nan", []string{"f.toml:7: contracts[0].requests-per-second: must be a finite"}},
		{"policy", "4.5", "-inf", []string{"f.toml:2: policy.store-loads-per-second: must be a finite"}},
		{"class", `"urgent"`, `"soon"`, []string{"f.toml:8: contracts[0].class"}},
		{"empty method", `["debit"]`, `["debit", ""]`, []string{"f.toml:9: contracts[0].never-twice: entry 2 is empty"}},
		{"size", `"20GiB"`, `"20"`, []string{"f.toml:13: models[0].memory"}},
		{"huge size", `"20GiB"`, `"99999999999TiB"`, []string{"f.toml:13: models[0].memory"}},
		{"no contract", "name = \"levy-status\"\ncustomer = \"hauliers\"", "name = \"levy-status\"\ncustomer = \"other\"", []string{`f.toml:12: models[0].customer: customer "other" has no contract`, "f.toml:17: adapters[0].customer"}},
		{"no model", `model = "levy-status"`, `model = "levy"`, []string{`f.toml:16: adapters[0].model: model "levy" is not in this file`}},
		{"not the owner", "model = \"levy-status\"\ncustomer = \"hauliers\"", "model = \"levy-status\"\ncustomer = \"other\"", []string{`f.toml:17: adapters[0].customer: customer "other" does not own`}},
		{"address", `"127.0.0.1:8000"`, `"here"`, []string{"f.toml:20: upstreams[0].address: needs host:port"}},
		{"twice", "[[adapters]]", "[[models]]\nname = \"levy-status\"\ncustomer = \"hauliers\"\nmemory = \"1GiB\"\n[[adapters]]", []string{`f.toml:15: models[1].name: "levy-status" is there twice, first as models[0].name`}},
		{"negative", "concurrency = 64", "concurrency = -1", []string{"f.toml:6: "}},
		{"unknown", "slots = 32", "slot = 32", []string{"f.toml:22: upstreams[0].slot: unknown key"}},
		{
			"all at once", "waiting-time = \"5s\"\nconcurrency = 64", "waiting-time = 5\nconcurrency = 0\nspeed = 1",
			[]string{"f.toml:5: contracts[0].waiting-time", "f.toml:6: contracts[0].concurrency", "f.toml:7: contracts[0].speed: unknown key"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			text := strings.Replace(whole, tt.old, tt.new, 1)
			_, err := Parse("f.toml", []byte(text))
			if tt.want == nil {
				require.NoError(t, err)
				return
			}
			for _, w := range tt.want {
				require.ErrorContains(t, err, w)
			}
			var faults settings.Faults
			require.ErrorAs(t, err, &faults)
			require.Len(t, faults, len(tt.want), "%v", err)
		})
	}
}

// TestExamples checks the sizes of both deployments.
func TestExamples(t *testing.T) {
	tests := []struct {
		name                             string
		models, adapters, engines, plain int
		loadsPerSecond, coldStart, idle  float64
		maxEntries                       uint32
		neverTwice                       []string
	}{
		{"tolwerk", 55, 115, 20, 3, 4.5, 3, 1, 7, []string{"debit"}},
		{"thottam", 25, 75, 12, 3, 3.5, 1, 3, 6, []string{"deposit", "slot-hold"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f, err := Load("../../examples/" + tt.name + "/operators.toml")
			require.NoError(t, err)
			require.Len(t, f.Models, tt.models)
			require.Len(t, f.Adapters, tt.adapters)
			engines, plain := 0, 0
			for _, u := range f.Upstreams {
				if u.Service == "" {
					engines++
				} else {
					plain++
				}
			}
			require.Equal(t, []int{tt.engines, tt.plain}, []int{engines, plain})
			require.Equal(t, []float64{tt.loadsPerSecond, tt.coldStart, tt.idle}, []float64{f.Policy.StoreLoadsPerSecond, f.Policy.ColdStartWeight, f.Policy.IdleWeight})
			require.Equal(t, []uint32{4, 32, tt.maxEntries}, []uint32{f.Policy.StoreConcurrentLoads, f.Policy.AdapterLoadsInFlight, f.Policy.MaxEntries})
			var never []string
			for _, c := range f.Contracts {
				never = append(never, c.NeverTwice...)
			}
			require.Equal(t, tt.neverTwice, never)
		})
	}
}

// FuzzParse checks that no input panics, and that an accepted file differs
// from what it put in force in nothing.
func FuzzParse(f *testing.F) {
	f.Add([]byte(whole))
	for _, name := range []string{"tolwerk", "thottam"} {
		data, err := os.ReadFile("../../examples/" + name + "/operators.toml")
		require.NoError(f, err)
		f.Add(data)
	}
	f.Add([]byte("[[contracts]]\n[[contracts]]\nmemory = \"9GiB\""))
	f.Add([]byte("contracts = [{customer = 1}]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		file, err := Parse("f.toml", data)
		if err != nil {
			require.ErrorAs(t, err, new(settings.Faults))
			return
		}
		require.True(t, Diff(file.Objects(), file.Objects(), true).IsEmpty())
	})
}
