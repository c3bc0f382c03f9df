//go:build !race

package test

// buildFlags build the programs under test as they run in production.
var buildFlags []string
