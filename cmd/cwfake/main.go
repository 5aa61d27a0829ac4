// Command cwfake runs stand-ins as separate processes: engines, plain services, the
// platform, network links and other instances. It also prints accounts files and waits
// for URLs.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := cwstandin.NewRoot().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "cwfake:", err)
		os.Exit(1)
	}
}
