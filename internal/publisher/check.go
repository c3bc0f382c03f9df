package publisher

import (
	"fmt"
	"math"
	"net"
	"time"
)

// maxWaitingTime bounds the waiting time of a contract.
const maxWaitingTime = 24 * time.Hour

// checker checks the objects of a file and the references between them.
type checker struct {
	addFault  func(key, text string)
	customers map[string]bool
	models    map[string]Model
	firstKeys map[string]string // key of the first object, by kind and name
}

// check calls addFault for each fault of the file's values. key is the path of the
// value in the file.
func (f File) check(addFault func(key, text string)) {
	c := checker{
		addFault: addFault, customers: make(map[string]bool), models: make(map[string]Model), firstKeys: make(map[string]string),
	}
	c.checkPolicy(f.Policy)
	for i, v := range f.Contracts {
		c.checkContract(fmt.Sprintf("contracts[%d]", i), v)
	}
	for i, v := range f.Models {
		c.checkModel(fmt.Sprintf("models[%d]", i), v)
	}
	for i, v := range f.Adapters {
		c.checkAdapter(fmt.Sprintf("adapters[%d]", i), v)
	}
	for i, v := range f.Upstreams {
		c.checkUpstream(fmt.Sprintf("upstreams[%d]", i), v)
	}
}

// checkName checks that an object has a name, and that no other object of its kind
// has the same one.
func (c *checker) checkName(kind, key, name string) {
	if name == "" {
		c.addFault(key, "is missing")
		return
	}
	if first, ok := c.firstKeys[kind+name]; ok {
		c.addFault(key, fmt.Sprintf("%q is there twice, first as %s", name, first))
		return
	}
	c.firstKeys[kind+name] = key
}

// checkNumber checks that a number is finite and not negative.
func (c *checker) checkNumber(key string, v float64) {
	if !isFiniteNonNegative(v) {
		c.addFault(key, "must be a finite number that is not negative")
	}
}

func (c *checker) checkPolicy(p *Policy) {
	if p == nil {
		return
	}
	c.checkNumber("policy.cold-start-weight", p.ColdStartWeight)
	c.checkNumber("policy.idle-weight", p.IdleWeight)
	c.checkNumber("policy.store-loads-per-second", p.StoreLoadsPerSecond)
}

func (c *checker) checkContract(key string, v Contract) {
	c.checkName("contract", key+".customer", v.Customer)
	c.customers[v.Customer] = true
	if d := v.WaitingTime.Duration; d < time.Millisecond || d > maxWaitingTime {
		c.addFault(key+".waiting-time", fmt.Sprintf("must be from 1ms to %s", maxWaitingTime))
	}
	if v.Concurrency == 0 {
		c.addFault(key+".concurrency", "must be above zero")
	}
	c.checkNumber(key+".requests-per-second", v.RequestsPerSecond)
	c.checkNumber(key+".weight", v.Weight)
	for i, m := range v.NeverTwice {
		if m == "" {
			c.addFault(key+".never-twice", fmt.Sprintf("entry %d is empty", i+1))
		}
	}
}

func (c *checker) checkModel(key string, v Model) {
	c.checkName("model", key+".name", v.Name)
	c.models[v.Name] = v
	if !c.customers[v.Customer] {
		c.addFault(key+".customer", fmt.Sprintf("customer %q has no contract in this file", v.Customer))
	}
	if v.Memory == 0 {
		c.addFault(key+".memory", "must be above zero")
	}
}

func (c *checker) checkAdapter(key string, v Adapter) {
	c.checkName("adapter", key+".name", v.Name)
	m, ok := c.models[v.Model]
	if !ok {
		c.addFault(key+".model", fmt.Sprintf("model %q is not in this file", v.Model))
		return
	}
	if v.Customer != "" && v.Customer != m.Customer {
		c.addFault(key+".customer", fmt.Sprintf("customer %q does not own model %q, %q does", v.Customer, v.Model, m.Customer))
	}
}

func (c *checker) checkUpstream(key string, v Upstream) {
	c.checkName("upstream", key+".name", v.Name)
	if _, _, err := net.SplitHostPort(v.Address); err != nil {
		c.addFault(key+".address", "needs host:port, such as 127.0.0.1:8000")
	}
	if v.Service == "" && v.Memory == 0 {
		c.addFault(key+".memory", "must be above zero, unless the upstream gives a service")
	}
}

// isFiniteNonNegative reports whether a number is finite and not negative.
func isFiniteNonNegative(n float64) bool {
	return !math.IsNaN(n) && !math.IsInf(n, 0) && n >= 0
}
