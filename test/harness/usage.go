package harness

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// Usage is the CPU time and memory that a running process uses.
type Usage struct {
	CPU      time.Duration // user and system time so far
	Resident int64         // resident memory in bytes
}

// clockTick is the unit of CPU times in /proc: 100 per second on every Linux system
// that Go supports.
const clockTick = 10 * time.Millisecond

// Indexes of the fields of /proc/PID/stat after the program's name, from 0.
const (
	statUser     = 11
	statSystem   = 12
	statResident = 21
)

// Usage returns the process's current CPU time and memory.
func (p *Process) Usage() (Usage, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
	if err != nil {
		return Usage{}, err
	}
	// The name is in parentheses, and may itself contain spaces and parentheses.
	_, rest, _ := strings.Cut(string(content[strings.LastIndexByte(string(content), ')'):]), " ")
	fields := strings.Fields(rest)
	if len(fields) <= statResident {
		return Usage{}, fmt.Errorf("%s: /proc/%d/stat has %d fields", p.Name, p.PID(), len(fields))
	}
	var values [3]int64
	for i, field := range []int{statUser, statSystem, statResident} {
		if values[i], err = strconv.ParseInt(fields[field], 10, 64); err != nil {
			return Usage{}, err
		}
	}
	return Usage{
		CPU:      time.Duration(values[0]+values[1]) * clockTick,
		Resident: values[2] * int64(os.Getpagesize()),
	}, nil
}
