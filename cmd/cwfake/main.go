// Command cwfake runs each stand-in as a separate process: engines, plain services,
// the platform and network links.
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
