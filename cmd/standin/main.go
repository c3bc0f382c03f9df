// Command standin runs stand-ins for the platform and the upstreams, for trials,
// tests and the demo. It is not for production use.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
	"golang.org/x/time/rate"

	"github.com/primrosedrift/primrosedrift/internal/standin/engine"
	"github.com/primrosedrift/primrosedrift/internal/standin/faulter"
	"github.com/primrosedrift/primrosedrift/internal/standin/lister"
	"github.com/primrosedrift/primrosedrift/internal/standin/logstore"
	"github.com/primrosedrift/primrosedrift/internal/standin/service"
	"github.com/primrosedrift/primrosedrift/internal/standin/weigher"
	"github.com/primrosedrift/primrosedrift/pkg/api/platform/v1/platformv1connect"
)

const gibibyte = 1 << 30

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	err := command().Run(ctx, os.Args)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	listen := &cli.StringFlag{Name: "listen", Usage: "address to serve on", Required: true}
	loadMs := &cli.IntFlag{Name: "load-ms", Usage: "load duration at full speed, in milliseconds"}
	return &cli.Command{
		Name:  "standin",
		Usage: "stand-ins for the platform and the upstreams",
		Commands: []*cli.Command{
			{Name: "log", Usage: "log service", Action: runLog, Flags: []cli.Flag{
				listen,
				&cli.FloatFlag{Name: "appends-per-second", Value: logstore.DefaultAppendsPerSecond},
				&cli.IntFlag{Name: "retain", Usage: "maximum number of entries to keep, 0 for all"},
			}},
			{Name: "list", Usage: "instance list", Action: runList, Flags: []cli.Flag{listen}},
			{Name: "store", Usage: "weight store", Action: runStore, Flags: []cli.Flag{
				listen, loadMs,
				&cli.FloatFlag{Name: "loads-per-second", Value: 4.5},
				&cli.IntFlag{Name: "concurrent", Value: 4},
			}},
			{Name: "engine", Usage: "model engine", Action: runEngine, Flags: []cli.Flag{
				listen, loadMs,
				&cli.IntFlag{Name: "memory-gib", Value: 80},
				&cli.IntFlag{Name: "slots", Value: 32},
				&cli.IntFlag{Name: "token-ms", Usage: "time between tokens, in milliseconds"},
				&cli.BoolFlag{Name: "checks-fencing"},
				&cli.StringFlag{Name: "software", Usage: "version of the engine's software"},
				&cli.StringFlag{Name: "store", Usage: "URL of the weight store"},
				&cli.StringFlag{Name: "crash-on", Usage: "exit when a prompt contains this text"},
			}},
			{Name: "service", Usage: "plain service", Action: runService, Flags: []cli.Flag{
				listen,
				&cli.IntFlag{Name: "slots", Value: 32},
				&cli.IntFlag{Name: "call-ms", Usage: "duration of a call, in milliseconds"},
			}},
		},
	}
}

func runLog(ctx context.Context, c *cli.Command) error {
	n := c.Float("appends-per-second")
	s := &logstore.Store{Limiter: rate.NewLimiter(rate.Limit(n), int(max(1, n/10))), MaxEntries: c.Int("retain")}
	return serve(ctx, c, s.Handler())
}

func runList(ctx context.Context, c *cli.Command) error {
	return serve(ctx, c, new(lister.Lister).Handler())
}

func runStore(ctx context.Context, c *cli.Command) error {
	s := &weigher.Store{Limiter: rate.NewLimiter(rate.Limit(c.Float("loads-per-second")), 4), FullSpeedLoads: c.Int("concurrent")}
	s.Faults.Set(faulter.Faults{LoadMs: c.Int("load-ms")})
	return serve(ctx, c, s.Handler())
}

func runEngine(ctx context.Context, c *cli.Command) error {
	e := &engine.Engine{
		MemoryBytes: uint64(c.Int("memory-gib")) * gibibyte, Slots: uint32(c.Int("slots")), ChecksFencing: c.Bool("checks-fencing"),
		Software: c.String("software"),
	}
	if u := c.String("store"); u != "" {
		e.Store = platformv1connect.NewWeightStoreQueriesClient(http.DefaultClient, u)
	}
	e.Faults.Set(faulter.Faults{LoadMs: c.Int("load-ms"), TokenMs: c.Int("token-ms"), CrashOn: c.String("crash-on")})
	return serve(ctx, c, e.Handler())
}

func runService(ctx context.Context, c *cli.Command) error {
	s := &service.Service{Slots: uint32(c.Int("slots"))}
	s.Faults.Set(faulter.Faults{TokenMs: c.Int("call-ms")})
	return serve(ctx, c, s.Handler())
}

func serve(ctx context.Context, c *cli.Command, h http.Handler) error {
	s := &http.Server{Addr: c.String("listen"), Handler: h, ReadHeaderTimeout: 10 * time.Second}
	go func() {
		<-ctx.Done()
		_ = s.Close()
	}()
	if err := s.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	return nil
}
