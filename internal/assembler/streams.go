package assembler

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/archiver"
	"github.com/primrosedrift/primrosedrift/internal/streamtracker"
	"github.com/primrosedrift/primrosedrift/internal/versioner"
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
	tracker := &streamtracker.Tracker{}
	archiveLog, archiveMetrics := a.Log.Named("archiver"), archiver.NewMetrics(a.registry)
	a.originSender = &archiver.Sender{
		Send:         func(ctx context.Context, list []streamtracker.Origin) error { return a.client.SaveOrigins(ctx, list) },
		HasHolder:    func() bool { return a.lease.IsHolder() || a.client.HasConductor() },
		NumInstances: func() int { return len(a.client.Members()) },
		Log:          archiveLog, Metrics: archiveMetrics,
	}
	a.localOrigins = &archiver.LocalWriter{Store: a.OriginStore, Log: archiveLog, Metrics: archiveMetrics}
	a.originSender.SaveLocally = a.localOrigins.Save
	a.originWriter = &archiver.Writer{Store: a.OriginStore, IsHolder: func() bool { return a.lease.IsHolder() }, Log: archiveLog, Metrics: archiveMetrics}
	a.defaults = &versioner.Follower{Load: a.DefaultsStore.Snapshot}
	a.defaultsMaintainer = &versioner.Maintainer{
		Store: a.DefaultsStore, IsHolder: func() bool { return a.lease.IsHolder() },
		IsFirst:  func() bool { return a.lease.IsInitial() },
		Services: a.resumableServices, AllFollow: a.allFollowDefaults, StreamTime: streamtracker.StreamMemory,
		OnChange: func() { a.server.NotifyDefaults() }, Log: a.Log.Named("versioner"),
	}
	reader := &archiver.Reader{Store: a.OriginStore, Tracker: tracker, Log: archiveLog, Metrics: archiveMetrics}
	a.streams = &streamtracker.Keeper{
		Tracker: tracker, History: history, Load: a.SoftwareStore.LoadService, Log: log,
		Archive: a.originSender.Add, LoadArchive: reader.Load, LoadArchiveSince: reader.LoadSince,
		Defaults: a.defaults, IsSaving: a.originSender.IsSaving, Save: a.originSender.Save, Era: a.era.Load,
		Send: func(list []streamtracker.Origin) streamtracker.Delivery { return a.client.SendOrigins(list) },
		Ask: func(ctx context.Context, stream, service string) ([]streamtracker.Answer, int) {
			return a.client.AskForOrigin(ctx, stream, service)
		},
		ReadCurrent: func(ctx context.Context) error { return a.upstreamFollower.ReadCurrent(ctx) },
		IsFresh: func() bool {
			age, ok := a.upstreamFollower.Age()
			return ok && age < a.MaxDrainDelay && a.upstreamTable.IsComplete(time.Now())
		},
	}
}

// wireSettler makes the instance save its origins when default versions change, and report that.
func (a *Assembler) wireSettler() {
	a.settler = &streamtracker.Settler{Keeper: a.streams, SaveAll: a.originSender.SaveAll, OnSettled: a.client.ReportNow}
	a.client.Settled = a.settler.Settled
	a.server.OnSettled = a.defaultsMaintainer.RecordReport
}

// observeSoftware records the software versions that are registered now.
func (a *Assembler) observeSoftware(now time.Time) {
	a.streams.History.Observe(a.upstreamTable.SoftwareVersions(), a.upstreamTable.IsComplete(now), now)
}

// resumableServices returns what is registered of the services whose streams can be taken up, nil while
// upstreams may be missing.
func (a *Assembler) resumableServices() map[string]versioner.Service {
	now := time.Now()
	cfg := a.config.Load()
	if cfg == nil || !a.upstreamTable.IsComplete(now) {
		return nil
	}
	out := make(map[string]versioner.Service)
	upstreams := a.upstreamTable.Snapshot().ByService
	for name := range cfg.Services {
		if !cfg.HasResumableStreams(name) {
			continue
		}
		known := a.streams.History.Versions(name, now)
		s := versioner.Service{Replicas: make(versioner.Replicas), IsSingle: len(known.Ages) == 1 && known.IsComplete()}
		for _, u := range upstreams[name] {
			s.Replicas.Add("", u.Software)
			for _, m := range u.Models {
				if m.ReadyAt.IsZero() {
					s.Replicas.Add(m.Name, u.Software)
				}
			}
		}
		out[name] = s
	}
	return out
}

// allFollowDefaults reports whether all live instances follow default software versions.
func (a *Assembler) allFollowDefaults() bool {
	for _, m := range a.client.Members() {
		if !m.GetFollowsDefaults() {
			return false
		}
	}
	return true
}
