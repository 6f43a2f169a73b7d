package procs

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTicks is the number of clock ticks a second in /proc, USER_HZ.
const clockTicks = 100

// CPUTime returns the user and system CPU time that the process has used.
func (p *Proc) CPUTime() (time.Duration, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(b), ") ")
	f := strings.Fields(rest)
	if len(f) < 13 {
		return 0, fmt.Errorf("/proc/PID/stat of %s has %d fields after the command, want at least 13", p.Name, len(f))
	}
	user, err := strconv.ParseInt(f[11], 10, 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseInt(f[12], 10, 64)
	if err != nil {
		return 0, err
	}
	return time.Duration(user+system) * time.Second / clockTicks, nil
}

// ResidentMemory returns the resident memory of the process in bytes.
func (p *Proc) ResidentMemory() (int64, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.PID()))
	if err != nil {
		return 0, err
	}
	f := strings.Fields(string(b))
	if len(f) < 2 {
		return 0, fmt.Errorf("/proc/PID/statm of %s has %d fields, want at least 2", p.Name, len(f))
	}
	pages, err := strconv.ParseInt(f[1], 10, 64)
	if err != nil {
		return 0, err
	}
	return pages * int64(os.Getpagesize()), nil
}
