package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/limpetrelay/limpetrelay/platform"
)

const (
	// smallMemoryMB is the memory of the smallest entry hosts of the deployments, in megabytes.
	smallMemoryMB = 144
	// denseSteps is the number of steps of a dense job, each of which follows all earlier ones.
	denseSteps = 256
	// denseClients hand in dense jobs and cancel them, one after the other each.
	denseClients = 16
	// denseTime is how long they do so.
	denseTime = 95 * time.Second
	// restartDelay is how long a process that has ended is down. Another host coordinates by then.
	restartDelay = 1500 * time.Millisecond
	// endsPerHost and hostsWithEnds are from when on processes that end by themselves are a fault.
	endsPerHost, hostsWithEnds = 3, 2
)

// denseJob returns a job of a legal size whose steps follow all earlier ones.
func denseJob() []byte {
	var list []any
	for i := range denseSteps {
		after := make([]int, i)
		for k := range after {
			after[k] = k
		}
		s := map[string]any{"count": 1, "cpu": 1000, "mem_mb": 256, "est_ms": 1000}
		if i > 0 {
			s["after"] = after
		}
		list = append(list, s)
	}
	return encode(map[string]any{"spec": "run-ms:1000", "steps": list})
}

// residentKB returns the resident memory of a process, in kilobytes.
func residentKB(pid int) int {
	b, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(b), "VmRSS:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kb, err := strconv.Atoi(fields[0])
	if err != nil {
		return 0
	}
	return kb
}

// guardMemory kills the processes that exceed the memory of their machine, as the platform does, and
// starts them again, until stop is closed. It returns how often each was killed, and the peak of each.
func (s *site) guardMemory(stop <-chan struct{}) (ends, peaks []int) {
	ends, peaks = make([]int, len(s.hosts)), make([]int, len(s.hosts))
	var reported time.Time
	for {
		if time.Since(reported) > 5*time.Second {
			reported = time.Now()
			s.reportMemory()
		}
		for i, h := range s.hosts {
			kb := residentKB(h.cmd.Process.Pid)
			peaks[i] = max(peaks[i], kb)
			if kb <= s.memory<<10 {
				continue
			}
			ends[i]++
			s.log.writef("platform: %s takes %d KB and is killed, for the %d. time", h.name, kb, ends[i])
			_ = h.cmd.Process.Signal(syscall.SIGKILL)
			<-h.exited
			time.Sleep(restartDelay)
			if err := h.start(fmt.Sprint(h.settings, ".", ends[i], ".log")); err != nil {
				s.log.writef("%s does not start: %v", h.name, err)
				return ends, peaks
			}
		}
		select {
		case <-stop:
			return ends, peaks
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// reportMemory records what the processes take, and which of them coordinates.
func (s *site) reportMemory() {
	claim := s.store.Newest(platform.TopicJobs, "l")
	for _, h := range s.hosts {
		s.log.writef("%s takes %d KB, claim at byte %d", h.name, residentKB(h.cmd.Process.Pid), bytes.Index(claim, []byte(h.name)))
	}
}

// handInAndCancel hands a job in and cancels it once it is visible.
func (c *client) handInAndCancel(id string, body []byte) {
	status, _, err := call(http.MethodPost, c.host.callers, "/private/"+id, "site.example", c.key, body)
	c.log.writef("client: job %s of %d bytes sent to %s: %d %v", id, len(body), c.host.name, status, err)
	if !success(status) {
		time.Sleep(200 * time.Millisecond)
		return
	}
	for range 5 {
		time.Sleep(300 * time.Millisecond)
		status, _, err = call(http.MethodDelete, c.host.callers, "/private/"+id, "site.example", c.key, nil)
		c.log.writef("client: DELETE of %s to %s: %d %v", id, c.host.name, status, err)
		if success(status) {
			return
		}
	}
}

// endedJobs has clients hand in large jobs and cancel them: the fault is that processes end by
// themselves, since they exceed the memory of their machines.
func endedJobs(log *record, trouble bool) (bool, error) {
	s, err := newSite(log, smallMemoryMB, func(v int) map[string]any { return configuration(v, tenant("crew", "key-a")) })
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return false, err
	}
	body := denseJob()
	stop, guarded := make(chan struct{}), make(chan struct{})
	var ends, peaks []int
	go func() {
		ends, peaks = s.guardMemory(stop)
		close(guarded)
	}()
	clients := 1
	if trouble {
		clients = denseClients
	}
	var wg sync.WaitGroup
	until := time.Now().Add(denseTime)
	for k := range clients {
		wg.Go(func() {
			c := &client{site: s, key: "key-a"}
			for n := 0; time.Now().Before(until); n++ {
				c.host = s.hosts[(k+n)%len(s.hosts)]
				c.handInAndCancel(fmt.Sprintf("%08x%08x", k, n), body)
				if !trouble {
					time.Sleep(4 * time.Second)
				}
			}
		})
	}
	wg.Wait()
	close(stop)
	<-guarded
	return judgeEnds(s, ends, peaks), nil
}

// judgeEnds reports whether so many processes have ended by themselves that it is a fault.
func judgeEnds(s *site, ends, peaks []int) bool {
	machines := 0
	for i, h := range s.hosts {
		s.log.writef("%s: %d ends, peak of %d KB, limit %d KB", h.name, ends[i], peaks[i], s.memory<<10)
		if ends[i] >= endsPerHost {
			machines++
		}
	}
	return machines >= hostsWithEnds
}

const (
	// periodicJobs is the number of periodic jobs that are handed in. Each has periodicTimes occurrences, of
	// one subtask, which are all due.
	periodicJobs, periodicTimes = 300, 4000
	// periodicInterval is the time between two occurrences, in milliseconds.
	periodicInterval = 1000
	// periodicClients hand them in.
	periodicClients = 8
	// watchTime is how long the processes are watched after that.
	watchTime = 60 * time.Second
)

// openJobs has clients hand in many periodic jobs at once: the fault is that processes end by themselves,
// since they exceed the memory of their machines.
func openJobs(log *record, trouble bool) (bool, error) {
	s, err := newSite(log, memoryMB, func(v int) map[string]any { return configuration(v, tenant("crew", "key-a")) })
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return false, err
	}
	body := encode(map[string]any{
		"spec": "run-ms:1000", "repeat_count": periodicTimes, "interval_ms": periodicInterval,
		"start_time_ms": time.Now().UnixMilli() - periodicTimes*periodicInterval,
		"steps":         []any{map[string]any{"count": 1, "cpu": 1000, "mem_mb": 256, "est_ms": 1000}},
	})
	stop, guarded := make(chan struct{}), make(chan struct{})
	var ends, peaks []int
	go func() {
		ends, peaks = s.guardMemory(stop)
		close(guarded)
	}()
	jobs := periodicJobs
	if !trouble {
		jobs = 3
	}
	var wg sync.WaitGroup
	for k := range periodicClients {
		wg.Go(func() {
			for n := k; n < jobs; n += periodicClients {
				h := s.hosts[n%len(s.hosts)]
				path := fmt.Sprintf("/private/%016x", 0xc00000+n)
				status, _, err := call(http.MethodPost, h.callers, path, "site.example", "key-a", body)
				log.writef("client: POST %s of %d bytes to %s: answered %d %v", path, len(body), h.name, status, err)
			}
		})
	}
	wg.Wait()
	ordinary := &client{site: s, host: s.hosts[0], key: "key-a"}
	const id = "00000000000b1600"
	ordinary.call(http.MethodPost, "/private/"+id, job(1000, 1))
	time.Sleep(watchTime)
	for _, h := range s.hosts {
		ordinary.host = h
		ordinary.call(http.MethodGet, "/private/"+id, nil)
	}
	log.writef("an ordinary job has been started %d times since", len(log.startsOf(id)))
	close(stop)
	<-guarded
	return judgeEnds(s, ends, peaks), nil
}
