package syncer

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/logger"
	"github.com/primrosedrift/primrosedrift/internal/losstracker"
	"github.com/primrosedrift/primrosedrift/internal/registrar"
	peerv1 "github.com/primrosedrift/primrosedrift/pkg/api/peer/v1"
)

// formatIncarnation returns the incarnation of an upstream as it stands in messages.
func formatIncarnation(i registrar.Incarnation) string {
	return i.ID + "@" + time.UnixMilli(i.StartedAtMs).UTC().Format(time.RFC3339Nano)
}

func parseIncarnation(s string) (registrar.Incarnation, error) {
	n := strings.LastIndexByte(s, '@')
	if n < 0 {
		return registrar.Incarnation{}, errors.Newf("incarnation without a start time: %q", s)
	}
	startedAt, err := time.Parse(time.RFC3339Nano, s[n+1:])
	if err != nil {
		return registrar.Incarnation{}, errors.Wrap(err, "start time of an incarnation")
	}
	return registrar.Incarnation{ID: s[:n], StartedAtMs: startedAt.UnixMilli()}, nil
}

func encodeLosses(list []losstracker.Loss) []*peerv1.Loss {
	var out []*peerv1.Loss
	for _, l := range list {
		out = append(out, &peerv1.Loss{Fingerprint: l.Fingerprint, Incarnation: formatIncarnation(l.Incarnation), IsSuspected: !l.IsConfirmed, Repeat: uint32(l.Repeat), IsRefuted: l.IsRefuted, Round: uint32(l.Round), IsRelapse: l.IsRelapse})
	}
	return out
}

// decodeLosses decodes losses; malformed ones are logged and left out.
func decodeLosses(list []*peerv1.Loss, log *zap.Logger) []losstracker.Loss {
	out := make([]losstracker.Loss, 0, len(list))
	for _, l := range list {
		i, err := parseIncarnation(l.GetIncarnation())
		if err != nil {
			log.Warn("loss from a peer is malformed", logger.Error(err))
			continue
		}
		out = append(out, losstracker.Loss{Fingerprint: l.GetFingerprint(), Incarnation: i, IsConfirmed: !l.GetIsSuspected(), Repeat: int(l.GetRepeat()), IsRefuted: l.GetIsRefuted(), Round: int(l.GetRound()), IsRelapse: l.GetIsRelapse()})
	}
	return out
}

// syncLossesLocked increases the version of the view if its losses have changed.
func (s *Server) syncLossesLocked() {
	if v := s.Losses.SharedVersion(); v != s.lossesSeen {
		s.lossesSeen = v
		s.delta.lossesVersion = s.version + 1
		s.notifyWatchersLocked()
	}
}
