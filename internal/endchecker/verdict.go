package endchecker

import "github.com/primrosedrift/primrosedrift/internal/courier"

// Second is what a second connection to the process that sent a response shows after the end of the response.
type Second string

// States of the second connection.
const (
	// SecondNone says that there was none, or that its end says nothing about the process.
	SecondNone Second = "none"
	// SecondOpen says that it is open, so the process lives.
	SecondOpen Second = "open"
	// SecondEnded says that it has ended together with the response.
	SecondEnded Second = "ended"
)

// Evidence is what is known about the process of an upstream at the end of a response.
type Evidence struct {
	Second Second
	// HasStatedTimeout says that the second connection has ended although the upstream had stated that it keeps it open
	// for longer.
	HasStatedTimeout bool
	// Listening is what became of a new connection, empty if none was tried.
	Listening courier.Listening
	// StoodStill says that this process stood still around the end, so that the end was read late.
	StoodStill bool
	// HasRestarted says that a later process of the upstream is registered.
	HasRestarted bool
	// IsLeaving says that the upstream leaves or has left as planned, and runs its requests to their end.
	IsLeaving bool
}

// Verdict says whether a response is whole.
type Verdict string

// Verdicts. Their text goes into logs and metrics.
const (
	Lives      Verdict = "its process lives"
	Listens    Verdict = "its process listens"
	HasNoRoom  Verdict = "its process takes no new connections"
	Unanswered Verdict = "new connections are not answered"
	HasLeft    Verdict = "its process leaves as planned"
	Restarted  Verdict = "the upstream has restarted"
	Crashed    Verdict = "its process has ended with it"
	NotListens Verdict = "no process listens"
	Doubtful   Verdict = "the upstream may have restarted while this process stood still"
)

// IsWhole reports whether the response is whole.
func (v Verdict) IsWhole() bool {
	switch v {
	case Lives, Listens, HasNoRoom, Unanswered, HasLeft:
		return true
	}
	return false
}

// IsCrash reports whether the process of the upstream is known to have ended.
func (v Verdict) IsCrash() bool { return v == Restarted || v == Crashed || v == NotListens }

// Verdict returns what the evidence shows.
func (e Evidence) Verdict() Verdict {
	isRefused := e.Listening == courier.ListeningRefused
	switch {
	case e.HasRestarted:
		return Restarted
	case e.Second == SecondOpen:
		return Lives
	case e.Second == SecondEnded && (isRefused || e.HasStatedTimeout || e.Listening == courier.ListeningUnknown):
		return Crashed
	case isRefused && e.IsLeaving:
		return HasLeft
	case isRefused:
		return NotListens
	case e.StoodStill:
		return Doubtful
	case e.Listening == courier.ListeningResets:
		return HasNoRoom
	case e.Listening == courier.ListeningUnknown:
		return Unanswered
	}
	return Listens
}
