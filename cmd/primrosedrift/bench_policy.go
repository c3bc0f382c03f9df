package main

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

func benchPolicyCommand() *cli.Command {
	return &cli.Command{
		Name: "policy", Usage: "replay seeded traces through the placement decisions in virtual time",
		Action: func(context.Context, *cli.Command) error {
			return errors.New("bench policy is not there yet")
		},
	}
}
