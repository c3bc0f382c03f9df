package applier

import (
	"slices"
	"strings"

	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

// Config is the configuration in force. Its messages are not modified in place;
// a change replaces them.
type Config struct {
	Version   uint64
	Contracts map[string]*recordv1.Contract
	Models    map[string]*recordv1.Model
	Adapters  map[string]*recordv1.Adapter
	Upstreams map[string]*recordv1.Upstream
	Policy    *recordv1.Policy
}

// apply applies a configuration change and returns the reason if it does not count.
func (c *Config) apply(change *recordv1.ConfigChange, at Position) string {
	if change.GetBaseVersion() != c.Version {
		return "base version is not in force"
	}
	for _, o := range change.GetUpserts() {
		if name := ObjectKey(o); name.GetName() == "" {
			return "object without a name"
		}
	}
	for _, o := range change.GetUpserts() {
		c.upsert(o)
	}
	for _, k := range change.GetDeletes() {
		c.delete(k)
	}
	c.Version = uint64(at)
	return ""
}

func (c *Config) upsert(o *recordv1.ConfigObject) {
	switch v := o.GetObject().(type) {
	case *recordv1.ConfigObject_Contract:
		put(&c.Contracts, v.Contract.GetCustomer(), v.Contract)
	case *recordv1.ConfigObject_Model:
		put(&c.Models, v.Model.GetName(), v.Model)
	case *recordv1.ConfigObject_Adapter:
		put(&c.Adapters, v.Adapter.GetName(), v.Adapter)
	case *recordv1.ConfigObject_Upstream:
		put(&c.Upstreams, v.Upstream.GetName(), v.Upstream)
	case *recordv1.ConfigObject_Policy:
		c.Policy = v.Policy
	}
}

func (c *Config) delete(k *recordv1.ConfigKey) {
	switch k.GetKind() {
	case recordv1.ConfigKind_CONFIG_KIND_CONTRACT:
		delete(c.Contracts, k.GetName())
	case recordv1.ConfigKind_CONFIG_KIND_MODEL:
		delete(c.Models, k.GetName())
	case recordv1.ConfigKind_CONFIG_KIND_ADAPTER:
		delete(c.Adapters, k.GetName())
	case recordv1.ConfigKind_CONFIG_KIND_UPSTREAM:
		delete(c.Upstreams, k.GetName())
	case recordv1.ConfigKind_CONFIG_KIND_POLICY:
		c.Policy = nil
	}
}

func put[K comparable, V any](m *map[K]V, k K, v V) {
	if *m == nil {
		*m = make(map[K]V)
	}
	(*m)[k] = v
}

// policyName is the name of the policy object, of which there is one.
const policyName = "policy"

// ObjectKey returns the kind and name of a configuration object.
func ObjectKey(o *recordv1.ConfigObject) *recordv1.ConfigKey {
	switch v := o.GetObject().(type) {
	case *recordv1.ConfigObject_Contract:
		return &recordv1.ConfigKey{Kind: recordv1.ConfigKind_CONFIG_KIND_CONTRACT, Name: v.Contract.GetCustomer()}
	case *recordv1.ConfigObject_Model:
		return &recordv1.ConfigKey{Kind: recordv1.ConfigKind_CONFIG_KIND_MODEL, Name: v.Model.GetName()}
	case *recordv1.ConfigObject_Adapter:
		return &recordv1.ConfigKey{Kind: recordv1.ConfigKind_CONFIG_KIND_ADAPTER, Name: v.Adapter.GetName()}
	case *recordv1.ConfigObject_Upstream:
		return &recordv1.ConfigKey{Kind: recordv1.ConfigKind_CONFIG_KIND_UPSTREAM, Name: v.Upstream.GetName()}
	case *recordv1.ConfigObject_Policy:
		return &recordv1.ConfigKey{Kind: recordv1.ConfigKind_CONFIG_KIND_POLICY, Name: policyName}
	}
	return &recordv1.ConfigKey{}
}

// Objects returns all objects in force, sorted by kind and name.
func (c *Config) Objects() []*recordv1.ConfigObject {
	var out []*recordv1.ConfigObject
	for _, v := range c.Contracts {
		out = append(out, &recordv1.ConfigObject{Object: &recordv1.ConfigObject_Contract{Contract: v}})
	}
	for _, v := range c.Models {
		out = append(out, &recordv1.ConfigObject{Object: &recordv1.ConfigObject_Model{Model: v}})
	}
	for _, v := range c.Adapters {
		out = append(out, &recordv1.ConfigObject{Object: &recordv1.ConfigObject_Adapter{Adapter: v}})
	}
	for _, v := range c.Upstreams {
		out = append(out, &recordv1.ConfigObject{Object: &recordv1.ConfigObject_Upstream{Upstream: v}})
	}
	if c.Policy != nil {
		out = append(out, &recordv1.ConfigObject{Object: &recordv1.ConfigObject_Policy{Policy: c.Policy}})
	}
	slices.SortFunc(out, func(a, b *recordv1.ConfigObject) int {
		ka, kb := ObjectKey(a), ObjectKey(b)
		if ka.GetKind() != kb.GetKind() {
			return int(ka.GetKind()) - int(kb.GetKind())
		}
		return strings.Compare(ka.GetName(), kb.GetName())
	})
	return out
}
