// Command harness-3 runs the cases of the third review that are scripts. Its arguments are the name of
// the case and the file for the record. It exits with 1 if the rule was broken, 0 if it held and 2 if the
// case could not run. With TROUBLE=0 in the environment there is no disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases holds the cases by name. A case reports whether its rule was broken.
var cases = map[string]func(log *record, trouble bool) (broken bool, err error){
	"prompt-cancel": promptCancel,
	"revoked-key":   revokedKey,
	"shared-id":     sharedID,
	"ended-jobs":    endedJobs,
	"open-jobs":     openJobs,
	"hopeless":      hopeless,
}

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness-3 CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, path string) int {
	log, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer log.close()
	trouble := os.Getenv("TROUBLE") != "0"
	log.writef("case %s, disruption %v", name, trouble)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		killHosts()
		os.Exit(exitNotRun)
	}()
	broken, err := cases[name](log, trouble)
	switch {
	case err != nil:
		log.writef("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		log.writef("the rule was broken")
		return exitBroken
	}
	log.writef("the rule held")
	return exitHeld
}
