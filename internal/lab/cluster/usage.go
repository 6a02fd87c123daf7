package cluster

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
)

const (
	// ticksPerSecond is the number of clock ticks per second; Linux counts processor
	// time in /proc in these ticks.
	ticksPerSecond = 100
	bytesPerMB     = 1 << 20
	// Indices of the fields in /proc/PID/stat, counted after the program name.
	userTimeIndex   = 11
	systemTimeIndex = 12
	// residentPagesIndex is the index of the resident pages in /proc/PID/statm.
	residentPagesIndex = 1
)

// Usage is the processor time and memory that a process uses.
type Usage struct {
	// CPUSeconds is the processor time, user and system, since the process started.
	CPUSeconds float64
	// MemoryMB is the resident memory in units of 2^20 bytes.
	MemoryMB float64
}

// ProcessUsage returns the usage of every running process by instance name.
func (c *Cluster) ProcessUsage() (map[string]Usage, error) {
	usages := make(map[string]Usage)
	for _, name := range c.Running() {
		usage, err := readUsage(c.instances[name].process.command.Process.Pid)
		if err != nil {
			return nil, fmt.Errorf("read usage of %s: %w", name, err)
		}
		usages[name] = usage
	}
	return usages, nil
}

// readUsage reads the usage of a process from /proc.
func readUsage(pid int) (Usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, err
	}
	// The indices count from the field after the program's name. The name is in
	// parentheses and may hold spaces, so the text is cut behind it.
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
