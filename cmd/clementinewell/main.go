// Command clementinewell runs the gateway and its operator tools.
package main

import (
	"context"
	"os"

	"github.com/clementinewell/clementinewell/internal/cwcommand"
)

func main() {
	os.Exit(cwcommand.Execute(context.Background()))
}
