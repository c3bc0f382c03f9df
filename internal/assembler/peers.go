package assembler

import (
	"context"
	"math/rand/v2"

	"github.com/primrosedrift/primrosedrift/internal/linkwatcher"
	"github.com/primrosedrift/primrosedrift/internal/relayer"
	peerv1 "github.com/primrosedrift/primrosedrift/pkg/api/peer/v1"
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

// peersToHandOn returns the peers that reach the upstreams, in a random order, those of this
// data centre first.
func (a *Assembler) peersToHandOn() []relayer.Peer {
	var local, others []relayer.Peer
	for _, m := range a.client.Members() {
		switch {
		case m.GetInstance() == a.Instance || m.GetIsStopping() || m.GetIsCutOff():
		case m.GetDataCentre() == a.DataCentre:
			local = append(local, peerOf(m))
		default:
			others = append(others, peerOf(m))
		}
	}
	for _, list := range [][]relayer.Peer{local, others} {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	return append(local, others...)
}

func peerOf(m *peerv1.Member) relayer.Peer {
	return relayer.Peer{Address: m.GetPeerAddress(), KnowsAccounts: m.GetKnowsAccounts()}
}

// maxSavers is the number of instances that save what others have observed after a restore of the log.
const maxSavers = 3

// maySaveForOthers reports whether this instance is one of the first maxSavers live ones by name.
func (a *Assembler) maySaveForOthers() bool {
	numBefore := 0
	for _, m := range a.client.Members() {
		if m.GetInstance() < a.Instance && !m.GetIsStopping() {
			numBefore++
		}
	}
	return numBefore < maxSavers
}

// peerNamed returns a peer that shares upstreams by the name of its instance.
func (a *Assembler) peerNamed(instance string) (relayer.Peer, bool) {
	for _, m := range a.client.Sharers() {
		if m.GetInstance() == instance {
			return peerOf(m), true
		}
	}
	return relayer.Peer{}, false
}
