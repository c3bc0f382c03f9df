package main

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/primrosedrift/primrosedrift/internal/applier"
	"github.com/primrosedrift/primrosedrift/internal/publisher"
	operatorv1 "github.com/primrosedrift/primrosedrift/pkg/api/operator/v1"
	"github.com/primrosedrift/primrosedrift/pkg/api/operator/v1/operatorv1connect"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

func getCommand() *cli.Command {
	return &cli.Command{
		Name: "get", Usage: "show what is in force, and which replica is where",
		Flags: []cli.Flag{operatorFlag(), outputFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			resp, err := operatorv1connect.NewOperatorQueriesClient(httpClient(c), operatorURL(c)).
				Get(ctx, connect.NewRequest(&operatorv1.GetRequest{}))
			if err != nil {
				return errors.Wrap(err, "get; is the entry instance up, and is this its operator address?")
			}
			v := newGetView(resp.Msg)
			if c.String("output") == "json" {
				return printJSON(v)
			}
			v.print()
			return nil
		},
	}
}

type getView struct {
	Instance string        `json:"instance"`
	Version  uint64        `json:"version"`
	Offset   uint64        `json:"next-offset"`
	Objects  []objectView  `json:"objects"`
	Replicas []replicaView `json:"replicas"`
	Shards   []shardView   `json:"shards"`
}

type objectView struct {
	Kind   string         `json:"kind"`
	Name   string         `json:"name"`
	Values map[string]any `json:"values"`
}

type replicaView struct {
	ID       string   `json:"id"`
	Model    string   `json:"model"`
	Upstream string   `json:"upstream"`
	State    string   `json:"state"`
	Bytes    uint64   `json:"memory-bytes"`
	Adapters []string `json:"adapters"`
	Reason   string   `json:"reason"`
	Position uint64   `json:"position"`
}

type shardView struct {
	Shard    uint32 `json:"shard"`
	Claim    uint64 `json:"claim"`
	Instance string `json:"instance"`
	// Unsettled holds the claims of earlier holders whose orders may still arrive.
	Unsettled []uint64 `json:"unsettled-claims"`
}

func newGetView(m *operatorv1.GetResponse) getView {
	v := getView{
		Instance: m.GetInstance(), Version: m.GetVersion(), Offset: m.GetNextOffset(),
		Objects: []objectView{}, Replicas: []replicaView{}, Shards: []shardView{},
	}
	for _, o := range m.GetObjects() {
		v.Objects = append(v.Objects, newObjectView(o))
	}
	for _, r := range m.GetReplicas() {
		v.Replicas = append(v.Replicas, replicaView{
			r.GetId(), r.GetModel(), r.GetUpstream(), r.GetState(), r.GetMemoryBytes(), r.GetAdapters(), r.GetReason(), r.GetPosition(),
		})
	}
	for _, s := range m.GetShards() {
		v.Shards = append(v.Shards, shardView{s.GetShard(), s.GetClaim(), s.GetInstance(), s.GetUnsettled()})
	}
	return v
}

func newObjectView(o *recordv1.ConfigObject) objectView {
	v := objectView{Kind: publisher.KindName(o), Name: applier.ObjectKey(o).GetName(), Values: make(map[string]any)}
	for _, f := range publisher.Fields(o) {
		v.Values[f.Name] = f.Value
	}
	return v
}

func (v getView) print() {
	fmt.Printf("%s: version %d in force, next log offset %d\n", v.Instance, v.Version, v.Offset)
	counts := make(map[string]int)
	for _, o := range v.Objects {
		counts[o.Kind]++
	}
	fmt.Printf("%d contracts, %d models, %d adapters, %d upstreams\n", counts["contract"], counts["model"], counts["adapter"], counts["upstream"])
	for _, r := range v.Replicas {
		fmt.Printf("%-10s %-24s on %-16s %s, log %d: %s", r.State, r.Model, r.Upstream, r.ID, r.Position, r.Reason)
		if len(r.Adapters) > 0 {
			fmt.Printf(" (adapters %s)", strings.Join(r.Adapters, ", "))
		}
		fmt.Println()
	}
	if len(v.Replicas) == 0 {
		fmt.Println("no replica is decided")
	}
	holders := make(map[string]int)
	unsettled := 0
	for _, s := range v.Shards {
		holders[s.Instance]++
		unsettled += len(s.Unsettled)
	}
	for _, name := range slices.Sorted(maps.Keys(holders)) {
		fmt.Printf("%d shards held by %s\n", holders[name], holderName(name))
	}
	if unsettled > 0 {
		fmt.Printf("%d earlier holders are not settled: their memory stays reserved until they are\n", unsettled)
	}
}

func holderName(name string) string {
	if name == "" {
		return "nobody"
	}
	return name
}
