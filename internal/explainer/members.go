package explainer

import (
	"slices"

	operatorv1 "github.com/primrosedrift/primrosedrift/pkg/api/operator/v1"
)

// Member is the state of an entry instance as seen by another one.
type Member struct {
	Name        string
	Incarnation string
	// Addresses are the addresses for callers and peers.
	Addresses []string
	// IsUsable is true if the instance responds and is not leaving.
	IsUsable bool
	// IsLeaving is true during a planned stop.
	IsLeaving bool
}

// Membership adds the changes of the membership to an Explainer. It is not safe for
// concurrent use.
type Membership struct {
	Explainer *Explainer
	// Instance is the name of the instance that observes the changes.
	Instance string

	last map[string]Member // of the last update, by name
}

// Update compares the members with those of the last update and adds an event for
// each change.
func (m *Membership) Update(members []Member) {
	now := make(map[string]Member, len(members))
	for _, v := range members {
		now[v.Name] = v
		m.Explainer.cacheInstance(v.Incarnation, v.Name)
		if event, grounds := describeChange(m.last[v.Name], v); event != "" {
			m.add(v, event, grounds)
		}
	}
	for name, v := range m.last {
		if _, ok := now[name]; !ok && v.IsUsable {
			m.add(v, "gone", groundsLost)
		}
	}
	m.last = now
}

const groundsLost = "it does not answer: a request that it had at that moment was cut, so its verdict is may-have-run, " +
	"unless an answer had come before; what was agreed for a key stands in the log and is found under the key"

// describeChange returns the event and the grounds of a change of a member. Both are
// empty if the states do not differ in a way that is explained.
func describeChange(was, is Member) (event, grounds string) {
	switch {
	case was.Incarnation != "" && was.Incarnation != is.Incarnation:
		return "restarted", "it answers with a new incarnation; its earlier one ended and holds nothing"
	case is.IsUsable && !was.IsUsable:
		return "in use", "it answers and is not leaving"
	case was.IsUsable && is.IsLeaving:
		return "leaving", "planned stop: it gets no new callers and finishes what it has"
	case was.IsUsable && !is.IsUsable:
		return "lost", groundsLost
	}
	return "", ""
}

func (m *Membership) add(v Member, event, grounds string) {
	subjects := append([]string{v.Name, v.Incarnation, "members"}, v.Addresses...)
	m.Explainer.AddEvent(&operatorv1.Explanation{
		Actor: m.Instance, Event: event, Subject: v.Name, Grounds: grounds, Counted: true,
	}, slices.Clip(subjects)...)
}
