package cluster

import (
	"fmt"
	"log"
	"os/exec"
	"path/filepath"
)

// TestRunner runs tests and returns an exit code, as *testing.M does.
type TestRunner interface {
	Run() int
}

// RunWithDaemon builds radishmastd into a temporary directory, sets daemon to the path
// of the binary, runs the tests and returns their exit code. It returns 1 if the build
// fails, and removes the directory at the end.
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
