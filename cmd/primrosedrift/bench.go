package main

import "github.com/urfave/cli/v3"

func benchCommand() *cli.Command {
	return &cli.Command{
		Name: "bench", Usage: "measure the system or its decisions",
		Commands: []*cli.Command{benchLoadCommand(), benchPolicyCommand()},
	}
}
