package endchecker

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/primrosedrift/primrosedrift/internal/courier"
)

// TestVerdictOfEachPeer guards against a sound upstream that is taken for one that has crashed, and the reverse.
func TestVerdictOfEachPeer(t *testing.T) {
	for name, tt := range map[string]struct {
		Evidence
		want    Verdict
		isWhole bool
	}{
		"sound":                                    {Evidence{Second: SecondOpen}, Lives, true},
		"sound, leaves":                            {Evidence{Second: SecondOpen, IsLeaving: true}, Lives, true},
		"sound, and this process stood still":      {Evidence{Second: SecondOpen, StoodStill: true}, Lives, true},
		"sound, response too short for a second":   {Evidence{Second: SecondNone, Listening: courier.ListeningOpens}, Listens, true},
		"full":                                     {Evidence{Second: SecondNone, Listening: courier.ListeningResets}, HasNoRoom, true},
		"full, has closed an idle connection":      {Evidence{Second: SecondEnded, Listening: courier.ListeningResets}, HasNoRoom, true},
		"does not accept":                          {Evidence{Second: SecondNone, Listening: courier.ListeningUnknown}, Unanswered, true},
		"has closed an idle connection":            {Evidence{Second: SecondEnded, Listening: courier.ListeningOpens}, Listens, true},
		"leaves, has closed its listener":          {Evidence{Second: SecondNone, Listening: courier.ListeningRefused, IsLeaving: true}, HasLeft, true},
		"crashed":                                  {Evidence{Second: SecondEnded, Listening: courier.ListeningRefused}, Crashed, false},
		"crashed, without a second":                {Evidence{Second: SecondNone, Listening: courier.ListeningRefused}, NotListens, false},
		"crashed while it leaves":                  {Evidence{Second: SecondEnded, Listening: courier.ListeningRefused, IsLeaving: true}, Crashed, false},
		"crashed with its machine":                 {Evidence{Second: SecondEnded, Listening: courier.ListeningUnknown}, Crashed, false},
		"crashed and back at once, timeout stated": {Evidence{Second: SecondEnded, HasStatedTimeout: true, Listening: courier.ListeningOpens}, Crashed, false},
		"restarted, as registered":                 {Evidence{Second: SecondOpen, HasRestarted: true}, Restarted, false},
		"back while this process stood still":      {Evidence{Second: SecondEnded, Listening: courier.ListeningOpens, StoodStill: true}, Doubtful, false},
		"the same, without a second":               {Evidence{Second: SecondNone, Listening: courier.ListeningOpens, StoodStill: true}, Doubtful, false},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tt.want, tt.Verdict())
			require.Equal(t, tt.isWhole, tt.Verdict().IsWhole())
		})
	}
}
