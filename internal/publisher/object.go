package publisher

import (
	"math"
	"net"

	"github.com/cockroachdb/errors"

	"github.com/primrosedrift/primrosedrift/internal/folder"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

// CheckObjects returns what is wrong with the values of objects that are to be
// published. An entry instance checks what it is sent, since not every
// operator's tool has checked its file.
func CheckObjects(objects []*recordv1.ConfigObject) error {
	var all []error
	for _, o := range objects {
		if text := objectFault(o); text != "" {
			all = append(all, errors.Newf("%s: %s", keyText(folder.ObjectKey(o)), text))
		}
	}
	return errors.Join(all...)
}

func objectFault(o *recordv1.ConfigObject) string {
	if folder.ObjectKey(o).GetName() == "" {
		return "has no name"
	}
	switch v := o.GetObject().(type) {
	case *recordv1.ConfigObject_Contract:
		return contractFault(v.Contract)
	case *recordv1.ConfigObject_Model:
		if v.Model.GetCustomer() == "" || v.Model.GetMemoryBytes() == 0 {
			return "needs a customer and a memory above zero"
		}
	case *recordv1.ConfigObject_Adapter:
		if v.Adapter.GetModel() == "" {
			return "needs a model"
		}
	case *recordv1.ConfigObject_Upstream:
		return upstreamFault(v.Upstream)
	case *recordv1.ConfigObject_Policy:
		p := v.Policy
		if !isFinite(p.GetColdStartWeight(), p.GetIdleWeight(), p.GetStoreLoadsPerSecond()) {
			return "needs finite numbers that are not negative"
		}
	}
	return ""
}

func contractFault(c *recordv1.Contract) string {
	switch {
	case c.GetWaitingTimeMs() == 0 || c.GetConcurrency() == 0:
		return "needs a waiting-time and a concurrency above zero"
	case !isFinite(c.GetRequestsPerSecond(), c.GetWeight()):
		return "needs finite numbers that are not negative"
	}
	return ""
}

func upstreamFault(u *recordv1.Upstream) string {
	if _, _, err := net.SplitHostPort(u.GetAddress()); err != nil {
		return "needs an address as host:port"
	}
	if u.GetService() == "" && u.GetMemoryBytes() == 0 {
		return "needs a memory above zero, or a service"
	}
	return ""
}

// isFinite reports whether the numbers are finite and not negative.
func isFinite(numbers ...float64) bool {
	for _, n := range numbers {
		if math.IsNaN(n) || math.IsInf(n, 0) || n < 0 {
			return false
		}
	}
	return true
}
