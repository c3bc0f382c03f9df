package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/primrosedrift/primrosedrift/internal/publisher"
	operatorv1 "github.com/primrosedrift/primrosedrift/pkg/api/operator/v1"
	"github.com/primrosedrift/primrosedrift/pkg/api/operator/v1/operatorv1connect"
)

func operatorFlag() cli.Flag {
	return &cli.StringFlag{Name: "entry", Usage: "operator address of an entry instance, as host:port", Required: true}
}

func outputFlag() cli.Flag {
	return &cli.StringFlag{Name: "output", Usage: "text or json", Value: "text"}
}

func operatorURL(c *cli.Command) string {
	return scheme(c) + c.String("entry")
}

func publishCommand() *cli.Command {
	return &cli.Command{
		Name: "publish", Usage: "publish an operators' file", ArgsUsage: "FILE",
		Flags: []cli.Flag{
			operatorFlag(),
			&cli.BoolFlag{Name: "dry-run", Usage: "only show what would change"},
			&cli.BoolFlag{Name: "prune", Usage: "delete objects in force that the file does not contain"},
			&cli.StringFlag{Name: "operator", Usage: "name of the operator who publishes", Value: os.Getenv("USER")},
		},
		Action: publish,
	}
}

func publish(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return exitError{exitUsage, errors.New("publish needs one operators' file")}
	}
	f, err := publisher.Load(c.Args().First())
	if err != nil {
		return exitError{exitUsage, err}
	}
	got, err := operatorv1connect.NewOperatorQueriesClient(httpClient(c), operatorURL(c)).
		Get(ctx, connect.NewRequest(&operatorv1.GetRequest{}))
	if err != nil {
		return errors.Wrap(err, "get the configuration in force; is the entry instance up?")
	}
	change := publisher.Diff(got.Msg.GetObjects(), f.Objects(), c.Bool("prune"))
	for _, l := range change.Lines() {
		fmt.Println(l)
	}
	if change.IsEmpty() {
		fmt.Printf("nothing to change at version %d\n", got.Msg.GetVersion())
		return nil
	}
	if c.Bool("dry-run") {
		fmt.Printf("dry run against version %d: nothing was published\n", got.Msg.GetVersion())
		return nil
	}
	resp, err := operatorv1connect.NewOperatorCommandsClient(httpClient(c), operatorURL(c)).
		Publish(ctx, connect.NewRequest(&operatorv1.PublishRequest{
			BaseVersion: got.Msg.GetVersion(), Upserts: change.Upserts, Deletes: change.Deletes, Operator: c.String("operator"),
		}))
	if err != nil && connect.IsWireError(err) {
		return errors.Wrap(err, "publish")
	}
	if err != nil {
		return exitError{exitUnknown, errors.Wrap(err, "unknown whether the change was published; run publish again")}
	}
	return publishResult(resp.Msg)
}

func publishResult(m *operatorv1.PublishResponse) error {
	switch m.GetResult() {
	case operatorv1.PublishResult_PUBLISH_RESULT_ACCEPTED:
		fmt.Printf("accepted at version %d\n", m.GetVersion())
		return nil
	case operatorv1.PublishResult_PUBLISH_RESULT_LOST_RACE:
		return exitError{exitLostRace, errors.Newf("lost a race to version %d; look at what is in force and publish again", m.GetVersion())}
	case operatorv1.PublishResult_PUBLISH_RESULT_INVALID:
		return exitError{exitUsage, errors.Newf("nothing was published, version %d stays in force:\n%s", m.GetVersion(), m.GetDetail())}
	}
	return exitError{exitUnknown, errors.Newf("unknown whether the change was published (%s); run publish again", m.GetDetail())}
}

func printJSON(v any) error {
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return errors.Wrap(enc.Encode(v), "print")
}
