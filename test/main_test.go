// Package test runs the whole path as separate processes: a stand-in platform,
// upstreams and entry instances that are killed, frozen and cut off.
package test

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// binDir holds the programs under test.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "primrosedrift-test-")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binDir = dir
	build := exec.Command("go", "build", "-race", "-o", dir+string(filepath.Separator), "../cmd/primrosedrift", "../cmd/standin")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	return m.Run()
}
