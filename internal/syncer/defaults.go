package syncer

import (
	"time"

	"github.com/primrosedrift/primrosedrift/internal/versioner"
	peerv1 "github.com/primrosedrift/primrosedrift/pkg/api/peer/v1"
)

// savedDefaults returns the default software versions that are saved, if this instance maintains them.
func (s *Server) savedDefaults() (map[string]versioner.Defaults, bool) {
	if s.Defaults == nil {
		return nil, false
	}
	return s.Defaults()
}

// addFollowedDefaults adds the default versions that this instance follows, for one that knows no conductor.
func (s *Server) addFollowedDefaults(out *peerv1.WatchResponse, now time.Time) {
	if s.Followed == nil {
		return
	}
	contactAge, hasContact := s.Followed.ContactAge(now)
	if !hasContact {
		return
	}
	if defaults, age, ok := s.Followed.Known(now); ok {
		// Rounded up, so that they do not count as newer than they are.
		out.HasDefaults, out.Defaults, out.DefaultsAgeMs = true, encodeDefaults(defaults), milliseconds(max(age, contactAge))+1
	}
}

// applyFollowedDefaults applies the default versions that a peer follows.
func (c *Client) applyFollowedDefaults(v *peerv1.WatchResponse, now time.Time) {
	if c.Defaults != nil && v.GetHasDefaults() && !v.GetIsConductor() {
		at := now.Add(-time.Duration(v.GetDefaultsAgeMs()) * time.Millisecond)
		c.Defaults.Update(decodeDefaults(v.GetDefaults()), at)
		c.Defaults.RecordContact(at)
	}
}

// applyDefaults applies the default software versions in a view.
func (c *Client) applyDefaults(v *peerv1.WatchResponse, at time.Time) {
	switch {
	case c.Defaults == nil:
	case v.GetHasDefaults():
		c.Defaults.Update(decodeDefaults(v.GetDefaults()), at)
	case v.GetBase() != 0 && c.defaultsFrom == v.GetIncarnation():
		c.Defaults.Confirm(at)
	}
	if v.GetHasDefaults() {
		c.defaultsFrom = v.GetIncarnation()
	} else if v.GetBase() == 0 {
		c.defaultsFrom = ""
	}
}

func encodeDefaults(defaults map[string]versioner.Defaults) []*peerv1.DefaultVersion {
	var out []*peerv1.DefaultVersion
	for service, d := range defaults {
		for model, software := range d.Versions {
			out = append(out, &peerv1.DefaultVersion{Service: service, Model: model, Software: software, Revision: d.Revision})
		}
	}
	return out
}

func decodeDefaults(list []*peerv1.DefaultVersion) map[string]versioner.Defaults {
	out := make(map[string]versioner.Defaults)
	for _, x := range list {
		d := out[x.GetService()]
		if d.Versions == nil {
			d = versioner.Defaults{Versions: make(map[string]string), Revision: x.GetRevision()}
			out[x.GetService()] = d
		}
		d.Versions[x.GetModel()] = x.GetSoftware()
	}
	return out
}

func encodeSettled(settled map[string]int64) []*peerv1.SettledDefaults {
	var out []*peerv1.SettledDefaults
	for service, revision := range settled {
		out = append(out, &peerv1.SettledDefaults{Service: service, Revision: revision})
	}
	return out
}

func decodeSettled(list []*peerv1.SettledDefaults) map[string]int64 {
	out := make(map[string]int64, len(list))
	for _, x := range list {
		out[x.GetService()] = x.GetRevision()
	}
	return out
}
