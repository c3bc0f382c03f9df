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

// queryTimeout bounds one query to one entry instance.
const queryTimeout = 5 * time.Second

func operatorsFlag() cli.Flag {
	return &cli.StringSliceFlag{Name: "entry", Usage: "operator address of an entry instance, as host:port; give all of them", Required: true}
}

func explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", ArgsUsage: "SUBJECT",
		Usage: "show what happened to a model, adapter, replica, upstream, customer, request key, request id or entry instance, who decided it, and why",
		Flags: []cli.Flag{operatorsFlag(), outputFlag(), &cli.IntFlag{Name: "limit", Usage: "maximum number of decisions, and of ended requests, to show; the newest are kept", Value: 50}},
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return exitError{exitUsage, errors.New("explain needs one subject, such as a model's name or a request id")}
			}
			v, err := explain(ctx, c, c.Args().First())
			if err != nil {
				return err
			}
			if len(v.Events) == 0 && len(v.Unresponsive) > 0 {
				v.LostEntries = lostEvents(ctx, c)
			}
			if c.String("output") == "json" {
				return printJSON(v)
			}
			v.print()
			return nil
		},
	}
}

// explainView holds the events that entry instances report for a subject.
type explainView struct {
	Subject string            `json:"subject"`
	Events  []explanationView `json:"events"`
	// Unresponsive holds the entry instances that did not respond.
	Unresponsive []unresponsiveView `json:"not-asked"`
	// LostEntries holds the events of lost entry instances. It is set only if no
	// instance that responded knows the subject and some did not respond.
	LostEntries []explanationView `json:"lost-entries,omitempty"`
}

// membersSubject is the subject of every membership change.
const membersSubject = "members"

// lostEvents returns the events of entry instances that were lost or are gone.
// One of them may have handled a request that no other instance knows.
func lostEvents(ctx context.Context, c *cli.Command) []explanationView {
	v, err := explain(ctx, c, membersSubject)
	if err != nil {
		return nil
	}
	return slices.DeleteFunc(v.Events, func(e explanationView) bool { return e.Event != "lost" && e.Event != "gone" })
}

// unresponsiveView is an entry instance that did not respond.
type unresponsiveView struct {
	Entry string `json:"entry"`
	Error string `json:"why"`
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
	v := explainView{Subject: subject, Events: []explanationView{}, Unresponsive: []unresponsiveView{}}
	entries := c.StringSlice("entry")
	for _, a := range entries {
		actx, cancel := context.WithTimeout(ctx, queryTimeout)
		resp, err := operatorv1connect.NewOperatorQueriesClient(httpClient(c), scheme(c)+a).
			Explain(actx, connect.NewRequest(&operatorv1.ExplainRequest{Subject: v.Subject, Limit: uint32(c.Int("limit"))}))
		cancel()
		if err != nil {
			v.Unresponsive = append(v.Unresponsive, unresponsiveView{a, err.Error()})
			continue
		}
		for _, e := range resp.Msg.GetExplanations() {
			v.add(e)
		}
	}
	if len(v.Unresponsive) == len(entries) {
		return v, errors.Newf("no entry instance responded: %s; are they up, and are these operator addresses?", v.Unresponsive[0].Error)
	}
	slices.SortStableFunc(v.Events, func(a, b explanationView) int { return a.Time.Compare(b.Time) })
	return v, nil
}

// add adds an event, unless another instance has already reported the same log
// event.
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
		n := countRepeats(v.Events[i:])
		v.Events[i].print(n)
		i += n
	}
	if len(v.Events) == 0 {
		fmt.Printf("no entry instance that responded has events of %q; an instance keeps the events since its start, in bounded memory\n", v.Subject)
	}
	for _, s := range v.Unresponsive {
		fmt.Printf("not asked: %s (%s); events that only it has are missing\n", s.Entry, s.Error)
	}
	for _, e := range v.LostEntries {
		e.print(1)
	}
}

// countRepeats returns the number of leading events that have the same text.
func countRepeats(events []explanationView) int {
	n := 1
	for n < len(events) && events[n].text() == events[0].text() {
		n++
	}
	return n
}

func (e explanationView) text() string {
	return fmt.Sprintf("%s: %s %s: %s", e.Actor, e.Event, e.Subject, cmp.Or(e.Grounds, "no grounds given"))
}

func (e explanationView) print(count int) {
	where := "not logged"
	if e.Position > 0 {
		where = fmt.Sprintf("log %d", e.Position)
	}
	suffix := ""
	if count > 1 {
		suffix = fmt.Sprintf(" (%d times)", count)
	}
	fmt.Printf("%s  %-11s %s%s\n", e.Time.Format("15:04:05.000"), where, e.text(), suffix)
}
