// Command cwfake runs the stand-ins for engines, plain services, the platform and
// network links as processes of their own.
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
