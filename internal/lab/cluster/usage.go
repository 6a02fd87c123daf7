package cluster

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
)

const (
	// ticksPerSecond is the unit of processor time in /proc on Linux.
	ticksPerSecond     = 100
	bytesPerMB         = 1 << 20
	userTimeIndex      = 11
	systemTimeIndex    = 12
	residentPagesIndex = 1
)

// Usage is what a process has used.
type Usage struct {
	// CPUSeconds is the processor time since the start.
	CPUSeconds float64
	// MemoryMB is the resident memory.
	MemoryMB float64
}

// ProcessUsage reads the usage of every running process.
func (c *Cluster) ProcessUsage() (map[string]Usage, error) {
	usages := make(map[string]Usage)
	for _, name := range c.Running() {
		usage, err := readUsage(c.instances[name].process.command.Process.Pid)
		if err != nil {
			return nil, fmt.Errorf("usage of %s: %w", name, err)
		}
		usages[name] = usage
	}
	return usages, nil
}

func readUsage(pid int) (Usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, err
	}
	// The fields follow the program's name, which is in parentheses.
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	user, userErr := strconv.Atoi(fields[userTimeIndex])
	system, systemErr := strconv.Atoi(fields[systemTimeIndex])
	memory, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err := errors.Join(err, userErr, systemErr); err != nil {
		return Usage{}, fmt.Errorf("read /proc of %d: %w", pid, err)
	}
	pages, err := strconv.Atoi(strings.Fields(string(memory))[residentPagesIndex])
	if err != nil {
		return Usage{}, fmt.Errorf("read memory of %d: %w", pid, err)
	}
	return Usage{
		CPUSeconds: float64(user+system) / ticksPerSecond,
		MemoryMB:   float64(pages*os.Getpagesize()) / bytesPerMB,
	}, nil
}
