package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/primrosedrift/primrosedrift/internal/applier"
	"github.com/primrosedrift/primrosedrift/internal/burner"
	"github.com/primrosedrift/primrosedrift/internal/keeper"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

func newBurnKeeper(t *testing.T) *keeper.Keeper {
	var k keeper.Keeper
	payload, err := proto.Marshal(&recordv1.Batch{Version: applier.Version, Writer: "w", Records: []*recordv1.Record{{
		Id: "1", Kind: &recordv1.Record_ConfigChange{ConfigChange: &recordv1.ConfigChange{Upserts: []*recordv1.ConfigObject{
			{Object: &recordv1.ConfigObject_Contract{Contract: &recordv1.Contract{Customer: "roadside", WaitingTimeMs: 2000, Class: 2}}},
			{Object: &recordv1.ConfigObject_Model{Model: &recordv1.Model{Name: "levy-status", Customer: "roadside", Class: 1}}},
		}}},
	}}})
	require.NoError(t, err)
	k.Apply(0, payload)
	return &k
}

func TestBurnCounter(t *testing.T) {
	decision := func(writer string) applier.Event {
		return applier.Event{Writer: writer, Counted: true, Record: &recordv1.Record{Kind: &recordv1.Record_Decision{Decision: &recordv1.Decision{
			Action: recordv1.DecisionAction_DECISION_ACTION_LOAD, Replica: "r-1", Model: "levy-status",
		}}}}
	}
	observation := func(kind recordv1.ObservationKind) applier.Event {
		return applier.Event{Writer: "mine", Counted: true, Record: &recordv1.Record{Kind: &recordv1.Record_Observation{Observation: &recordv1.Observation{
			Kind: kind, Replica: "r-1",
		}}}}
	}
	loaded, failed := recordv1.ObservationKind_OBSERVATION_KIND_LOADED, recordv1.ObservationKind_OBSERVATION_KIND_FAILED
	tests := []struct {
		name      string
		record    func(c *burnCounter)
		objective burner.Objective
		want      burner.Count
	}{
		{"in time", func(c *burnCounter) { c.recordAnswer("roadside", "levy-status", time.Second) }, burner.AnsweredInTime, burner.Count{Good: 1}},
		{"late", func(c *burnCounter) { c.recordAnswer("roadside", "levy-status", 3*time.Second) }, burner.AnsweredInTime, burner.Count{Bad: 1}},
		{"refused", func(c *burnCounter) { c.recordRefusal("roadside", "levy-status", verdict.ReasonQueueFull) }, burner.NotRefused, burner.Count{Bad: 1}},
		{"error of the caller", func(c *burnCounter) { c.recordRefusal("roadside", "levy-status", verdict.ReasonInvalid) }, burner.NotRefused, burner.Count{}},
		{"unknown customer", func(c *burnCounter) { c.recordRefusal("nobody", "levy-status", verdict.ReasonQueueFull) }, burner.NotRefused, burner.Count{}},
		{"loaded", func(c *burnCounter) { c.OnEvents([]applier.Event{decision("mine"), observation(loaded)}) }, burner.ColdStart, burner.Count{Good: 1}},
		{"load failed", func(c *burnCounter) { c.OnEvents([]applier.Event{decision("mine"), observation(failed)}) }, burner.ColdStart, burner.Count{Bad: 1}},
		{"load of another instance", func(c *burnCounter) { c.OnEvents([]applier.Event{decision("other"), observation(loaded)}) }, burner.ColdStart, burner.Count{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newBurnCounter(newBurnKeeper(t), "mine")
			tt.record(c)
			counts := c.Snapshot(time.Now()).Series[burner.Key{Customer: "roadside", Class: "urgent", Objective: tt.objective}]
			var got burner.Count
			if counts != nil {
				got = counts[len(counts)-1]
			}
			require.Equal(t, []uint64{tt.want.Good, tt.want.Bad}, []uint64{got.Good, got.Bad})
		})
	}
}
