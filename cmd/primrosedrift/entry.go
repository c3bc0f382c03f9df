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
		Usage: "run an entry instance on a platform that hands out the settings, until SIGTERM",
		Description: "The settings file is named by the environment variable " + platform.SettingsVariable + ".\n" +
			"SIGHUP reads it again and logs what has changed.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "log-level", Value: "info", Usage: "debug, info, warn or error"},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := platform.LoadSettings()
			if err != nil {
				return exitError{exitUsage, err}
			}
			if c.Bool("check") {
				return nil
			}
			return runEntry(ctx, s, c.String("log-level"))
		},
	}
}

func runEntry(ctx context.Context, s platform.Settings, level string) error {
	out := &logger.Writer{Out: os.Stdout, Limit: logger.NewLimiter()}
	log, err := logger.New(out, level)
	if err != nil {
		return exitError{exitUsage, err}
	}
	work, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	go out.Run(work)
	go watchSettings(work, s, log)
	err = assembler.New(deployment(s), log.With(zap.String("instance", s.Instance))).Run(ctx)
	return errors.CombineErrors(err, out.Sync())
}

// deployment puts the platform's settings and formats into the product's terms.
func deployment(s platform.Settings) assembler.Deployment {
	store := platform.NewStore(s.Store)
	return assembler.Deployment{
		Instance: s.Instance, DataCentre: s.DataCentre, MemoryBytes: s.MemoryBytes,
		Listen: assembler.Listen{
			Caller: s.Caller, Ready: s.Ready, Directory: s.Directory, Peer: s.Peer, Metrics: s.Metrics,
		},
		Grace: s.Grace, AddressLife: s.ResolveLife, Drain: s.Drain, Apply: s.Apply, OrderGap: s.OrderGap,
		RetryShare: s.RetryShare, RetryReserve: s.RetryReserve,
		Configs: store.Operators(), Upstreams: store.Upstreams(), Lease: store.Lease(),
		DecodeConfig: platform.DecodeConfig, DecodeUpstream: platform.DecodeUpstream, Codec: platform.Codec(),
		Remote:    func(p *courier.Pool) conductor.Remote { return platform.Remote(p, s.Instance) },
		Directory: platform.Directory, Ready: platform.Ready,
	}
}

// settingsInterval is how often the settings file is looked at: it may change
// without a signal.
const settingsInterval = 2 * time.Second

// watchSettings logs changes of the settings. Addresses and bounds hold for the
// life of a process; a new one starts with the new settings.
func watchSettings(ctx context.Context, s platform.Settings, log *zap.Logger) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	tick := time.NewTicker(settingsInterval)
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
			log.Error("settings not taken over", logger.Error(err))
		case next != s:
			log.Info("settings changed; they hold from the next start", zap.Any("settings", next))
			s = next
		case signaled:
			log.Info("settings reloaded without a change")
		}
	}
}
