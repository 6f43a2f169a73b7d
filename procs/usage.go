package procs

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTicks is the kernel's number of processor ticks a second.
const clockTicks = 100

// CPUTime returns the processor time that the process has used.
func (p *Proc) CPUTime() (time.Duration, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(b), ") ")
	f := strings.Fields(rest)
	if len(f) < 13 {
		return 0, fmt.Errorf("unexpected /proc stat of %s", p.Name)
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

// ResidentMemory returns the process's resident memory in bytes.
func (p *Proc) ResidentMemory() (int64, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.PID()))
	if err != nil {
		return 0, err
	}
	f := strings.Fields(string(b))
	if len(f) < 2 {
		return 0, fmt.Errorf("unexpected /proc statm of %s", p.Name)
	}
	pages, err := strconv.ParseInt(f[1], 10, 64)
	if err != nil {
		return 0, err
	}
	return pages * int64(os.Getpagesize()), nil
}
