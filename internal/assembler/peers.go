package assembler

import (
	"context"
	"math/rand/v2"

	"github.com/primrosedrift/primrosedrift/internal/linkwatcher"
)

// wireLinks creates the component that watches the links to the upstreams.
func (a *Assembler) wireLinks() {
	a.links = &linkwatcher.Watcher{
		Addresses: func() []string {
			var out []string
			for _, u := range a.upstreamTable.Snapshot().ByID {
				out = append(out, u.Address)
			}
			return out
		},
		Dial:     func(ctx context.Context, address string) error { return a.pool.TryConnect(ctx, address) },
		OnChange: func(bool) { a.client.ReportNow() },
		Log:      a.Log.Named("linkwatcher"),
	}
}

// peersToHandOn returns the addresses of the peers that reach the upstreams, in a random order,
// those of this data centre first.
func (a *Assembler) peersToHandOn() []string {
	var local, others []string
	for _, m := range a.client.Members() {
		switch {
		case m.GetInstance() == a.Instance || m.GetIsStopping() || m.GetIsCutOff():
		case m.GetDataCentre() == a.DataCentre:
			local = append(local, m.GetPeerAddress())
		default:
			others = append(others, m.GetPeerAddress())
		}
	}
	for _, list := range [][]string{local, others} {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	return append(local, others...)
}

// peerAddress returns the address of a live peer.
func (a *Assembler) peerAddress(instance string) (string, bool) {
	for _, m := range a.client.Members() {
		if m.GetInstance() == instance {
			return m.GetPeerAddress(), true
		}
	}
	return "", false
}
