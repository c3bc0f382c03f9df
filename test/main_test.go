// Package test runs the whole path as separate processes: a stand-in platform,
// upstreams and entry instances that are killed, frozen and cut off.
package test

import (
	"io/fs"
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
	if err := touchSources(); err != nil {
		panic(err)
	}
	build := exec.Command("go", "build", "-race", "-o", dir+string(filepath.Separator), "../cmd/primrosedrift", "../cmd/standin")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	return m.Run()
}

// touchSources opens the sources of the programs, so that a result is not taken
// from the test cache after they changed.
func touchSources() error {
	for _, root := range []string{"../cmd", "../internal", "../pkg"} {
		err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() {
				return err
			}
			f, err := os.Open(path)
			if err != nil {
				return err
			}
			return f.Close()
		})
		if err != nil {
			return err
		}
	}
	return nil
}
