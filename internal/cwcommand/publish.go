package cwcommand

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"github.com/clementinewell/clementinewell/pkg/cwconfig"
	"github.com/clementinewell/clementinewell/pkg/cwservice"
)

const accountsFileName = "accounts.yaml"

// configFiles holds the parsed service and account files of an operator.
type configFiles struct {
	services []cwservice.Service
	accounts []cwservice.Account
}

func newPublish() *cobra.Command {
	var from, out string
	var number uint64
	cmd := &cobra.Command{
		Use:   "publish",
		Short: "Build the platform values from service files",
		Long: "Read the service files and accounts.yaml below a folder, check them, and write one file for each platform value.\n" +
			"Write the buckets to the platform before the manifest. To roll back, publish the old files under a higher number.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			files, err := readConfigFiles(from)
			if err != nil {
				return err
			}
			set, err := cwconfig.Build(number, files.services, files.accounts)
			if err != nil {
				return err
			}
			if err := writeSet(out, set); err != nil {
				return err
			}
			cmd.Printf("version %s: %d services, %d accounts, %d values in %s\n",
				set.Version, len(files.services), len(files.accounts), len(set.Values), out)
			return nil
		},
	}
	cmd.Flags().StringVar(&from, "from", ".", "folder with the service files")
	cmd.Flags().StringVar(&out, "out", "published", "folder to write the values to")
	cmd.Flags().Uint64Var(&number, "number", 0, "version number, higher than that of the last publication")
	_ = cmd.MarkFlagRequired("number")
	return cmd
}

func newCheck() *cobra.Command {
	return &cobra.Command{
		Use:   "check [FOLDER]",
		Short: "Check service files without publishing them",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			from := "."
			if len(args) == 1 {
				from = args[0]
			}
			files, err := readConfigFiles(from)
			if err != nil {
				return err
			}
			if _, err := cwconfig.Build(1, files.services, files.accounts); err != nil {
				return err
			}
			cmd.Printf("%d services and %d accounts are fine\n", len(files.services), len(files.accounts))
			return nil
		},
	}
}

// readConfigFiles reads and checks every .yaml file below the folder. If files are
// invalid, the error is a cwservice.Faults with all faults of all files.
func readConfigFiles(from string) (configFiles, error) {
	files := configFiles{}
	var faults cwservice.Faults
	err := filepath.WalkDir(from, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".yaml") {
			return err
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		err = files.parseFile(path, data)
		var fileFaults cwservice.Faults
		if errors.As(err, &fileFaults) {
			faults = append(faults, fileFaults...)
			return nil
		}
		return err
	})
	if err != nil {
		return files, fmt.Errorf("read configuration files: %w", err)
	}
	if len(faults) > 0 {
		return files, faults
	}
	if len(files.services) == 0 {
		return files, fmt.Errorf("read configuration files: no service file below %s", from)
	}
	return files, nil
}

func (c *configFiles) parseFile(path string, data []byte) error {
	if filepath.Base(path) == accountsFileName {
		accountFile, err := cwservice.ParseAccounts(path, data)
		c.accounts = append(c.accounts, accountFile.Accounts...)
		return err
	}
	service, err := cwservice.Parse(path, data)
	c.services = append(c.services, service)
	return err
}

func writeSet(out string, set cwconfig.Set) error {
	for _, kv := range set.Values {
		path := filepath.Join(out, filepath.FromSlash(kv.Key))
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			return fmt.Errorf("write values: %w", err)
		}
		if err := os.WriteFile(path, kv.Value, 0o644); err != nil {
			return fmt.Errorf("write values: %w", err)
		}
	}
	return removeStaleBuckets(out, set)
}

// removeStaleBuckets removes the bucket files below out that are not part of the set.
func removeStaleBuckets(out string, set cwconfig.Set) error {
	keys := make([]string, 0, len(set.Values))
	for _, kv := range set.Values {
		keys = append(keys, kv.Key)
	}
	dir := filepath.Join(out, filepath.FromSlash(cwconfig.BucketKeyPrefix))
	entries, err := os.ReadDir(dir)
	if err != nil {
		return fmt.Errorf("remove old buckets: %w", err)
	}
	for _, e := range entries {
		if slices.Contains(keys, cwconfig.BucketKeyPrefix+e.Name()) {
			continue
		}
		if err := os.Remove(filepath.Join(dir, e.Name())); err != nil {
			return fmt.Errorf("remove old buckets: %w", err)
		}
	}
	return nil
}
