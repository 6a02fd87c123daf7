package cluster

import (
	"fmt"
	"os/exec"
	"path/filepath"
)

// BuildDaemon builds radishmastd into a directory and returns its path.
func BuildDaemon(directory string) (string, error) {
	binary := filepath.Join(directory, "radishmastd")
	build := exec.Command("go", "build", "-o", binary, "github.com/radishmast/radishmast/cmd/radishmastd")
	if output, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build radishmastd: %w: %s", err, output)
	}
	return binary, nil
}
