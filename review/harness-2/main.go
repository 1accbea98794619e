package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// errBroken is the result of a case in which the rule was broken.
var errBroken = errors.New("the rule was broken")

// cases holds the cases by number.
var cases = map[string]func(c *cluster, trouble bool) error{
	"6": manyEnds, "7": largeCheckpoints, "8": darkWorker, "9": flakyLasting, "10": pendingCount,
}

func main() { os.Exit(runCase()) }

// runCase runs the case named by the first argument in the folder named by the second. It
// returns 1 if the rule was broken, 0 if it held and 2 if the case could not run.
func runCase() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness-2 CASE FOLDER")
		return 2
	}
	c, err := newCluster(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer c.close()
	err = cases[os.Args[1]](c, os.Getenv("TROUBLE") != "0")
	switch {
	case err == nil:
		c.notef("the rule held")
		fmt.Println("the rule held")
		return 0
	case errors.Is(err, errBroken):
		c.notef("%v", err)
		fmt.Println(err)
		return 1
	}
	c.notef("the case could not run: %v", err)
	fmt.Fprintln(os.Stderr, err)
	return 2
}

// broken returns an error that says how the rule was broken.
func broken(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errBroken, fmt.Sprintf(format, args...))
}
