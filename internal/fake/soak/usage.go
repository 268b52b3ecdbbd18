package soak

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// usage is what a process uses of the machine.
type usage struct {
	cpu         time.Duration // processor time since its start
	descriptors int           // open ones
	memoryBytes int64         // resident
}

// clockTick is the unit of processor times in /proc.
const clockTick = 10 * time.Millisecond

// usageOf returns what a process uses.
func usageOf(pid int) (usage, error) {
	directory := filepath.Join("/proc", strconv.Itoa(pid))
	l, err := os.ReadDir(filepath.Join(directory, "fd"))
	if err != nil {
		return usage{}, err
	}
	stat, err := os.ReadFile(filepath.Join(directory, "stat"))
	if err != nil {
		return usage{}, err
	}
	statm, err := os.ReadFile(filepath.Join(directory, "statm"))
	if err != nil {
		return usage{}, err
	}
	// The command, in parentheses, may contain spaces. The fields after it begin with the third one.
	f := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	const userTime, systemTime = 11, 12
	var user, system, pages, resident int64
	if _, err := fmt.Sscan(f[userTime]+" "+f[systemTime], &user, &system); err != nil {
		return usage{}, err
	}
	if _, err := fmt.Sscan(string(statm), &pages, &resident); err != nil {
		return usage{}, err
	}
	return usage{cpu: time.Duration(user+system) * clockTick, descriptors: len(l), memoryBytes: resident * int64(os.Getpagesize())}, nil
}
