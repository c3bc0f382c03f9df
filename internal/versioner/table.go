package versioner

import (
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
)

// Table holds the default versions of a service. It is immutable.
type Table struct {
	// Versions holds, by model, the default version and then the former ones. The model "" stands for
	// all that are not listed.
	Versions map[string][]string
	// IsTrusted says that a stream without a record began at the default version.
	IsTrusted bool
	// Era is the era of the log in which the table was saved.
	Era int64
	// Revision increases with each change of a default version, also over eras of the log. It is 0 in tables of
	// earlier builds.
	Revision int64
}

// Defaults are the default versions of a service.
type Defaults struct {
	Versions map[string]string // by model
	Revision int64
}

// Replicas is the number of upstreams by model and software version. The model "" stands for the
// upstreams themselves.
type Replicas map[string]map[string]int

// Add adds an upstream of a version that holds a model.
func (r Replicas) Add(model, version string) {
	if r[model] == nil {
		r[model] = make(map[string]int)
	}
	r[model][version]++
}

// NewTable returns the table of a service for which none is saved. It has no former versions: it is trusted
// only once no stream from before can be taken up.
func NewTable(r Replicas, era int64) Table {
	t := Table{Era: era}.Next(r)
	for model := range t.Versions {
		t = t.withVersions(model, t.Versions[model][:1])
	}
	return t
}

func (t Table) versions(model string) []string {
	if list, ok := t.Versions[model]; ok {
		return list
	}
	return t.Versions[""]
}

// Default returns the default version of a model.
func (t Table) Default(model string) (string, bool) {
	list := t.versions(model)
	if len(list) == 0 {
		return "", false
	}
	return list[0], true
}

// Origin returns the version at which a stream without a record began. era is the present one of the log.
// The error says why that is not known.
func (t Table) Origin(model string, era int64) (string, error) {
	list := t.versions(model)
	switch {
	case len(list) == 0:
		return "", errors.New("no default version")
	case !t.IsTrusted:
		return "", errors.New("the default versions are not trusted")
	case t.Era != era:
		return "", errors.Newf("the default versions are of era %d, the log is of era %d", t.Era, era)
	case len(list) > 1:
		return "", errors.Newf("the default version has changed: %v", list)
	}
	return list[0], nil
}

// Next returns the table after upstreams have changed: a default version that no upstream with the model has
// is replaced by the one that most of them have.
func (t Table) Next(r Replicas) Table {
	for _, model := range slices.Sorted(maps.Keys(r)) {
		current, ok := t.Default(model)
		if most, has := mostOf(r[model]); has && (!ok || r[model][current] == 0) {
			t = t.withDefault(model, most)
		}
	}
	return t
}

// mostOf returns the version with the most upstreams.
func mostOf(counts map[string]int) (most string, ok bool) {
	for _, v := range slices.Sorted(maps.Keys(counts)) {
		if counts[v] > 0 && (!ok || counts[v] > counts[most]) {
			most, ok = v, true
		}
	}
	return most, ok
}

func (t Table) withDefault(model, version string) Table {
	list := []string{version}
	for _, v := range t.versions(model) {
		if v != version {
			list = append(list, v)
		}
	}
	return t.withVersions(model, list)
}

// WithoutFormer returns the table without a former version of a model.
func (t Table) WithoutFormer(model, version string) Table {
	list := slices.Clone(t.Versions[model])
	if i := slices.Index(list, version); i > 0 {
		list = slices.Delete(list, i, i+1)
	}
	return t.withVersions(model, list)
}

func (t Table) withVersions(model string, list []string) Table {
	t.Versions = maps.Clone(t.Versions)
	if t.Versions == nil {
		t.Versions = make(map[string][]string)
	}
	t.Versions[model] = list
	return t
}

// WithRevisionAfter returns the table with the revision that it has as the successor of another one.
func (t Table) WithRevisionAfter(former Table) Table {
	t.Revision = max(former.Revision, t.Era<<revisionBits)
	if t.Revision == 0 || !maps.Equal(t.Defaults().Versions, former.Defaults().Versions) {
		t.Revision++
	}
	return t
}

// revisionBits is the number of bits of a revision that count the changes within an era.
const revisionBits = 32

// HasFormer reports whether a stream without a record may have begun at a former default version.
func (t Table) HasFormer() bool {
	for _, list := range t.Versions {
		if len(list) > 1 {
			return true
		}
	}
	return false
}

// WithoutFormers returns the table without its former versions.
func (t Table) WithoutFormers() Table {
	for model, list := range t.Versions {
		t = t.withVersions(model, list[:min(1, len(list))])
	}
	return t
}

// WithTrust returns the table as it is to be saved in an era.
func (t Table) WithTrust(isTrusted bool, era int64) Table {
	t.IsTrusted, t.Era = isTrusted, era
	return t
}

// Equal reports whether two tables say the same.
func (t Table) Equal(o Table) bool {
	return t.IsTrusted == o.IsTrusted && t.Era == o.Era && t.Revision == o.Revision && maps.EqualFunc(t.Versions, o.Versions, slices.Equal)
}

// Defaults returns the default versions.
func (t Table) Defaults() Defaults {
	out := make(map[string]string, len(t.Versions))
	for model, list := range t.Versions {
		if len(list) > 0 {
			out[model] = list[0]
		}
	}
	return Defaults{out, t.Revision}
}
