package burner

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// Burn rates that raise an alert if both windows of a pair exceed them, as is
// usual for multi-window alerts.
const (
	fastBurnThreshold = 14.4 // over one hour and over five minutes
	slowBurnThreshold = 1    // over three days and over six hours
)

// Report holds the burn rates of all objectives over all instances.
type Report struct {
	Rows []Row `json:"objectives"`
	// Coverage holds the time for which each instance has counted events.
	Coverage []Coverage `json:"coverage"`
	// Unreachable holds the instances that could not be queried.
	Unreachable []UnreachableInstance `json:"not-asked"`
	// IsComplete is true if every instance was queried, covers the whole period and
	// dropped no events.
	IsComplete bool `json:"whole"`
}

// Coverage is the time for which an instance has counted events.
type Coverage struct {
	Instance string  `json:"instance"`
	Hours    float64 `json:"hours"`
	Dropped  uint64  `json:"dropped-events"`
}

// UnreachableInstance is an instance that could not be queried.
type UnreachableInstance struct {
	Address string `json:"entry"`
	Error   string `json:"why"`
}

// Row holds the burn rates of one customer, class and objective.
type Row struct {
	Customer  string    `json:"customer"`
	Class     string    `json:"class"`
	Objective Objective `json:"objective"`
	Target    float64   `json:"target"`
	// BudgetLeft is the share of the error budget that is left, negative if it is
	// exceeded.
	BudgetLeft float64      `json:"budget-left"`
	Windows    []WindowBurn `json:"windows"`
	// Reasons holds the bad events of the period by reason, most frequent first.
	Reasons []ReasonCount `json:"reasons"`
	// Alert is "fast", "slow" or empty.
	Alert string `json:"alarm"`
}

// WindowBurn is the burn rate over one window.
type WindowBurn struct {
	Window   string  `json:"window"`
	Good     uint64  `json:"good"`
	Bad      uint64  `json:"bad"`
	BurnRate float64 `json:"burn-rate"`
}

// ReasonCount is the number of bad events with one reason.
type ReasonCount struct {
	Reason string `json:"reason"`
	Count  uint64 `json:"count"`
}

// NewReport adds up the counts of the instances. Rows are sorted by the error
// budget left, least first.
func NewReport(snapshots []Snapshot, unreachable []UnreachableInstance) Report {
	rep := Report{Rows: []Row{}, Coverage: []Coverage{}, Unreachable: append([]UnreachableInstance{}, unreachable...), IsComplete: len(unreachable) == 0}
	sums := make(map[Key][]Count)
	for _, s := range snapshots {
		rep.Coverage = append(rep.Coverage, Coverage{s.Instance, s.CountedFor.Hours(), s.Dropped})
		rep.IsComplete = rep.IsComplete && s.CountedFor >= Period && s.Dropped == 0
		for k, counts := range s.Series {
			if sums[k] == nil {
				sums[k] = make([]Count, len(Windows))
			}
			for i := range Windows {
				sums[k][i] = sums[k][i].Plus(counts[i])
			}
		}
	}
	for k, counts := range sums {
		rep.Rows = append(rep.Rows, newRow(k, counts))
	}
	slices.SortFunc(rep.Rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.BudgetLeft, b.BudgetLeft), cmp.Compare(a.Customer, b.Customer),
			cmp.Compare(a.Class, b.Class), cmp.Compare(a.Objective, b.Objective))
	})
	return rep
}

func newRow(k Key, counts []Count) Row {
	r := Row{Customer: k.Customer, Class: k.Class, Objective: k.Objective, Target: Targets[k.Objective], Reasons: []ReasonCount{}}
	rates := make([]float64, len(counts))
	for i, c := range counts {
		rates[i] = burnRate(c, r.Target)
		r.Windows = append(r.Windows, WindowBurn{windowName(Windows[i]), c.Good, c.Bad, rates[i]})
	}
	last := len(counts) - 1
	r.BudgetLeft = 1 - rates[last]
	for _, reason := range slices.Sorted(maps.Keys(counts[last].Reasons)) {
		r.Reasons = append(r.Reasons, ReasonCount{reason, counts[last].Reasons[reason]})
	}
	slices.SortStableFunc(r.Reasons, func(a, b ReasonCount) int { return cmp.Compare(b.Count, a.Count) })
	switch {
	case rates[0] >= fastBurnThreshold && rates[1] >= fastBurnThreshold:
		r.Alert = "fast"
	case rates[2] >= slowBurnThreshold && rates[3] >= slowBurnThreshold:
		r.Alert = "slow"
	}
	return r
}

// burnRate returns the share of bad events divided by the share that the target
// allows.
func burnRate(c Count, target float64) float64 {
	if c.Good+c.Bad == 0 {
		return 0
	}
	return float64(c.Bad) / float64(c.Good+c.Bad) / (1 - target)
}

func windowName(d time.Duration) string {
	switch {
	case d >= 24*time.Hour:
		return fmt.Sprintf("%dd", d/(24*time.Hour))
	case d >= time.Hour:
		return fmt.Sprintf("%dh", d/time.Hour)
	}
	return fmt.Sprintf("%dm", d/time.Minute)
}

// WriteText writes the report as text, in the order of Rows.
func (r Report) WriteText(w io.Writer) error {
	var b strings.Builder
	for _, row := range r.Rows {
		fmt.Fprintf(&b, "%s, %s, %s: %.1f%% of the error budget left (target %.1f%%)", row.Customer, row.Class, row.Objective, 100*row.BudgetLeft, 100*row.Target)
		if row.Alert != "" {
			fmt.Fprintf(&b, ", %s burn", row.Alert)
		}
		b.WriteString("\n  burn rate")
		for _, x := range row.Windows {
			fmt.Fprintf(&b, "  %s %.2f (%d of %d bad)", x.Window, x.BurnRate, x.Bad, x.Good+x.Bad)
		}
		b.WriteString("\n")
		for _, x := range row.Reasons {
			fmt.Fprintf(&b, "  %d by %s\n", x.Count, x.Reason)
		}
	}
	if len(r.Rows) == 0 {
		b.WriteString("no event was counted\n")
	}
	r.writeCoverage(&b)
	_, err := io.WriteString(w, b.String())
	return err
}

func (r Report) writeCoverage(b *strings.Builder) {
	for _, c := range r.Coverage {
		fmt.Fprintf(b, "%s remembers %.1f h of %.0f h", c.Instance, min(c.Hours, Period.Hours()), Period.Hours())
		if c.Dropped > 0 {
			fmt.Fprintf(b, ", %d events of further series were not counted", c.Dropped)
		}
		b.WriteString("\n")
	}
	for _, s := range r.Unreachable {
		fmt.Fprintf(b, "not asked: %s (%s); its events are missing\n", s.Address, s.Error)
	}
	if !r.IsComplete {
		b.WriteString("this report is not whole: an entry instance forgets its counts when it ends\n")
	}
}
