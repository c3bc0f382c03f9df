package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/assembler"
	"github.com/primrosedrift/primrosedrift/internal/conductor"
	"github.com/primrosedrift/primrosedrift/internal/courier"
	"github.com/primrosedrift/primrosedrift/internal/logger"
	"github.com/primrosedrift/primrosedrift/platform"
)

func entryCommand() *cli.Command {
	return &cli.Command{
		Name:  "entry",
		Usage: "run an entry instance with settings from the platform, until SIGTERM",
		Description: "The settings file is named by the environment variable " + platform.SettingsVariable + ".\n" +
			"SIGHUP reads it again and logs the settings if they have changed.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "log-level", Value: "info", Usage: "debug, info, warn or error"},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			hup := make(chan os.Signal, 1)
			signal.Notify(hup, syscall.SIGHUP) // before anything that takes time; it ends the process otherwise
			s, err := platform.LoadSettings()
			if err != nil {
				return exitError{exitUsage, err}
			}
			if c.Bool("check") {
				return nil
			}
			return runEntry(ctx, s, hup, c.String("log-level"))
		},
	}
}

func runEntry(ctx context.Context, s platform.Settings, hup <-chan os.Signal, level string) error {
	out := &logger.Writer{Out: os.Stdout, Limiter: logger.NewLimiter()}
	log, err := logger.New(out, level)
	if err != nil {
		return exitError{exitUsage, err}
	}
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go out.Run(runCtx)
	go watchSettings(runCtx, s, hup, log)
	err = assembler.New(newDeployment(s), log.With(zap.String("instance", s.Instance))).Run(ctx)
	return errors.CombineErrors(err, out.Sync())
}

// newDeployment translates the platform's settings and formats for the
// assembler.
func newDeployment(s platform.Settings) assembler.Deployment {
	store := platform.NewStore(s.Store)
	return assembler.Deployment{
		Instance: s.Instance, DataCentre: s.DataCentre, MemoryBytes: s.MemoryBytes, Cores: s.Cores,
		Listen: assembler.Listen{
			Caller: s.Caller, Ready: s.Ready, Directory: s.Directory, Peer: s.Peer, Metrics: s.Metrics, Seed: s.Seed,
		},
		Seeds:     otherSeeds(s),
		StopGrace: s.Grace, AddressTTL: s.ResolveLife, MaxDrainDelay: s.Drain, MaxApplyDelay: s.Apply, RevokeAfter: s.RevokeAfter, MinOrderGap: s.OrderGap,
		RetryRatio: s.RetryShare, RetryReserve: s.RetryReserve,
		QuotaWindow: s.QuotaWindow, QuotaOverage: s.QuotaOverage, QuotaSlack: s.QuotaSlack,
		ConfigTopic: store.ConfigTopic(), UpstreamTopic: store.UpstreamTopic(), LeaseStore: store.LeaseStore(), PoisonStore: store.PoisonStore(), TrialStore: store.TrialStore(),
		SoftwareStore: store.SoftwareStore(), OriginStore: store.OriginStore(), DefaultsStore: store.DefaultsStore(),
		IsOlderConfig: platform.IsOlderConfig, IsOlderRegistration: platform.IsOlderRegistration,
		DecodeConfig: platform.DecodeConfig, DecodeUpstream: platform.DecodeUpstream, Codec: platform.Codec(),
		NewRemote:           func(p *courier.Pool) conductor.Remote { return platform.NewRemote(p, s.Instance) },
		NewDirectoryHandler: platform.NewDirectoryHandler, NewReadyHandler: platform.NewReadyHandler,
	}
}

// otherSeeds returns the seeds without this instance.
func otherSeeds(s platform.Settings) []string {
	var out []string
	for _, seed := range s.Seeds {
		if seed != "" && seed != s.Seed {
			out = append(out, seed)
		}
	}
	return out
}

// settingsPollInterval is the interval at which the settings file is read, as it
// may change without a signal.
const settingsPollInterval = 2 * time.Second

// watchSettings logs changes of the settings, at once after a SIGHUP, until ctx ends. A running process
// keeps the addresses and bounds that it started with; changed settings take
// effect at the next start.
func watchSettings(ctx context.Context, s platform.Settings, hup <-chan os.Signal, log *zap.Logger) {
	tick := time.NewTicker(settingsPollInterval)
	defer tick.Stop()
	for {
		signaled := false
		select {
		case <-ctx.Done():
			return
		case <-hup:
			signaled = true
		case <-tick.C:
		}
		next, err := platform.LoadSettings()
		switch {
		case err != nil:
			log.Error("settings could not be loaded; keeping the previous ones", logger.Error(err))
		case next != s:
			log.Info("settings changed; they take effect at the next start", zap.Any("settings", next))
			s = next
		case signaled:
			log.Info("settings reloaded; nothing has changed")
		}
	}
}
