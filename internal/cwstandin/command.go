package cwstandin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"github.com/clementinewell/clementinewell/internal/cwplatform"
)

// NewRoot returns the cwfake command with its subcommands.
func NewRoot() *cobra.Command {
	root := &cobra.Command{Use: "cwfake", Short: "Stand-ins for what the gateway talks to", SilenceUsage: true}
	root.AddCommand(newEngineCommand(), newPlainCommand(), newPlatformCommand(), newRelayCommand(), newWaitCommand(), newAccountsCommand(), newPeersCommand())
	return root
}

func newEngineCommand() *cobra.Command {
	var listen string
	options := EngineOptions{}
	cmd := &cobra.Command{
		Use: "engine", Short: "Run a model engine", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serve(cmd.Context(), listen, NewEngine(listen, options).Handler())
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&listen, "listen", "127.0.0.1:9000", "address")
	flags.StringVar(&options.Model, "model", "model", "model that is loaded")
	flags.IntVar(&options.Slots, "slots", 16, "requests that run at once")
	flags.Float64Var(&options.PromptTokensPerSecond, "prompt-speed", 4000, "prompt tokens per second")
	flags.DurationVar(&options.TokenInterval, "token-interval", 20*time.Millisecond, "time between tokens")
	flags.IntVar(&options.Tokens, "tokens", 24, "tokens of an answer")
	flags.IntVar(&options.CachedPrefixes, "cached-prefixes", 64, "prompt beginnings in the cache")
	flags.DurationVar(&options.LoadTime, "load-time", time.Second, "time to load a model")
	flags.BoolVar(&options.IgnoreFencing, "ignore-fencing", false, "follow old orders too")
	return cmd
}

func newPlainCommand() *cobra.Command {
	var listen []string
	var delay time.Duration
	cmd := &cobra.Command{
		Use: "plain", Short: "Run a plain service at one or more addresses", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			g, ctx := errgroup.WithContext(cmd.Context())
			for _, address := range listen {
				g.Go(func() error { return serve(ctx, address, NewPlainService(address, delay).Handler()) })
			}
			return g.Wait()
		},
	}
	cmd.Flags().StringSliceVar(&listen, "listen", []string{"127.0.0.1:9100"}, "addresses")
	cmd.Flags().DurationVar(&delay, "delay", 0, "time that a request takes")
	return cmd
}

func newPlatformCommand() *cobra.Command {
	var listen, published string
	var callsPerSecond float64
	cmd := &cobra.Command{
		Use: "platform", Short: "Run the platform on a folder of values", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			platform := NewPlatform(callsPerSecond)
			if err := platform.LoadFolder(published); err != nil {
				return err
			}
			return serve(cmd.Context(), listen, platform.Handler())
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:9200", "address")
	cmd.Flags().StringVar(&published, "published", "published", "folder whose files are the values")
	cmd.Flags().Float64Var(&callsPerSecond, "calls-per-second", 2000, "call budget over all readers")
	return cmd
}

// LoadFolder publishes every file below the folder. The key is the file's path
// relative to the folder.
func (p *Platform) LoadFolder(folder string) error {
	return filepath.WalkDir(folder, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return fmt.Errorf("load values: %w", err)
		}
		key, err := filepath.Rel(folder, path)
		if err != nil {
			return fmt.Errorf("load values: %w", err)
		}
		if filepath.ToSlash(key) != cwplatform.EntriesKey {
			p.Put(filepath.ToSlash(key), data)
			return nil
		}
		var entries []cwplatform.EntryInstance
		if err := json.Unmarshal(data, &entries); err != nil {
			return fmt.Errorf("load %s: %w", path, err)
		}
		p.PutDirectory(entries)
		return nil
	})
}

func newRelayCommand() *cobra.Command {
	var listen, target string
	var delay time.Duration
	cmd := &cobra.Command{
		Use: "relay", Short: "Relay connections with a delay", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			l, err := net.Listen("tcp", listen)
			if err != nil {
				return fmt.Errorf("listen on %s: %w", listen, err)
			}
			proxy := NewLinkProxy(l, target)
			proxy.SetDelay(delay)
			context.AfterFunc(cmd.Context(), func() { _ = l.Close() })
			if err := proxy.Serve(); !errors.Is(err, net.ErrClosed) {
				return err
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:9300", "address")
	cmd.Flags().StringVar(&target, "target", "127.0.0.1:9301", "address behind the link")
	cmd.Flags().DurationVar(&delay, "delay", 0, "one-way delay")
	return cmd
}

const waitPollInterval = 50 * time.Millisecond

func newWaitCommand() *cobra.Command {
	var timeout time.Duration
	var contains string
	cmd := &cobra.Command{
		Use: "wait URL...", Short: "Wait until every URL answers 200, with a text if one is given", Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, urls []string) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), timeout)
			defer cancel()
			for _, url := range urls {
				if err := waitForURL(ctx, url, contains); err != nil {
					return err
				}
			}
			return nil
		},
	}
	cmd.Flags().DurationVar(&timeout, "timeout", 15*time.Second, "longest wait")
	cmd.Flags().StringVar(&contains, "contains", "", "text that the answer must contain")
	return cmd
}

// waitForURL polls a URL until it returns status 200 and a body that contains the
// text, or until the context ends.
func waitForURL(ctx context.Context, url, contains string) error {
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return fmt.Errorf("wait for %s: %w", url, err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			body, _ := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK && strings.Contains(string(body), contains) {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for %s: %w", url, ctx.Err())
		case <-time.After(waitPollInterval):
		}
	}
}

func serve(ctx context.Context, listen string, handler http.Handler) error {
	server := &http.Server{Addr: listen, Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve on %s: %w", listen, err)
	}
	return nil
}
