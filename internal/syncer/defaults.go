package syncer

import (
	"time"

	peerv1 "github.com/primrosedrift/primrosedrift/pkg/api/peer/v1"
)

// savedDefaults returns the default software versions that are saved, if this instance maintains them.
func (s *Server) savedDefaults() (map[string]map[string]string, bool) {
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
	if defaults, age, ok := s.Followed.Known(now); ok {
		// Rounded up, so that they do not count as newer than they are.
		out.HasDefaults, out.Defaults, out.DefaultsAgeMs = true, encodeDefaults(defaults), milliseconds(age)+1
	}
}

// applyFollowedDefaults applies the default versions that a peer follows.
func (c *Client) applyFollowedDefaults(v *peerv1.WatchResponse, now time.Time) {
	if c.Defaults != nil && v.GetHasDefaults() && !v.GetIsConductor() {
		c.Defaults.Update(decodeDefaults(v.GetDefaults()), now.Add(-time.Duration(v.GetDefaultsAgeMs())*time.Millisecond))
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

func encodeDefaults(defaults map[string]map[string]string) []*peerv1.DefaultVersion {
	var out []*peerv1.DefaultVersion
	for service, versions := range defaults {
		for model, software := range versions {
			out = append(out, &peerv1.DefaultVersion{Service: service, Model: model, Software: software})
		}
	}
	return out
}

func decodeDefaults(list []*peerv1.DefaultVersion) map[string]map[string]string {
	out := make(map[string]map[string]string)
	for _, d := range list {
		if out[d.GetService()] == nil {
			out[d.GetService()] = make(map[string]string)
		}
		out[d.GetService()][d.GetModel()] = d.GetSoftware()
	}
	return out
}
