package assembler

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/streamtracker"
)

// wireStreams creates the components that keep which software versions began streams.
func (a *Assembler) wireStreams() {
	log := a.Log.Named("streamtracker")
	history := &streamtracker.History{OnChange: func(service string, versions []string) {
		log.Info("software versions of a service", zap.String("service", service), zap.Strings("versions", versions))
		a.softwareSaver.Wake()
		if len(versions) > 1 {
			a.streams.Spread(service)
		}
	}}
	a.softwareSaver = streamtracker.NewSaver(history, a.SoftwareStore, func() bool { return a.lease.IsHolder() }, log)
	a.streams = &streamtracker.Keeper{
		Tracker: &streamtracker.Tracker{}, History: history, Load: a.SoftwareStore.LoadService, Log: log,
		Send: func(list []streamtracker.Origin) streamtracker.Delivery { return a.client.SendOrigins(list) },
		Ask: func(ctx context.Context, stream, service string) ([]streamtracker.Answer, int) {
			return a.client.AskForOrigin(ctx, stream, service)
		},
		IsFresh: func() bool {
			age, ok := a.upstreamFollower.Age()
			return ok && age < a.MaxDrainDelay
		},
	}
}

// observeSoftware records the software versions that are registered now.
func (a *Assembler) observeSoftware(now time.Time) {
	a.streams.History.Observe(a.upstreamTable.SoftwareVersions(), a.upstreamTable.IsComplete(now), now)
}
