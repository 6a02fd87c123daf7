package cluster

import (
	"fmt"
	"log"
	"os/exec"
	"path/filepath"
)

// TestRunner is a set of tests to run, such as *testing.M.
type TestRunner interface {
	Run() int
}

// RunWithDaemon builds radishmastd, sets daemon to its path, runs the tests and
// returns their exit code.
func RunWithDaemon(tests TestRunner, daemon *string) int {
	directory, remove, err := NewDirectory()
	if err != nil {
		log.Print(err)
		return 1
	}
	defer remove()
	*daemon, err = BuildDaemon(directory)
	if err != nil {
		log.Print(err)
		return 1
	}
	return tests.Run()
}

// BuildDaemon builds radishmastd into a directory and returns its path.
func BuildDaemon(directory string) (string, error) {
	binary := filepath.Join(directory, "radishmastd")
	build := exec.Command("go", "build", "-o", binary, "github.com/radishmast/radishmast/cmd/radishmastd")
	if output, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build radishmastd: %w: %s", err, output)
	}
	return binary, nil
}
