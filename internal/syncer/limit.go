package syncer

import (
	"time"

	"github.com/primrosedrift/primrosedrift/internal/registrar"
	peerv1 "github.com/primrosedrift/primrosedrift/pkg/api/peer/v1"
)

func encodeLimits(list []registrar.LimitStatement) []*peerv1.Limit {
	var out []*peerv1.Limit
	for _, l := range list {
		out = append(out, &peerv1.Limit{
			Upstream: l.ID, Born: l.StartedAtMs, IsLimited: l.IsLimited, Rate: l.Rate, AgeMs: milliseconds(l.Age),
		})
	}
	return out
}

func decodeLimits(list []*peerv1.Limit) []registrar.LimitStatement {
	var out []registrar.LimitStatement
	for _, l := range list {
		out = append(out, registrar.LimitStatement{
			Incarnation: registrar.Incarnation{ID: l.GetUpstream(), StartedAtMs: l.GetBorn()}, IsLimited: l.GetIsLimited(),
			Rate: l.GetRate(), Age: time.Duration(l.GetAgeMs()) * time.Millisecond,
		})
	}
	return out
}
