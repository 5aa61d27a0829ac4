// Command fleet3 plays the scripts of the third review: it starts gateways as separate processes beside
// stand-ins of the platform's store, of workers and of clients, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a script.
const (
	statusHeld   = 0
	statusBroken = 1
	statusFailed = 2
)

// recorder writes what is sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// result writes a line to the record and to the standard output.
func (r *recorder) result(format string, args ...any) {
	r.add("RESULT   "+format, args...)
	fmt.Printf(format+"\n", args...)
}

// A script returns whether the rule held.
type script func(record *recorder, isTroubled bool) (held bool, err error)

// scripts are the scripts by name. The file of each adds it.
var scripts = make(map[string]script)

// longestPlay is the time after which a script is ended.
const longestPlay = 115 * time.Second

func main() {
	if len(os.Args) != 3 || scripts[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: fleet3 SCRIPT RECORD")
		os.Exit(statusFailed)
	}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	status := make(chan int, 1)
	go func() { status <- play(scripts[os.Args[1]], os.Args[2]) }()
	select {
	case s := <-status:
		os.Exit(s)
	case <-ended:
	case <-time.After(longestPlay):
	}
	fmt.Fprintln(os.Stderr, "the script was ended before it was over")
	closeActive()
	os.Exit(statusFailed)
}

func play(s script, path string) int {
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusFailed
	}
	defer func() { _ = file.Close() }()
	record := &recorder{file: file, start: time.Now()}
	held, err := s(record, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		record.result("the case could not run: %v", err)
		return statusFailed
	case !held:
		record.result("the rule was broken")
		return statusBroken
	}
	record.result("the rule held")
	return statusHeld
}
