package publisher

import (
	"fmt"
	"net"

	"github.com/primrosedrift/primrosedrift/internal/applier"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

// Apply returns the objects that are in force after a change is applied.
func Apply(inForce []*recordv1.ConfigObject, c Change) []*recordv1.ConfigObject {
	changed := make(map[string]bool)
	for _, o := range c.Upserts {
		changed[keyText(applier.ObjectKey(o))] = true
	}
	for _, k := range c.Deletes {
		changed[keyText(k)] = true
	}
	var out []*recordv1.ConfigObject
	for _, o := range inForce {
		if !changed[keyText(applier.ObjectKey(o))] {
			out = append(out, o)
		}
	}
	deleted := make(map[string]bool)
	for _, k := range c.Deletes {
		deleted[keyText(k)] = true
	}
	for _, o := range c.Upserts {
		if !deleted[keyText(applier.ObjectKey(o))] {
			out = append(out, o)
		}
	}
	return out
}

// Check returns the faults of the objects that would be in force after a change,
// one line each, for the operator. An instance checks every change before it
// appends it to the log.
func Check(objects []*recordv1.ConfigObject) []string {
	c := objectChecker{customers: make(map[string]bool), models: make(map[string]bool), upstreamByAddress: make(map[string]string)}
	for _, o := range objects {
		if v := o.GetContract(); v != nil {
			c.customers[v.GetCustomer()] = true
		}
		if v := o.GetModel(); v != nil {
			c.models[v.GetName()] = true
		}
	}
	for _, o := range objects {
		c.checkObject(o)
	}
	return c.faults
}

// objectChecker checks configuration objects and the references between them.
type objectChecker struct {
	customers, models map[string]bool
	upstreamByAddress map[string]string
	faults            []string
}

// addFaultf adds a fault of an object.
func (c *objectChecker) addFaultf(o *recordv1.ConfigObject, format string, args ...any) {
	c.faults = append(c.faults, keyText(applier.ObjectKey(o))+": "+fmt.Sprintf(format, args...))
}

func (c *objectChecker) checkObject(o *recordv1.ConfigObject) {
	if applier.ObjectKey(o).GetName() == "" {
		c.addFaultf(o, "needs a name")
	}
	switch v := o.GetObject().(type) {
	case *recordv1.ConfigObject_Contract:
		c.checkContract(o, v.Contract)
	case *recordv1.ConfigObject_Model:
		if !c.customers[v.Model.GetCustomer()] {
			c.addFaultf(o, "customer %q has no contract", v.Model.GetCustomer())
		}
		if v.Model.GetMemoryBytes() == 0 {
			c.addFaultf(o, "needs a memory above zero")
		}
	case *recordv1.ConfigObject_Adapter:
		if !c.models[v.Adapter.GetModel()] {
			c.addFaultf(o, "there is no model %q", v.Adapter.GetModel())
		}
	case *recordv1.ConfigObject_Upstream:
		c.checkUpstream(o, v.Upstream)
	case *recordv1.ConfigObject_Policy:
		for _, n := range []float64{v.Policy.GetColdStartWeight(), v.Policy.GetIdleWeight(), v.Policy.GetStoreLoadsPerSecond()} {
			c.checkNumber(o, n)
		}
	}
}

func (c *objectChecker) checkContract(o *recordv1.ConfigObject, v *recordv1.Contract) {
	if v.GetWaitingTimeMs() == 0 {
		c.addFaultf(o, "needs a waiting-time above zero")
	}
	if v.GetConcurrency() == 0 {
		c.addFaultf(o, "needs a concurrency above zero")
	}
	c.checkNumber(o, v.GetRequestsPerSecond())
	c.checkNumber(o, v.GetWeight())
}

func (c *objectChecker) checkUpstream(o *recordv1.ConfigObject, v *recordv1.Upstream) {
	if _, _, err := net.SplitHostPort(v.GetAddress()); err != nil {
		c.addFaultf(o, "needs an address as host:port")
	}
	if other := c.upstreamByAddress[v.GetAddress()]; other != "" {
		c.addFaultf(o, "has the address of upstream %s", other)
	}
	c.upstreamByAddress[v.GetAddress()] = v.GetName()
	if v.GetKind() != recordv1.UpstreamKind_UPSTREAM_KIND_SERVICE && v.GetMemoryBytes() == 0 {
		c.addFaultf(o, "needs a memory above zero, or a service")
	}
}

// checkNumber checks that a rate or a weight is finite and not negative.
func (c *objectChecker) checkNumber(o *recordv1.ConfigObject, n float64) {
	if !isFiniteNonNegative(n) {
		c.addFaultf(o, "%v is not a number from zero up", n)
	}
}
