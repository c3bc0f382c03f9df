package publisher

import (
	"fmt"
	"net"

	"github.com/primrosedrift/primrosedrift/internal/folder"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

// Apply returns the objects that are in force after a change.
func Apply(inForce []*recordv1.ConfigObject, c Change) []*recordv1.ConfigObject {
	changed := make(map[string]bool)
	for _, o := range c.Upserts {
		changed[keyText(folder.ObjectKey(o))] = true
	}
	for _, k := range c.Deletes {
		changed[keyText(k)] = true
	}
	var out []*recordv1.ConfigObject
	for _, o := range inForce {
		if !changed[keyText(folder.ObjectKey(o))] {
			out = append(out, o)
		}
	}
	deleted := make(map[string]bool)
	for _, k := range c.Deletes {
		deleted[keyText(k)] = true
	}
	for _, o := range c.Upserts {
		if !deleted[keyText(folder.ObjectKey(o))] {
			out = append(out, o)
		}
	}
	return out
}

// Check returns what is wrong with the objects that would be in force, as
// lines for the operator. An instance checks every change before it is written.
func Check(objects []*recordv1.ConfigObject) []string {
	c := objectChecker{customers: make(map[string]bool), models: make(map[string]bool), addresses: make(map[string]string)}
	for _, o := range objects {
		if v := o.GetContract(); v != nil {
			c.customers[v.GetCustomer()] = true
		}
		if v := o.GetModel(); v != nil {
			c.models[v.GetName()] = true
		}
	}
	for _, o := range objects {
		c.object(o)
	}
	return c.faults
}

type objectChecker struct {
	customers, models map[string]bool
	addresses         map[string]string
	faults            []string
}

func (c *objectChecker) addf(o *recordv1.ConfigObject, format string, args ...any) {
	c.faults = append(c.faults, keyText(folder.ObjectKey(o))+": "+fmt.Sprintf(format, args...))
}

func (c *objectChecker) object(o *recordv1.ConfigObject) {
	if folder.ObjectKey(o).GetName() == "" {
		c.addf(o, "needs a name")
	}
	switch v := o.GetObject().(type) {
	case *recordv1.ConfigObject_Contract:
		c.contract(o, v.Contract)
	case *recordv1.ConfigObject_Model:
		if !c.customers[v.Model.GetCustomer()] {
			c.addf(o, "customer %q has no contract", v.Model.GetCustomer())
		}
		if v.Model.GetMemoryBytes() == 0 {
			c.addf(o, "needs a memory above zero")
		}
	case *recordv1.ConfigObject_Adapter:
		if !c.models[v.Adapter.GetModel()] {
			c.addf(o, "there is no model %q", v.Adapter.GetModel())
		}
	case *recordv1.ConfigObject_Upstream:
		c.upstream(o, v.Upstream)
	case *recordv1.ConfigObject_Policy:
		for _, n := range []float64{v.Policy.GetColdStartWeight(), v.Policy.GetIdleWeight(), v.Policy.GetStoreLoadsPerSecond()} {
			c.number(o, n)
		}
	}
}

func (c *objectChecker) contract(o *recordv1.ConfigObject, v *recordv1.Contract) {
	if v.GetWaitingTimeMs() == 0 {
		c.addf(o, "needs a waiting-time above zero")
	}
	if v.GetConcurrency() == 0 {
		c.addf(o, "needs a concurrency above zero")
	}
	c.number(o, v.GetRequestsPerSecond())
	c.number(o, v.GetWeight())
}

func (c *objectChecker) upstream(o *recordv1.ConfigObject, v *recordv1.Upstream) {
	if _, _, err := net.SplitHostPort(v.GetAddress()); err != nil {
		c.addf(o, "needs an address as host:port")
	}
	if other := c.addresses[v.GetAddress()]; other != "" {
		c.addf(o, "has the address of upstream %s", other)
	}
	c.addresses[v.GetAddress()] = v.GetName()
	if v.GetKind() != recordv1.UpstreamKind_UPSTREAM_KIND_SERVICE && v.GetMemoryBytes() == 0 {
		c.addf(o, "needs a memory above zero, or a service")
	}
}

// number checks a rate or a weight.
func (c *objectChecker) number(o *recordv1.ConfigObject, n float64) {
	if !isFinite(n) {
		c.addf(o, "%v is not a number from zero up", n)
	}
}
