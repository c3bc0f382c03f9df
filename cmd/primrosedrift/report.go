package main

import (
	"context"
	"os"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/primrosedrift/primrosedrift/internal/burner"
	operatorv1 "github.com/primrosedrift/primrosedrift/pkg/api/operator/v1"
	"github.com/primrosedrift/primrosedrift/pkg/api/operator/v1/operatorv1connect"
)

func reportCommand() *cli.Command {
	return &cli.Command{
		Name: "report", Usage: "report on the service",
		Commands: []*cli.Command{{
			Name: "burn", Usage: "show the burn rates of the error budgets of the service-level objectives, and the causes",
			Flags: []cli.Flag{
				operatorsFlag(), outputFlag(),
				&cli.StringFlag{Name: "plot", Usage: "file for an SVG plot"},
			},
			Action: reportBurn,
		}, reportDayCommand(), reportRequestCommand()},
	}
}

func reportBurn(ctx context.Context, c *cli.Command) error {
	rep, err := fetchBurn(ctx, c)
	if err != nil {
		return err
	}
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

// fetchBurn queries every entry instance and combines their snapshots in one
// report.
func fetchBurn(ctx context.Context, c *cli.Command) (burner.Report, error) {
	var snapshots []burner.Snapshot
	var unresponsive []burner.UnreachableInstance
	for _, a := range c.StringSlice("entry") {
		actx, cancel := context.WithTimeout(ctx, queryTimeout)
		resp, err := operatorv1connect.NewOperatorQueriesClient(httpClient(c), scheme(c)+a).
			Burn(actx, connect.NewRequest(&operatorv1.BurnRequest{}))
		cancel()
		if err != nil {
			unresponsive = append(unresponsive, burner.UnreachableInstance{Address: a, Error: err.Error()})
			continue
		}
		snapshots = append(snapshots, burner.FromMessage(resp.Msg))
	}
	if len(snapshots) == 0 {
		return burner.Report{}, errors.Newf("no entry instance responded: %s; are they up, and are these operator addresses?", unresponsive[0].Error)
	}
	return burner.NewReport(snapshots, unresponsive), nil
}
