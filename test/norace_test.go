//go:build !race

package test

// buildFlags is empty: the programs under test are built as for production.
var buildFlags []string
