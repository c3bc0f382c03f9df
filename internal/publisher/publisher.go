// Package publisher reads the operators' file and computes the configuration
// change that it requests.
//
// The file holds contracts, models, adapters, upstreams and the policy. It
// describes the complete desired configuration: an object that differs from the
// one in force becomes an upsert. An object that is in force but not in the file
// is deleted only if the operator requests pruning.
package publisher

import (
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/primrosedrift/primrosedrift/internal/applier"
	"github.com/primrosedrift/primrosedrift/internal/settings"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

// File is the decoded operators' file. Error messages of the TOML decoder contain
// the names of the types and fields.
type File struct {
	Policy    *Policy    `toml:"policy"`
	Contracts []Contract `toml:"contracts"`
	Models    []Model    `toml:"models"`
	Adapters  []Adapter  `toml:"adapters"`
	Upstreams []Upstream `toml:"upstreams"`
}

// Policy holds how much cold starts and idle replicas weigh in the placement, the
// limits on loads, and the maximum number of entry instances.
type Policy struct {
	ColdStartWeight      float64 `toml:"cold-start-weight"`
	IdleWeight           float64 `toml:"idle-weight"`
	StoreLoadsPerSecond  float64 `toml:"store-loads-per-second"`
	StoreConcurrentLoads uint32  `toml:"store-concurrent-loads"`
	AdapterLoadsInFlight uint32  `toml:"adapter-loads-in-flight"`
	MaxEntries           uint32  `toml:"max-entries"`
}

// Contract limits the resources that one customer may use.
type Contract struct {
	Customer          string            `toml:"customer"`
	Replicas          uint32            `toml:"replicas"`
	Memory            Bytes             `toml:"memory"`
	WaitingTime       settings.Duration `toml:"waiting-time"`
	Concurrency       uint32            `toml:"concurrency"`
	RequestsPerSecond float64           `toml:"requests-per-second"`
	Class             Class             `toml:"class"`
	// NeverTwice lists the methods that are not idempotent.
	NeverTwice []string `toml:"never-twice"`
	Weight     float64  `toml:"weight"`
}

// Model is a model of a customer.
type Model struct {
	Name        string `toml:"name"`
	Customer    string `toml:"customer"`
	Memory      Bytes  `toml:"memory"`
	Checkpoint  string `toml:"checkpoint"`
	Version     string `toml:"version"`
	MaxReplicas uint32 `toml:"max-replicas"`
	Class       Class  `toml:"class"`
}

// Adapter is an adapter on a model.
type Adapter struct {
	Name     string `toml:"name"`
	Model    string `toml:"model"`
	Customer string `toml:"customer"`
}

// Upstream is an inference engine, or a plain service if Service is set.
type Upstream struct {
	Name          string `toml:"name"`
	Address       string `toml:"address"`
	DataCentre    string `toml:"data-centre"`
	Service       string `toml:"service"`
	Memory        Bytes  `toml:"memory"`
	Slots         uint32 `toml:"slots"`
	ChecksFencing bool   `toml:"checks-fencing"`
}

// Bytes is a size in bytes. Its text form has a unit, such as 80GiB.
type Bytes uint64

var byteUnits = []struct {
	suffix string
	size   uint64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"TiB", 1 << 40}, {"B", 1}}

// UnmarshalText parses a size.
func (b *Bytes) UnmarshalText(text []byte) error {
	for _, u := range byteUnits {
		if num, ok := strings.CutSuffix(string(text), u.suffix); ok {
			n, err := strconv.ParseUint(strings.TrimSpace(num), 10, 64)
			if err != nil || n > (1<<63)/u.size {
				break
			}
			*b = Bytes(n * u.size)
			return nil
		}
	}
	return errors.Newf("%q is not a size such as 80GiB", text)
}

// Class is a request class. Its text form is urgent, interactive or batch.
type Class recordv1.RequestClass

var classes = map[string]recordv1.RequestClass{
	"urgent":      recordv1.RequestClass_REQUEST_CLASS_URGENT,
	"interactive": recordv1.RequestClass_REQUEST_CLASS_INTERACTIVE,
	"batch":       recordv1.RequestClass_REQUEST_CLASS_BATCH,
}

// UnmarshalText parses a class.
func (c *Class) UnmarshalText(text []byte) error {
	v, ok := classes[string(text)]
	if !ok {
		return errors.Newf("%q is not urgent, interactive or batch", text)
	}
	*c = Class(v)
	return nil
}

// Load reads, parses and checks an operators' file. The error of an invalid file is
// a settings.Faults.
func Load(file string) (File, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return File{}, errors.Wrap(err, "read operators' file")
	}
	return Parse(file, data)
}

// Parse parses and checks the contents of an operators' file. The error is a
// settings.Faults.
func Parse(file string, data []byte) (File, error) {
	var f File
	c := settings.Checker{File: file}
	c.Decode(data, &f)
	f.check(c.Add)
	if err := c.Err(); err != nil {
		return File{}, err
	}
	return f, nil
}

// Objects returns the file's configuration objects.
func (f File) Objects() []*recordv1.ConfigObject {
	var out []*recordv1.ConfigObject
	if p := f.Policy; p != nil {
		out = append(out, &recordv1.ConfigObject{Object: &recordv1.ConfigObject_Policy{Policy: &recordv1.Policy{
			ColdStartWeight: p.ColdStartWeight, IdleWeight: p.IdleWeight,
			StoreLoadsPerSecond: p.StoreLoadsPerSecond, StoreConcurrentLoads: p.StoreConcurrentLoads,
			AdapterLoadsInFlight: p.AdapterLoadsInFlight, MaxEntries: p.MaxEntries,
		}}})
	}
	for _, c := range f.Contracts {
		out = append(out, &recordv1.ConfigObject{Object: &recordv1.ConfigObject_Contract{Contract: &recordv1.Contract{
			Customer: c.Customer, Replicas: c.Replicas, MemoryBytes: uint64(c.Memory),
			WaitingTimeMs: uint32(c.WaitingTime.Milliseconds()), Concurrency: c.Concurrency,
			RequestsPerSecond: c.RequestsPerSecond, Class: recordv1.RequestClass(c.Class),
			NeverTwice: c.NeverTwice, Weight: c.Weight,
		}}})
	}
	for _, m := range f.Models {
		out = append(out, &recordv1.ConfigObject{Object: &recordv1.ConfigObject_Model{Model: &recordv1.Model{
			Name: m.Name, Customer: m.Customer, MemoryBytes: uint64(m.Memory), Checkpoint: m.Checkpoint,
			Version: m.Version, MaxReplicas: m.MaxReplicas, Class: recordv1.RequestClass(m.Class),
		}}})
	}
	for _, a := range f.Adapters {
		out = append(out, &recordv1.ConfigObject{Object: &recordv1.ConfigObject_Adapter{Adapter: &recordv1.Adapter{
			Name: a.Name, Model: a.Model, Customer: a.Customer,
		}}})
	}
	for _, u := range f.Upstreams {
		kind := recordv1.UpstreamKind_UPSTREAM_KIND_ENGINE
		if u.Service != "" {
			kind = recordv1.UpstreamKind_UPSTREAM_KIND_SERVICE
		}
		out = append(out, &recordv1.ConfigObject{Object: &recordv1.ConfigObject_Upstream{Upstream: &recordv1.Upstream{
			Name: u.Name, Address: u.Address, DataCentre: u.DataCentre, Kind: kind, MemoryBytes: uint64(u.Memory),
			Slots: u.Slots, ChecksFencing: u.ChecksFencing, Service: u.Service,
		}}})
	}
	return out
}

// Change is the difference between the objects in force and those of a file.
type Change struct {
	// Replaced holds the objects in force that upserts replace, by kind and name.
	Replaced map[string]*recordv1.ConfigObject
	Upserts  []*recordv1.ConfigObject
	Deletes  []*recordv1.ConfigKey
}

// IsEmpty reports whether there are no upserts and no deletes.
func (c Change) IsEmpty() bool {
	return len(c.Upserts)+len(c.Deletes) == 0
}

// Lines returns a description of each upsert and delete, sorted.
func (c Change) Lines() []string {
	var out []string
	for _, o := range c.Upserts {
		out = append(out, changeLine(c.Replaced[keyText(applier.ObjectKey(o))], o))
	}
	for _, k := range c.Deletes {
		out = append(out, "delete "+keyText(k))
	}
	slices.Sort(out)
	return out
}

var kindNames = map[recordv1.ConfigKind]string{
	recordv1.ConfigKind_CONFIG_KIND_CONTRACT: "contract",
	recordv1.ConfigKind_CONFIG_KIND_MODEL:    "model",
	recordv1.ConfigKind_CONFIG_KIND_ADAPTER:  "adapter",
	recordv1.ConfigKind_CONFIG_KIND_UPSTREAM: "upstream",
	recordv1.ConfigKind_CONFIG_KIND_POLICY:   "policy",
}

// keyText returns the kind and the name of an object, separated by a space.
func keyText(k *recordv1.ConfigKey) string {
	return kindNames[k.GetKind()] + " " + k.GetName()
}

// Diff returns the change from the objects in force to the wanted ones. Objects in
// force that are not wanted are deleted only if prune is set.
func Diff(inForce, wanted []*recordv1.ConfigObject, prune bool) Change {
	c := Change{Replaced: make(map[string]*recordv1.ConfigObject)}
	remaining := make(map[string]*recordv1.ConfigObject)
	for _, o := range inForce {
		remaining[keyText(applier.ObjectKey(o))] = o
	}
	for _, o := range wanted {
		k := keyText(applier.ObjectKey(o))
		if !proto.Equal(remaining[k], o) {
			c.Upserts = append(c.Upserts, o)
			c.Replaced[k] = remaining[k]
		}
		delete(remaining, k)
	}
	if !prune {
		return c
	}
	for _, o := range inForce {
		k := applier.ObjectKey(o)
		if remaining[keyText(k)] != nil {
			c.Deletes = append(c.Deletes, k)
		}
	}
	return c
}
