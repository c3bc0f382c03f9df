package publisher

import (
	"math"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/primrosedrift/primrosedrift/internal/settings"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

const validFile = `[policy]
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

func TestParseReportsFaults(t *testing.T) {
	tests := []struct {
		name     string
		old, new string
		want     []string
	}{
		{"valid file", "", "", nil},
		{"zero waiting time", `"5s"`, `"0s"`, []string{"f.toml:5: contracts[0].waiting-time: must be from 1ms"}},
		{"waiting time too long", `"5s"`, `"2000h"`, []string{"f.toml:5: contracts[0].waiting-time: must be from 1ms"}},
		{"zero concurrency", "concurrency = 64\n", "", []string{"f.toml:3: contracts[0].concurrency: must be above zero"}},
		{"rate is not a number", "500.0", "nan", []string{"f.toml:7: contracts[0].requests-per-second: must be a finite"}},
		{"infinite rate of the policy", "4.5", "-inf", []string{"f.toml:2: policy.store-loads-per-second: must be a finite"}},
		{"unknown class", `"urgent"`, `"soon"`, []string{"f.toml:8: contracts[0].class"}},
		{"empty method name", `["debit"]`, `["debit", ""]`, []string{"f.toml:9: contracts[0].never-twice: entry 2 is empty"}},
		{"size without a unit", `"20GiB"`, `"20"`, []string{"f.toml:13: models[0].memory"}},
		{"size overflow", `"20GiB"`, `"99999999999TiB"`, []string{"f.toml:13: models[0].memory"}},
		{"customer without a contract", "name = \"levy-status\"\ncustomer = \"hauliers\"", "name = \"levy-status\"\ncustomer = \"other\"", []string{`f.toml:12: models[0].customer: customer "other" has no contract`, "f.toml:17: adapters[0].customer"}},
		{"unknown model", `model = "levy-status"`, `model = "levy"`, []string{`f.toml:16: adapters[0].model: model "levy" is not in this file`}},
		{"customer does not own the model", "model = \"levy-status\"\ncustomer = \"hauliers\"", "model = \"levy-status\"\ncustomer = \"other\"", []string{`f.toml:17: adapters[0].customer: customer "other" does not own`}},
		{"address without a port", `"127.0.0.1:8000"`, `"here"`, []string{"f.toml:20: upstreams[0].address: needs host:port"}},
		{"duplicate name", "[[adapters]]", "[[models]]\nname = \"levy-status\"\ncustomer = \"hauliers\"\nmemory = \"1GiB\"\n[[adapters]]", []string{`f.toml:15: models[1].name: "levy-status" is there twice, first as models[0].name`}},
		{"negative number", "concurrency = 64", "concurrency = -1", []string{"f.toml:6: "}},
		{"unknown key", "slots = 32", "slot = 32", []string{"f.toml:22: upstreams[0].slot: unknown key"}},
		{
			"several faults", "waiting-time = \"5s\"\nconcurrency = 64", "waiting-time = 5\nconcurrency = 0\nspeed = 1",
			[]string{"f.toml:5: contracts[0].waiting-time", "f.toml:6: contracts[0].concurrency", "f.toml:7: contracts[0].speed: unknown key"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			text := strings.Replace(validFile, tt.old, tt.new, 1)
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

// TestExamplesLoad checks that the operators' files of both example deployments load
// with the expected numbers of objects.
func TestExamplesLoad(t *testing.T) {
	tests := []struct {
		name                                string
		models, adapters, engines, services int
		loadsPerSecond, coldStart, idle     float64
		maxEntries                          uint32
		nonIdempotentMethods                []string
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
			engines, services := 0, 0
			for _, u := range f.Upstreams {
				if u.Service == "" {
					engines++
				} else {
					services++
				}
			}
			require.Equal(t, []int{tt.engines, tt.services}, []int{engines, services})
			require.Equal(t, []float64{tt.loadsPerSecond, tt.coldStart, tt.idle}, []float64{f.Policy.StoreLoadsPerSecond, f.Policy.ColdStartWeight, f.Policy.IdleWeight})
			require.Equal(t, []uint32{4, 32, tt.maxEntries}, []uint32{f.Policy.StoreConcurrentLoads, f.Policy.AdapterLoadsInFlight, f.Policy.MaxEntries})
			var methods []string
			for _, c := range f.Contracts {
				methods = append(methods, c.NeverTwice...)
			}
			require.Equal(t, tt.nonIdempotentMethods, methods)
		})
	}
}

// FuzzParse checks that Parse does not panic, that its errors are faults, and that
// an accepted file has no difference from its own objects.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validFile))
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

// TestLinesShowOldAndNewValues checks that the description of a change has the old
// and the new values.
func TestLinesShowOldAndNewValues(t *testing.T) {
	before, err := Parse("f.toml", []byte(validFile))
	require.NoError(t, err)
	text := strings.NewReplacer("concurrency = 64", "concurrency = 128", `"urgent"`, `"batch"`, "requests-per-second = 500.0\n", "",
		"levy-status-nl", "levy-status-de").Replace(validFile)
	after, err := Parse("f.toml", []byte(text))
	require.NoError(t, err)
	require.Equal(t, []string{
		"add adapter levy-status-de: customer hauliers, model levy-status, name levy-status-de",
		"change contract hauliers: class urgent → batch, concurrency 64 → 128, requests-per-second 500 → none",
		"delete adapter levy-status-nl",
	}, Diff(before.Objects(), after.Objects(), true).Lines())
	require.Empty(t, Diff(before.Objects(), before.Objects(), true).Lines())
}

// TestCheckReportsInvalidValues checks that the objects of a valid file pass Check,
// and that an object with one invalid value does not.
func TestCheckReportsInvalidValues(t *testing.T) {
	tests := []struct {
		name       string
		invalidate func(o *recordv1.ConfigObject)
	}{
		{"contract", func(o *recordv1.ConfigObject) { o.GetContract().WaitingTimeMs = 0 }},
		{"contract", func(o *recordv1.ConfigObject) { o.GetContract().Weight = math.NaN() }},
		{"contract", func(o *recordv1.ConfigObject) { o.GetContract().Customer = "" }},
		{"model", func(o *recordv1.ConfigObject) { o.GetModel().MemoryBytes = 0 }},
		{"adapter", func(o *recordv1.ConfigObject) { o.GetAdapter().Model = "" }},
		{"upstream", func(o *recordv1.ConfigObject) { o.GetUpstream().Address = "here" }},
		{"upstream", func(o *recordv1.ConfigObject) { o.GetUpstream().MemoryBytes = 0 }},
		{"policy", func(o *recordv1.ConfigObject) { o.GetPolicy().IdleWeight = -1 }},
	}
	for _, tt := range tests {
		f, err := Parse("f.toml", []byte(validFile))
		require.NoError(t, err)
		objects := f.Objects()
		require.Empty(t, Check(objects))
		for _, o := range objects {
			if KindName(o) == tt.name {
				tt.invalidate(o)
			}
		}
		require.Contains(t, strings.Join(Check(objects), "\n"), tt.name)
	}
}
