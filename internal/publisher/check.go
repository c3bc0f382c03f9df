package publisher

import (
	"fmt"
	"math"
	"net"
	"time"
)

// maxWaitingTime bounds how long a request may wait.
const maxWaitingTime = 24 * time.Hour

// checker checks a file's objects and their names.
type checker struct {
	add       func(key, text string)
	customers map[string]bool
	modelOf   map[string]Model
	seen      map[string]string
}

// check adds the faults of the values.
func (f File) check(add func(key, text string)) {
	c := checker{
		add: add, customers: make(map[string]bool), modelOf: make(map[string]Model), seen: make(map[string]string),
	}
	c.policy(f.Policy)
	for i, v := range f.Contracts {
		c.contract(fmt.Sprintf("contracts[%d]", i), v)
	}
	for i, v := range f.Models {
		c.model(fmt.Sprintf("models[%d]", i), v)
	}
	for i, v := range f.Adapters {
		c.adapter(fmt.Sprintf("adapters[%d]", i), v)
	}
	for i, v := range f.Upstreams {
		c.upstream(fmt.Sprintf("upstreams[%d]", i), v)
	}
}

// unique checks that a name is there, once.
func (c *checker) unique(kind, key, name string) {
	if name == "" {
		c.add(key, "is missing")
		return
	}
	if first, ok := c.seen[kind+name]; ok {
		c.add(key, fmt.Sprintf("%q is there twice, first as %s", name, first))
		return
	}
	c.seen[kind+name] = key
}

// number checks that a number is finite and not negative.
func (c *checker) number(key string, v float64) {
	if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
		c.add(key, "must be a finite number that is not negative")
	}
}

func (c *checker) policy(p *Policy) {
	if p == nil {
		return
	}
	c.number("policy.cold-start-weight", p.ColdStartWeight)
	c.number("policy.idle-weight", p.IdleWeight)
	c.number("policy.store-loads-per-second", p.StoreLoadsPerSecond)
}

func (c *checker) contract(key string, v Contract) {
	c.unique("contract", key+".customer", v.Customer)
	c.customers[v.Customer] = true
	if d := v.WaitingTime.Duration; d < time.Millisecond || d > maxWaitingTime {
		c.add(key+".waiting-time", fmt.Sprintf("must be from 1ms to %s", maxWaitingTime))
	}
	if v.Concurrency == 0 {
		c.add(key+".concurrency", "must be above zero")
	}
	c.number(key+".requests-per-second", v.RequestsPerSecond)
	c.number(key+".weight", v.Weight)
	for i, m := range v.NeverTwice {
		if m == "" {
			c.add(key+".never-twice", fmt.Sprintf("entry %d is empty", i+1))
		}
	}
}

func (c *checker) model(key string, v Model) {
	c.unique("model", key+".name", v.Name)
	c.modelOf[v.Name] = v
	if !c.customers[v.Customer] {
		c.add(key+".customer", fmt.Sprintf("customer %q has no contract in this file", v.Customer))
	}
	if v.Memory == 0 {
		c.add(key+".memory", "must be above zero")
	}
}

func (c *checker) adapter(key string, v Adapter) {
	c.unique("adapter", key+".name", v.Name)
	m, ok := c.modelOf[v.Model]
	if !ok {
		c.add(key+".model", fmt.Sprintf("model %q is not in this file", v.Model))
		return
	}
	if v.Customer != "" && v.Customer != m.Customer {
		c.add(key+".customer", fmt.Sprintf("customer %q does not own model %q, %q does", v.Customer, v.Model, m.Customer))
	}
}

func (c *checker) upstream(key string, v Upstream) {
	c.unique("upstream", key+".name", v.Name)
	if _, _, err := net.SplitHostPort(v.Address); err != nil {
		c.add(key+".address", "needs host:port, such as 127.0.0.1:8000")
	}
	if v.Service == "" && v.Memory == 0 {
		c.add(key+".memory", "must be above zero, unless the upstream gives a service")
	}
}
