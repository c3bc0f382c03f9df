package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/primrosedrift/primrosedrift/internal/logreader"
)

// defaultLatencyObjective is the latency above which a served request counts as
// late, if its log line states no objective.
const defaultLatencyObjective = 300 * time.Millisecond

// defaultContextLines is the default maximum number of lines shown around a
// request.
const defaultContextLines = 20

func reportDayCommand() *cli.Command {
	return &cli.Command{
		Name: "day", Usage: "count how the requests in logs of entry instances ended, and why", ArgsUsage: "LOG...",
		Flags: []cli.Flag{
			outputFlag(),
			&cli.DurationFlag{Name: "objective", Value: defaultLatencyObjective, Usage: "latency above which a served request is late, if its log line states none"},
			&cli.BoolFlag{Name: "causes", Usage: "count the requests of all routes together"},
			&cli.StringFlag{Name: "plot", Usage: "file for an SVG plot"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			l, err := readLogs(c.Args().Slice())
			if err != nil {
				return err
			}
			d := l.Summarize(c.Duration("objective"))
			if c.Bool("causes") {
				d = d.ByCause()
			}
			if file := c.String("plot"); file != "" {
				f, err := os.Create(file)
				if err != nil {
					return errors.Wrap(err, "plot")
				}
				defer f.Close()
				if err := d.WriteSVG(f); err != nil {
					return err
				}
			}
			if c.String("output") == "json" {
				return printJSON(d)
			}
			return d.WriteText(os.Stdout)
		},
	}
}

func reportRequestCommand() *cli.Command {
	return &cli.Command{
		Name: "request", Usage: "show the log lines of a request and those that explain it", ArgsUsage: "ID LOG...",
		Flags: []cli.Flag{&cli.IntFlag{Name: "around", Value: defaultContextLines, Usage: "maximum number of lines around the request"}},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() < 2 {
				return exitError{exitUsage, errors.New("needs a request id and at least one log")}
			}
			l, err := readLogs(c.Args().Tail())
			if err != nil {
				return err
			}
			t := l.Find(c.Args().First(), c.Int("around"))
			if len(t.RequestLines) == 0 {
				return errors.Newf("request %s is not in the logs: did another instance handle it, or were lines dropped?", t.Request)
			}
			for _, line := range t.ContextLines {
				fmt.Println(line)
			}
			fmt.Println()
			for _, line := range t.RequestLines {
				fmt.Println(line)
			}
			return nil
		},
	}
}

func readLogs(files []string) (*logreader.Log, error) {
	if len(files) == 0 {
		return nil, exitError{exitUsage, errors.New("needs at least one log")}
	}
	l := &logreader.Log{}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, exitError{exitUsage, errors.Wrap(err, "log")}
		}
		err = l.Read(f)
		_ = f.Close() // opened for reading only
		if err != nil {
			return nil, err
		}
	}
	return l, nil
}
