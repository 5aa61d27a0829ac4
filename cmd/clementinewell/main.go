// Command clementinewell is the gateway and the tools around it.
package main

import (
	"context"
	"os"

	"github.com/clementinewell/clementinewell/internal/cwcommand"
)

func main() {
	os.Exit(cwcommand.Execute(context.Background()))
}
