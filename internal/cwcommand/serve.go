package cwcommand

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/clementinewell/clementinewell/internal/cwapp"
	"github.com/clementinewell/clementinewell/internal/cwnet"
	"github.com/clementinewell/clementinewell/internal/cwsetting"
	cwwire "github.com/clementinewell/clementinewell/platform"
)

func newServe() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "serve",
		Short: "Run an instance",
		Long:  "Run an instance until SIGTERM or SIGINT, then shut down gracefully.",
		Args:  cobra.NoArgs,
	}
	cwsetting.AddFlags(cmd.Flags())
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		// Without a reader of the log, a line would end the process.
		signal.Ignore(syscall.SIGPIPE)
		if path, ok := os.LookupEnv(cwwire.SettingsEnv); ok {
			return serveRouted(cmd, path)
		}
		settings, err := cwsetting.Load(cmd.Flags(), os.LookupEnv)
		if err != nil {
			return fmt.Errorf("invalid settings:\n%w", err)
		}
		log, flush := newLogger(settings.LogLevel)
		defer flush()
		ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, os.Interrupt)
		defer stop()
		return cwapp.NewApp(settings, log, cwnet.NewTCP()).Run(ctx)
	}
	return cmd
}

// newLogger returns a logger that writes JSON lines to standard error, and a function
// that flushes it. Lines are buffered so that requests do not wait for each write. The
// level must be valid; Load checks the setting.
func newLogger(level string) (*zap.Logger, func()) {
	minLevel, _ := zapcore.ParseLevel(level)
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.ISO8601TimeEncoder
	sink := &zapcore.BufferedWriteSyncer{WS: zapcore.Lock(os.Stderr)}
	log := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(cfg), sink, minLevel))
	return log, func() { _ = sink.Stop() }
}

// Execute runs the command line and returns the exit status: 0 on success, or 1 after
// printing the error to standard error.
func Execute(ctx context.Context) int {
	if err := NewRoot().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "clementinewell:", err)
		return 1
	}
	return 0
}
