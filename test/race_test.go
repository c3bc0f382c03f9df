//go:build race

package test

// buildFlags enables the race detector in the programs under test.
var buildFlags = []string{"-race"}
