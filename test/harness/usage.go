package harness

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// Usage is what a running process has used so far.
type Usage struct {
	CPU      time.Duration // user and system
	Resident int64         // bytes of memory now
}

// clockTick is the unit of processor times in /proc; it is 100 a second on
// every Linux that Go runs on.
const clockTick = 10 * time.Millisecond

// Fields of /proc/PID/stat after the program's name, from 0.
const (
	statUser     = 11
	statSystem   = 12
	statResident = 21
)

// Usage reads the process's use of the machine.
func (p *Process) Usage() (Usage, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
	if err != nil {
		return Usage{}, err
	}
	// The name is in brackets, and may itself hold blanks and brackets.
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
