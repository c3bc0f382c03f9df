package leaser

import "slices"

// Claims returns the appointments in each claim of this instance that may be the newest of the
// log: in the newest known one, and in later ones whose outcome is unknown. isFirst reports that
// there was no claim before those of this instance, and none with appointments. It returns
// nothing unless this instance holds the lease.
func (l *Lease) Claims() (appointments []string, isFirst bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.state.IsHolder() {
		return nil, false
	}
	appointments = []string{l.state.newest.Appointments}
	for _, c := range l.attempts {
		if !slices.Contains(appointments, c.Appointments) {
			appointments = append(appointments, c.Appointments)
		}
	}
	return appointments, l.isFirst && len(appointments) == 1
}

// IsInitial reports whether this instance holds the lease, and no instance has held it before, in a log that
// was never restored or states no era.
func (l *Lease) IsInitial() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.IsHolder() && l.isInitial
}

func (l *Lease) appointments() (appointments string, ok bool) {
	if l.Appointments == nil {
		return "", false
	}
	return l.Appointments()
}

// addAttemptLocked records a claim that is about to be sent.
func (l *Lease) addAttemptLocked(c Claim) {
	isSame := func(x Claim) bool { return x.Position == c.Position && x.Appointments == c.Appointments }
	if !slices.ContainsFunc(l.attempts, isSame) {
		l.attempts = append(l.attempts, c)
	}
}

// settleAttemptsLocked drops the claims that cannot be appended any more, since the log has a
// claim at their position.
func (l *Lease) settleAttemptsLocked() {
	l.attempts = slices.DeleteFunc(l.attempts, func(x Claim) bool { return !x.IsAfter(l.state.newest.Position) })
}
