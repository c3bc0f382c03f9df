// Package verdict describes how a request ended and whether it may have run.
//
// A request is either answered or refused. A refusal is NotRun only if that
// can be proven: no byte of the request was sent to an upstream, or the
// upstream itself said so in its reply to this attempt. In every other case
// the refusal is MayHaveRun. A refusal also carries the delay after which the
// caller may retry; zero means never.
//
// The zero Refusal is MayHaveRun, so a field that was left unset never claims
// that a request is safe to repeat.
package verdict
