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

func encodeBrittle(list []registrar.BrittleService) []*peerv1.BrittleService {
	var out []*peerv1.BrittleService
	for _, b := range list {
		out = append(out, &peerv1.BrittleService{Service: b.Service, AgeMs: milliseconds(b.Age)})
	}
	return out
}

func decodeBrittle(list []*peerv1.BrittleService) []registrar.BrittleService {
	var out []registrar.BrittleService
	for _, b := range list {
		out = append(out, registrar.BrittleService{Service: b.GetService(), Age: time.Duration(b.GetAgeMs()) * time.Millisecond})
	}
	return out
}
