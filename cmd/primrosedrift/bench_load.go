package main

import (
	"context"
	"os"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/primrosedrift/primrosedrift/internal/loader"
	"github.com/primrosedrift/primrosedrift/internal/standin/engine"
	operatorv1 "github.com/primrosedrift/primrosedrift/pkg/api/operator/v1"
	"github.com/primrosedrift/primrosedrift/pkg/api/operator/v1/operatorv1connect"
	"github.com/primrosedrift/primrosedrift/pkg/caller"
)

func benchLoadCommand() *cli.Command {
	return &cli.Command{
		Name: "load", ArgsUsage: "PLAN",
		Usage: "generate load on entry instances that use stand-in upstreams, and check every outcome",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entry", Usage: "caller address of an entry instance, as host:port", Required: true},
			&cli.StringFlag{Name: "operator", Usage: "operator address of an entry instance; needed for a direct share"},
			&cli.StringSliceFlag{Name: "ran", Usage: "URL of a stand-in service that returns how often each request key ran"},
			&cli.FloatFlag{Name: "factor", Usage: "multiplies all rates", Value: 1},
			&cli.DurationFlag{Name: "length", Usage: "replaces the plan's length"},
			&cli.Uint64Flag{Name: "seed", Usage: "replaces the plan's seed"},
			&cli.FloatFlag{Name: "direct-share", Usage: "replaces the plan's share of direct requests"},
			&cli.StringFlag{Name: "plot", Usage: "file for an SVG plot"},
			outputFlag(),
		},
		Action: benchLoad,
	}
}

func benchLoad(ctx context.Context, c *cli.Command) error {
	plan, err := loader.LoadPlan(c.Args().First())
	if err != nil {
		return exitError{exitUsage, err}
	}
	plan = plan.WithFactor(c.Float("factor"))
	if c.IsSet("length") {
		plan = plan.WithLength(c.Duration("length"))
	}
	if c.IsSet("seed") {
		plan.Seed = c.Uint64("seed")
	}
	if c.IsSet("direct-share") {
		plan.DirectShare = c.Float("direct-share")
	}
	if plan.DirectShare > 0 && c.String("operator") == "" {
		return exitError{exitUsage, errors.New("a direct share needs --operator to find the upstream of each replica")}
	}
	rep, err := newLoader(c, plan).Run(ctx)
	if err != nil {
		return err
	}
	if err := writeLoadReport(c, rep); err != nil {
		return err
	}
	if !rep.IsClean() {
		return exitError{exitFailed, errors.New("a request was lost, got a wrong answer, ran twice or was wrongly refused as not run; see the report")}
	}
	return nil
}

func newLoader(c *cli.Command, plan loader.Plan) *loader.Loader {
	client := httpClient(c)
	clients := make(map[string]loader.Sender)
	for _, t := range plan.Targets {
		p := &caller.Client{Entries: c.StringSlice("entry"), Customer: t.Customer, HTTP: client, TLS: usesTLS(c)}
		if _, ok := clients[t.Customer]; !ok {
			clients[t.Customer] = loader.Sender{Generate: p.Generate, Call: p.Call}
		}
	}
	operator := operatorv1connect.NewOperatorQueriesClient(client, scheme(c)+c.String("operator"))
	direct := &loader.DirectClient{HTTP: client, FetchState: func(ctx context.Context) (*operatorv1.GetResponse, error) {
		resp, err := operator.Get(ctx, connect.NewRequest(&operatorv1.GetRequest{}))
		if err != nil {
			return nil, err
		}
		return resp.Msg, nil
	}}
	l := &loader.Loader{
		Plan: plan, Direct: direct.Sender(), ExpectedToken: engine.Token,
		SystemSender: func(customer string) loader.Sender { return clients[customer] },
		ExpectedBody: func(method string) string { return method + " done" },
	}
	if urls := c.StringSlice("ran"); len(urls) > 0 {
		l.RunCounts = func(ctx context.Context) (map[string]int, error) { return loader.FetchRunCounts(ctx, client, urls) }
	}
	return l
}

func writeLoadReport(c *cli.Command, rep loader.Report) error {
	if file := c.String("plot"); file != "" {
		f, err := os.Create(file)
		if err != nil {
			return errors.Wrap(err, "plot")
		}
		defer f.Close()
		if err := rep.WriteSVG(f); err != nil {
			return err
		}
	}
	if c.String("output") == "json" {
		return printJSON(rep)
	}
	return rep.WriteText(os.Stdout)
}
