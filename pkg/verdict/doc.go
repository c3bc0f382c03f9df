// Package verdict says how a request ended and whether it may have run.
//
// A request is answered, or it is refused. A refusal says NotRun only if that
// is provable: no byte of the request left for an upstream, or the upstream
// itself said so in a reply to this very attempt. In every other case it says
// MayHaveRun. A refusal also says when to come back; zero means never.
//
// The zero Refusal says MayHaveRun, so that a forgotten field never promises
// too much.
package verdict
