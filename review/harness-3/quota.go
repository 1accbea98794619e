package main

import (
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// coreQuota is limits.cpu_quota of the settings, and quotaPeriod the time in which it is used up at most.
	coreQuota   = 0.4
	quotaPeriod = 100 * time.Millisecond
	// clockTick is the unit of processor times in /proc.
	clockTick = 10 * time.Millisecond
	// quotaCheck is the time between two looks at what a process has used.
	quotaCheck = 2 * time.Millisecond
)

// processorTime returns what a process has used.
func processorTime(pid int) time.Duration {
	b, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return 0
	}
	// The name before the last parenthesis may have spaces.
	fields := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+1:]))
	const user, system = 11, 12
	if len(fields) <= system {
		return 0
	}
	sum := 0
	for _, f := range []string{fields[user], fields[system]} {
		n, err := strconv.Atoi(f)
		if err != nil {
			return 0
		}
		sum += n
	}
	return time.Duration(sum) * clockTick
}

// limitProcessor gives a host's process its share of a core: it stops the process while that has used more
// than its quota, as a quota of the platform does, and lets it go on afterwards, until stop is closed.
func (h *host) limitProcessor(stop <-chan struct{}) {
	pid, stopped := 0, false
	var credit time.Duration
	var used time.Duration
	last := time.Now()
	for {
		if p := h.cmd.Process.Pid; p != pid {
			pid, stopped, credit, used = p, false, 0, processorTime(p)
		}
		now, total := time.Now(), processorTime(pid)
		credit += time.Duration(coreQuota*float64(now.Sub(last))) - (total - used)
		credit = min(credit, time.Duration(coreQuota*float64(quotaPeriod)))
		last, used = now, total
		switch {
		case credit < 0 && !stopped:
			_ = syscall.Kill(pid, syscall.SIGSTOP)
			stopped = true
		case credit > 0 && stopped:
			_ = syscall.Kill(pid, syscall.SIGCONT)
			stopped = false
		}
		select {
		case <-stop:
			_ = syscall.Kill(pid, syscall.SIGCONT)
			return
		case <-time.After(quotaCheck):
		}
	}
}
