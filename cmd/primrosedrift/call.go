package main

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	callerv1 "github.com/primrosedrift/primrosedrift/pkg/api/caller/v1"
	"github.com/primrosedrift/primrosedrift/pkg/caller"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

func callCommand() *cli.Command {
	return &cli.Command{
		Name: "call", Usage: "make one request as a caller, through the entry instances that Locate returns",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entry", Usage: "caller address of an entry instance, as host:port", Required: true},
			&cli.StringFlag{Name: "customer", Required: true},
			&cli.StringFlag{Name: "model"},
			&cli.StringFlag{Name: "adapter"},
			&cli.StringFlag{Name: "prompt", Value: "hello"},
			&cli.IntFlag{Name: "max-tokens", Value: 8},
			&cli.StringFlag{Name: "service"},
			&cli.StringFlag{Name: "method"},
			&cli.StringFlag{Name: "key", Usage: "ULID that identifies a non-idempotent request"},
			&cli.StringFlag{Name: "request-id"},
			&cli.DurationFlag{Name: "deadline"},
		},
		Action: call,
	}
}

func call(ctx context.Context, c *cli.Command) error {
	client := &caller.Client{Entries: c.StringSlice("entry"), Customer: c.String("customer"), HTTP: httpClient(c), TLS: usesTLS(c)}
	start := time.Now()
	err := callOnce(ctx, c, client)
	if err == nil {
		fmt.Printf("answered in %s\n", time.Since(start).Round(time.Millisecond))
		return nil
	}
	r := verdict.FromError(err)
	if r.RetryAfter > 0 {
		fmt.Printf("retry after %s\n", r.RetryAfter)
	}
	if r.Ran == verdict.NotRun {
		return exitError{exitRefused, r}
	}
	return exitError{exitMayHaveRun, r}
}

func callOnce(ctx context.Context, c *cli.Command, client *caller.Client) error {
	deadline := uint32(c.Duration("deadline").Milliseconds())
	if c.String("service") != "" {
		resp, err := client.Call(ctx, &callerv1.CallRequest{
			RequestId: c.String("request-id"), Service: c.String("service"), Method: c.String("method"),
			Key: c.String("key"), DeadlineMs: deadline,
		})
		if err == nil {
			fmt.Printf("%s (earlier: %t)\n", resp.GetBody(), resp.GetEarlier())
		}
		return err
	}
	return client.Generate(ctx, &callerv1.GenerateRequest{
		RequestId: c.String("request-id"), Model: c.String("model"), Adapter: c.String("adapter"),
		Prompt: c.String("prompt"), MaxTokens: uint32(c.Int("max-tokens")), DeadlineMs: deadline,
	}, func(token string) { fmt.Print(token, " ") })
}
