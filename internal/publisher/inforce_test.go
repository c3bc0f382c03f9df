package publisher

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

func TestCheckOfConfigurationAfterChange(t *testing.T) {
	contract := func(c *recordv1.Contract) *recordv1.ConfigObject {
		return &recordv1.ConfigObject{Object: &recordv1.ConfigObject_Contract{Contract: c}}
	}
	model := func(m *recordv1.Model) *recordv1.ConfigObject {
		return &recordv1.ConfigObject{Object: &recordv1.ConfigObject_Model{Model: m}}
	}
	upstream := func(name, address string) *recordv1.ConfigObject {
		return &recordv1.ConfigObject{Object: &recordv1.ConfigObject_Upstream{Upstream: &recordv1.Upstream{Name: name, Address: address, MemoryBytes: 1}}}
	}
	inForce := []*recordv1.ConfigObject{
		contract(&recordv1.Contract{Customer: "tolwerk", WaitingTimeMs: 1, Concurrency: 1}),
		model(&recordv1.Model{Name: "levy", Customer: "tolwerk", MemoryBytes: 1}),
		upstream("engine-1", "10.0.0.1:1"),
	}
	adapter := &recordv1.ConfigObject{Object: &recordv1.ConfigObject_Adapter{Adapter: &recordv1.Adapter{Name: "nl", Model: "levi"}}}
	for name, tc := range map[string]struct {
		change Change
		want   []string
	}{
		"empty change":                {Change{}, nil},
		"unchanged model":             {Change{Upserts: []*recordv1.ConfigObject{inForce[1]}}, nil},
		"delete a contract in use":    {Change{Deletes: []*recordv1.ConfigKey{{Kind: recordv1.ConfigKind_CONFIG_KIND_CONTRACT, Name: "tolwerk"}}}, []string{`model levy: customer "tolwerk" has no contract`}},
		"delete a model":              {Change{Deletes: []*recordv1.ConfigKey{{Kind: recordv1.ConfigKind_CONFIG_KIND_MODEL, Name: "levy"}}}, nil},
		"adapter of an unknown model": {Change{Upserts: []*recordv1.ConfigObject{adapter}}, []string{`adapter nl: there is no model "levi"`}},
		"address in use":              {Change{Upserts: []*recordv1.ConfigObject{upstream("engine-2", "10.0.0.1:1")}}, []string{"upstream engine-2: has the address of upstream engine-1"}},
		"rename an upstream": {Change{
			Upserts: []*recordv1.ConfigObject{upstream("engine-2", "10.0.0.1:1")},
			Deletes: []*recordv1.ConfigKey{{Kind: recordv1.ConfigKind_CONFIG_KIND_UPSTREAM, Name: "engine-1"}},
		}, nil},
		"contract without values": {
			Change{Upserts: []*recordv1.ConfigObject{contract(&recordv1.Contract{Customer: "tolwerk", Weight: math.NaN()})}},
			[]string{"contract tolwerk: needs a waiting-time above zero", "contract tolwerk: needs a concurrency above zero", "contract tolwerk: NaN is not a number from zero up"},
		},
		"object without a kind": {Change{Upserts: []*recordv1.ConfigObject{{}}}, []string{" : needs a name"}},
	} {
		require.Equal(t, tc.want, Check(Apply(inForce, tc.change)), name)
	}
}
