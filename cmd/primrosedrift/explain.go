package main

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	operatorv1 "github.com/primrosedrift/primrosedrift/pkg/api/operator/v1"
	"github.com/primrosedrift/primrosedrift/pkg/api/operator/v1/operatorv1connect"
)

// askTimeout bounds one question to one entry instance.
const askTimeout = 5 * time.Second

func operatorsFlag() cli.Flag {
	return &cli.StringSliceFlag{Name: "entry", Usage: "operator address of an entry instance, as host:port; give all of them", Required: true}
}

func explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", ArgsUsage: "SUBJECT",
		Usage: "say what happened to a model, adapter, replica, upstream, customer, request key, request id or entry instance, who decided it, and why",
		Flags: []cli.Flag{operatorsFlag(), outputFlag(), &cli.IntFlag{Name: "limit", Usage: "most decisions and most ends of requests to show, newest kept", Value: 50}},
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return exitError{exitUsage, errors.New("explain needs one subject, such as a model's name or a request id")}
			}
			v, err := explain(ctx, c, c.Args().First())
			if err != nil {
				return err
			}
			if len(v.Events) == 0 && len(v.Silent) > 0 {
				v.Lost = lostEvents(ctx, c)
			}
			if c.String("output") == "json" {
				return printJSON(v)
			}
			v.print()
			return nil
		},
	}
}

// explainView is what all asked entry instances know of a subject.
type explainView struct {
	Subject string            `json:"subject"`
	Events  []explanationView `json:"events"`
	// Silent holds the entry instances that could not be asked, and why.
	Silent []silentView `json:"not-asked"`
	// Lost holds the entry instances that were lost, if nobody remembers the subject.
	Lost []explanationView `json:"lost-entries,omitempty"`
}

// membersSubject is the subject of all changes of the membership.
const membersSubject = "members"

// lostEvents returns which entry instances were lost. A request that nobody
// remembers may have been at one of them.
func lostEvents(ctx context.Context, c *cli.Command) []explanationView {
	v, err := explain(ctx, c, membersSubject)
	if err != nil {
		return nil
	}
	return slices.DeleteFunc(v.Events, func(e explanationView) bool { return e.Event != "lost" && e.Event != "gone" })
}

type silentView struct {
	Entry string `json:"entry"`
	Why   string `json:"why"`
}

type explanationView struct {
	Time     time.Time `json:"time"`
	Position uint64    `json:"position"`
	Actor    string    `json:"actor"`
	Event    string    `json:"event"`
	Subject  string    `json:"subject"`
	Grounds  string    `json:"grounds"`
	Counted  bool      `json:"counted"`
}

func explain(ctx context.Context, c *cli.Command, subject string) (explainView, error) {
	v := explainView{Subject: subject, Events: []explanationView{}, Silent: []silentView{}}
	entries := c.StringSlice("entry")
	for _, a := range entries {
		actx, cancel := context.WithTimeout(ctx, askTimeout)
		resp, err := operatorv1connect.NewOperatorQueriesClient(httpClient(c), scheme(c)+a).
			Explain(actx, connect.NewRequest(&operatorv1.ExplainRequest{Subject: v.Subject, Limit: uint32(c.Int("limit"))}))
		cancel()
		if err != nil {
			v.Silent = append(v.Silent, silentView{a, err.Error()})
			continue
		}
		for _, e := range resp.Msg.GetExplanations() {
			v.add(e)
		}
	}
	if len(v.Silent) == len(entries) {
		return v, errors.Newf("no entry instance could be asked: %s; are they up, and are these operator addresses?", v.Silent[0].Why)
	}
	slices.SortStableFunc(v.Events, func(a, b explanationView) int { return a.Time.Compare(b.Time) })
	return v, nil
}

// add adds an event, unless another instance has told the same one of the log.
func (v *explainView) add(e *operatorv1.Explanation) {
	n := explanationView{
		time.UnixMilli(e.GetUnixMs()).UTC(), e.GetPosition(), e.GetActor(), e.GetEvent(), e.GetSubject(), e.GetGrounds(), e.GetCounted(),
	}
	same := slices.ContainsFunc(v.Events, func(o explanationView) bool {
		return o.Position > 0 && o.Position == n.Position && o.Event == n.Event && o.Subject == n.Subject
	})
	if !same {
		v.Events = append(v.Events, n)
	}
}

func (v explainView) print() {
	for i := 0; i < len(v.Events); {
		n := alike(v.Events[i:])
		v.Events[i].print(n)
		i += n
	}
	if len(v.Events) == 0 {
		fmt.Printf("nobody who was asked remembers %q; an entry instance remembers what it saw since its start, in bounded memory\n", v.Subject)
	}
	for _, s := range v.Silent {
		fmt.Printf("not asked: %s (%s); what only it saw is missing\n", s.Entry, s.Why)
	}
	for _, e := range v.Lost {
		e.print(1)
	}
}

// alike returns how many events at the beginning say the same.
func alike(events []explanationView) int {
	n := 1
	for n < len(events) && events[n].text() == events[0].text() {
		n++
	}
	return n
}

func (e explanationView) text() string {
	return fmt.Sprintf("%s: %s %s: %s", e.Actor, e.Event, e.Subject, cmp.Or(e.Grounds, "no grounds given"))
}

func (e explanationView) print(times int) {
	where := "not logged"
	if e.Position > 0 {
		where = fmt.Sprintf("log %d", e.Position)
	}
	again := ""
	if times > 1 {
		again = fmt.Sprintf(" (%d times)", times)
	}
	fmt.Printf("%s  %-11s %s%s\n", e.Time.Format("15:04:05.000"), where, e.text(), again)
}
