package cwapp_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
	"github.com/clementinewell/clementinewell/pkg/cwconfig"
	"github.com/clementinewell/clementinewell/pkg/cwservice"
)

// readExample parses the service files and the accounts file of an example.
func readExample(t *testing.T, folder string) ([]cwservice.Service, []cwservice.Account) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join("../../examples", folder, "*.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	var services []cwservice.Service
	var accounts []cwservice.Account
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if filepath.Base(file) == "accounts.yaml" {
			accountFile, err := cwservice.ParseAccounts(file, data)
			if err != nil {
				t.Fatal(err)
			}
			accounts = accountFile.Accounts
			continue
		}
		s, err := cwservice.Parse(file, data)
		if err != nil {
			t.Fatal(err)
		}
		services = append(services, s)
	}
	return services, accounts
}

// TestExamplesServeOnEmptyPlatform publishes the files of an example to an empty platform.
// They must suffice to serve requests.
func TestExamplesServeOnEmptyPlatform(t *testing.T) {
	scenarios := []struct{ folder, account, pool, path string }{
		{"prairie-linepaint", "bright-line", "job-lookup", "/services/job-lookup/jobs/1"},
		{"myrtle-gully", "ridge-school", "school-bookings", "/services/school-bookings/bookings/1"},
	}
	for _, sc := range scenarios {
		t.Run(sc.folder, func(t *testing.T) {
			inScene(t, nil, func(t *testing.T, is *is.I, s *cwscene.Scene) {
				services, accounts := readExample(t, sc.folder)
				set, err := cwconfig.Build(1, services, accounts)
				is.NoErr(err)
				i := s.AddInstance("10.1.0.1", "south", "south-a")
				s.AddEndpoint("south-a", "10.1.0.5", sc.pool, cwstandin.NewPlainService("plain", 0).Handler())
				s.Platform.PutConfig(set)
				s.AwaitReady()
				c := s.NewCaller()
				c.Key = sc.account + "-example-key"
				s.Await(func() bool {
					return c.Do(t.Context(), i, cwscene.Request{Method: "GET", Path: sc.path}).Status == 200
				})
				is.Equal(i.Control.Snapshot().ConfigTracker.Accepted(), set.Version)
			})
		})
	}
}
