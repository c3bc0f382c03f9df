// Package trier limits the trials of contents that are refused because upstreams ended while they
// ran them.
//
// A refused content cannot run, so without trials nothing could show that it is sound: upstreams
// that crash together, for a reason of their own, accuse every content that ran on three of them.
// A trial is one request with such a content that is sent all the same. If it succeeds, package
// losstracker refutes the losses of the content.
//
// The rules:
//
//   - Trials are counted by content in the platform's log, over all instances and their restarts.
//     A trial is claimed there before it is sent, by an append that fails if the log has changed
//     since the count was read. So two instances never claim the same trial.
//   - A claim whose result is not known counts as a trial, and is not used.
//   - A claim by an instance that ends is not given back.
//   - The count of a content starts anew once a request with it has run to its end.
//   - Records expire after the losses that they are about. The next claim removes them.
//
// When a trial is due is decided by package losstracker.
package trier
