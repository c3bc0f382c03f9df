// Package test runs end-to-end tests over separate processes: a stand-in
// platform, stand-in upstreams, and entry instances that are killed, frozen and
// disconnected from the log.
package test

import (
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// binDir is the directory of the programs under test.
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
	if err := trackSources(); err != nil {
		panic(err)
	}
	args := append([]string{"build", "-o", dir + string(filepath.Separator)}, buildFlags...)
	build := exec.Command("go", append(args, "../cmd/primrosedrift", "../cmd/standin")...)
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	return m.Run()
}

// trackSources opens the sources of the programs, so that go test discards
// cached results after a source has changed.
func trackSources() error {
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
