package cwapp_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/common/expfmt"

	"github.com/clementinewell/clementinewell/internal/cwadmin"
	"github.com/clementinewell/clementinewell/internal/cwburn"
	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// TestOperatorInterface checks the status, the burn report and the metrics of an instance
// after a successful and a failed request.
func TestOperatorInterface(t *testing.T) {
	inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		i, workers := startOneRegion(s, cwscene.NewRoute("r", "unsafe", nil))
		is.Equal(s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x"}).Status, http.StatusOK)
		cwstandin.SetFirstRequestFault(workers, cwstandin.FaultLoseResponse)
		is.Equal(s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x"}).Status, http.StatusBadGateway)
		time.Sleep(2 * time.Second) // the metrics are reported at an interval

		var status cwadmin.RoutedStatus
		is.NoErr(json.Unmarshal([]byte(s.FetchAdmin(t, i, "/status")), &status))
		is.True(status.IsReady)
		is.Equal(len(status.Endpoints), 2)
		is.Equal(status.ConfigVersion, uint64(1))

		var burn cwburn.Report
		is.NoErr(json.Unmarshal([]byte(s.FetchAdmin(t, i, "/burn")), &burn))
		is.Equal(len(burn.Series), 1)
		longestWindow := burn.Series[0].Windows[len(burn.Series[0].Windows)-1]
		is.Equal(longestWindow.Total, int64(2))
		is.Equal(longestWindow.Bad, int64(1))

		parser := expfmt.TextParser{}
		families, err := parser.TextToMetricFamilies(strings.NewReader(s.FetchAdmin(t, i, "/metrics")))
		is.NoErr(err)
		is.Equal(len(families["clementinewell_routed_requests"].GetMetric()), 2)
	})
}
