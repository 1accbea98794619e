// Command harness plays one case of the review: it starts entry hosts as separate processes
// on loopback, serves the store and the workers itself, and judges what callers and
// workers see.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseLimit ends a case that takes too long. A script may run for 120 s.
const caseLimit = 110 * time.Second

// playFunc plays a case, with or without the disruption. It returns whether the rule was
// broken, or an error if the case could not run.
type playFunc func(d *deployment, trouble bool) (broken bool, err error)

var cases = map[string]struct {
	shape shape
	play  playFunc
}{
	"removed": {shape{hosts: 8, workers: 16, rackSize: 8}, playRemoved},
	"twice":   {shape{hosts: 10, workers: 12, rackSize: 4, latency: 20 * time.Millisecond}, playTwice},
	"reclaim": {shape{hosts: 3, workers: 8, rackSize: 8}, playReclaim},
	"gang":    {shape{hosts: 3, workers: 24, rackSize: 8}, playGang},
	"advice":  {shape{hosts: 3, workers: 120, rackSize: 8}, playAdvice},
}

func main() {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/limpetrelay", "path of the program")
	output := flag.String("record", "record.txt", "path of the record")
	flag.Parse()
	os.Exit(playCase(*name, *program, *output, os.Getenv("TROUBLE") != "0"))
}

// playCase plays a case and returns the exit code.
func playCase(name, program, output string, trouble bool) int {
	c, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case:", name)
		return exitNotRun
	}
	rec, err := newRecord(output)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	rec.printf("case %s, disruption %t", name, trouble)
	d, err := newDeployment(c.shape, program, rec)
	result := make(chan int, 1)
	go func() {
		broken := false
		if err == nil {
			broken, err = c.play(d, trouble)
		}
		switch {
		case err != nil:
			rec.printf("RESULT the case could not run: %v", err)
			result <- exitNotRun
		case broken:
			rec.printf("RESULT the rule was broken")
			result <- exitBroken
		default:
			rec.printf("RESULT the rule held")
			result <- exitHeld
		}
	}()
	code := exitNotRun
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	select {
	case code = <-result:
	case <-stop:
		rec.printf("RESULT interrupted")
	case <-time.After(caseLimit):
		rec.printf("RESULT the case took too long")
	}
	return finish(d, rec, code)
}

// finish ends all processes and closes the record.
func finish(d *deployment, rec *record, code int) int {
	if err := errors.Join(d.close(), rec.close()); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	return code
}
