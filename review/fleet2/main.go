// Command fleet2 plays the scripts of the second review: a small deployment on loopback, of which the
// instances are the program of the deploy file and all else is a stand-in.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitUnusable = 2
)

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(f *fleet, hasTrouble bool) (bool, error){
	"drill": playDrill,
	"herd":  playHerd,
	"renew": playRenew,
	"storm": playStorm,
}

// maxDuration is the longest time that a case takes.
const maxDuration = 110 * time.Second

func main() {
	name := flag.String("case", "", "name of the case")
	dir := flag.String("dir", ".", "folder of the case, for record.txt")
	program := flag.String("program", "target/clementinewell", "program of the instances")
	trouble := flag.String("trouble", "1", "0 to leave the disruption out")
	flag.Parse()
	os.Exit(run(*name, *dir, *program, *trouble != "0"))
}

func run(name, dir, program string, hasTrouble bool) int {
	play := cases[name]
	if play == nil {
		fmt.Println("no such case:", name)
		return exitUnusable
	}
	f, err := newFleet(dir, program)
	if err != nil {
		fmt.Println(err)
		return exitUnusable
	}
	closeFleet := sync.OnceFunc(f.close)
	defer closeFleet()
	time.AfterFunc(maxDuration, func() {
		f.logf("not done in time")
		closeFleet()
		os.Exit(exitUnusable)
	})
	isBroken, err := play(f, hasTrouble)
	switch {
	case err != nil:
		f.logf("error: %v", err)
		fmt.Println(err)
		if !errors.Is(err, errUnusable) {
			fmt.Println("the case ended early")
		}
		return exitUnusable
	case isBroken:
		f.logf("the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	f.logf("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
