//go:build race

package test

// buildFlags build the programs under test with the race detector too.
var buildFlags = []string{"-race"}
