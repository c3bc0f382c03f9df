package main

import (
	"context"
	"fmt"
	"runtime/debug"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/entry"
	"github.com/primrosedrift/primrosedrift/internal/publisher"
	"github.com/primrosedrift/primrosedrift/internal/settings"
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name: "serve", Usage: "run an entry instance until SIGTERM", ArgsUsage: "SETTINGS",
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := settings.Load(c.Args().First())
			if err != nil {
				return exitError{exitUsage, err}
			}
			log, err := newLogger(s.Log.Level)
			if err != nil {
				return err
			}
			defer func() { _ = log.Sync() }()
			return entry.New(s, log.With(zap.String("instance", s.Instance))).Run(ctx)
		},
	}
}

func newLogger(level string) (*zap.Logger, error) {
	cfg := zap.NewProductionConfig()
	l, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "log level")
	}
	cfg.Level = l
	cfg.Sampling = nil
	log, err := cfg.Build()
	return log, errors.Wrap(err, "build logger")
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "check settings and operators' files; prints every fault", ArgsUsage: "SETTINGS...",
		Flags: []cli.Flag{&cli.StringSliceFlag{Name: "operators-file", Usage: "operators' file to check"}},
		Action: func(_ context.Context, c *cli.Command) error {
			var all []error
			for _, f := range c.Args().Slice() {
				_, err := settings.Load(f)
				all = append(all, err)
			}
			for _, f := range c.StringSlice("operators-file") {
				_, err := publisher.Load(f)
				all = append(all, err)
			}
			if err := errors.Join(all...); err != nil {
				return exitError{exitUsage, err}
			}
			fmt.Println("no faults")
			return nil
		},
	}
}

func versionCommand() *cli.Command {
	return &cli.Command{
		Name: "version", Usage: "print the version",
		Action: func(context.Context, *cli.Command) error {
			info, ok := debug.ReadBuildInfo()
			if !ok {
				return errors.New("the binary has no build information")
			}
			fmt.Println(info.Main.Path, info.Main.Version, info.GoVersion)
			return nil
		},
	}
}
