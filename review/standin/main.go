// Command standin runs one case of the review: it starts the project's gateways as separate
// processes, plays the platform's store, the workers and the clients, and checks one rule.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the checks by name. Each returns whether the rule was broken.
var cases = map[string]func(f *fleet) (isBroken bool, err error){
	"brittle":  runBrittle,
	"unframed": runUnframed,
	"extra":    runExtra,
	"upgrade":  runUpgrade,
}

// main runs the case named by the first argument and writes record.txt into the folder named by the
// second one. With TROUBLE=0 the disruption is left out.
func main() {
	if len(os.Args) > 1 && os.Args[1] == "worker" {
		serveWorker(os.Args[2:])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(check func(f *fleet) (bool, error), folder string) int {
	f, err := newFleet(filepath.Join(folder, "record.txt"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "case could not run:", err)
		return exitNotRun
	}
	defer f.close()
	isBroken, err := check(f)
	switch {
	case err != nil:
		f.record("case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "case could not run:", err)
		return exitNotRun
	case isBroken:
		f.record("result: the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	f.record("result: the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
