package explainer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/primrosedrift/primrosedrift/internal/applier"
	operatorv1 "github.com/primrosedrift/primrosedrift/pkg/api/operator/v1"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

// formatEvents returns "actor event subject" for each explanation.
func formatEvents(list []*operatorv1.Explanation) []string {
	var out []string
	for _, e := range list {
		out = append(out, e.GetActor()+" "+e.GetEvent()+" "+e.GetSubject())
	}
	return out
}

// TestRequestEndsDoNotEvictDecisions checks that many ends of requests do not evict
// the decision that they depend on, and that the number of kept events is bounded.
func TestRequestEndsDoNotEvictDecisions(t *testing.T) {
	x := Explainer{Capacity: 10}
	x.AddEvent(&operatorv1.Explanation{Event: "load", Subject: "r-1"}, "levy-status")
	for i := range 100 {
		x.AddRequestEnd(&operatorv1.Explanation{Event: "answered", Subject: fmt.Sprint(i)}, "levy-status")
	}
	got := formatEvents(x.Explain("levy-status", 3))
	require.Equal(t, []string{" load r-1", " answered 97", " answered 98", " answered 99"}, got)
	require.Len(t, x.Explain("levy-status", 1000), 11)
}

func TestActorIsInstanceOfWriter(t *testing.T) {
	var x Explainer
	x.OnEvents([]applier.Event{
		{Writer: "inc-1", Counted: true, Record: &recordv1.Record{Kind: &recordv1.Record_Claim{Claim: &recordv1.Claim{Instance: "entry-1", Incarnation: "inc-1"}}}},
		{Writer: "inc-1", Counted: true, Record: &recordv1.Record{Kind: &recordv1.Record_Decision{Decision: &recordv1.Decision{
			Action: recordv1.DecisionAction_DECISION_ACTION_LOAD, Replica: "r-1", Model: "levy-status",
		}}}},
		{Writer: "inc-1", Counted: true, Record: &recordv1.Record{Kind: &recordv1.Record_Observation{Observation: &recordv1.Observation{
			Kind: recordv1.ObservationKind_OBSERVATION_KIND_LOADED, Replica: "r-1",
		}}}},
	})
	require.Equal(t, []string{"entry-1 load r-1", "entry-1 loaded r-1"}, formatEvents(x.Explain("levy-status", 0)))
}

func TestMembershipChangesAreExplained(t *testing.T) {
	up := Member{Name: "entry-2", Incarnation: "a", Addresses: []string{"127.0.0.1:1"}, IsUsable: true}
	lost, leaving, restarted := up, up, up
	lost.IsUsable = false
	leaving.IsUsable, leaving.IsLeaving = false, true
	restarted.Incarnation = "b"
	tests := []struct {
		name  string
		steps [][]Member
		want  []string
	}{
		{"lost", [][]Member{{up}, {up}, {lost}, {lost}}, []string{"e in use entry-2", "e lost entry-2"}},
		{"leaving", [][]Member{{up}, {leaving}, {}}, []string{"e in use entry-2", "e leaving entry-2"}},
		{"gone from the list", [][]Member{{up}, {}}, []string{"e in use entry-2", "e gone entry-2"}},
		{"restarted", [][]Member{{up}, {restarted}}, []string{"e in use entry-2", "e restarted entry-2"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var x Explainer
			m := Membership{Explainer: &x, Instance: "e"}
			for _, s := range tt.steps {
				m.Update(s)
			}
			require.Equal(t, tt.want, formatEvents(x.Explain("members", 0)))
			require.Equal(t, tt.want, formatEvents(x.Explain("127.0.0.1:1", 0)))
		})
	}
}
