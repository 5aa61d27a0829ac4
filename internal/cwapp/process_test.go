package cwapp_test

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
	"github.com/clementinewell/clementinewell/pkg/cwanswer"
)

// processScene is a scene over TCP that runs each instance as a separate process.
type processScene struct {
	*cwscene.Scene
	binary string
	plain  *cwstandin.PlainService
}

func newProcessScene(t *testing.T) *processScene {
	t.Helper()
	p := &processScene{Scene: cwscene.NewTCPScene(t, cwscene.NewBookingService("north")), binary: filepath.Join(t.TempDir(), "clementinewell")}
	build := exec.Command("go", "build", "-o", p.binary, "../../cmd/clementinewell")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	p.plain = cwstandin.NewPlainService("plain", 0)
	p.plain.BlockUntil = make(chan struct{})
	p.AddEndpoint("north-a", "10.31.0.5", "booking", p.plain.Handler())
	p.Publish()
	return p
}

// startProcess runs an instance and waits until it is ready.
func (p *processScene) startProcess(t *testing.T, ip string) *exec.Cmd {
	t.Helper()
	var log *os.File
	if os.Getenv("SCENE_LOG") != "" {
		log = os.Stderr
	}
	return p.startLoggingProcess(t, ip, log)
}

// startLoggingProcess runs an instance that logs to the file and waits until it is ready.
func (p *processScene) startLoggingProcess(t *testing.T, ip string, log *os.File) *exec.Cmd {
	t.Helper()
	cmd := exec.Command(p.binary, append([]string{"serve"}, p.Flags(ip, "north", "north-a")...)...)
	if log != nil {
		cmd.Stderr = log
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	p.awaitStatus(t, ip, `"ready": true`)
	return cmd
}

// awaitStatus polls the admin status until it contains the text.
func (p *processScene) awaitStatus(t *testing.T, ip, text string) {
	t.Helper()
	p.Await(func() bool {
		resp, err := http.Get("http://" + ip + ":7082/status")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		body, _ := io.ReadAll(resp.Body)
		return strings.Contains(string(body), text)
	})
}

func postOverTCP(t *testing.T, ip, path, ticket string) cwscene.Response {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 30 * time.Second}
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+ip+":7080"+path, strings.NewReader(`{"truck":4}`))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+cwscene.CallerKey)
	if ticket != "" {
		req.Header.Set(cwanswer.HeaderTicket, ticket)
	}
	resp, err := client.Do(req)
	if err != nil {
		return cwscene.Response{Err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return cwscene.Response{Status: resp.StatusCode, Header: resp.Header, Body: string(body), Err: err}
}

func requestTicketOverTCP(t *testing.T, ip string) string {
	t.Helper()
	grant := cwanswer.TicketGrant{}
	resp := postOverTCP(t, ip, "/v1/tickets?service=booking", "")
	if err := json.Unmarshal([]byte(resp.Body), &grant); err != nil || grant.Ticket == "" {
		t.Fatalf("no ticket granted: status %v, body %s, error %v", resp.Status, resp.Body, resp.Err)
	}
	return grant.Ticket
}

const bookingsPath = "/services/booking/bookings"

// TestBookingRunsOnceAcrossSignals sends signals to the process of the instance that runs a
// booking, while the caller retries at another instance. The booking must run only once.
func TestBookingRunsOnceAcrossSignals(t *testing.T) {
	scenarios := []struct {
		name   string
		signal syscall.Signal
		// first reports whether the caller at the first instance may get this response.
		first   func(a cwscene.Response) bool
		outcome cwanswer.Outcome
	}{
		{"killed", syscall.SIGKILL, func(a cwscene.Response) bool { return a.Err != nil }, cwanswer.Ran},
		// The other instance waits for its idle timeout of 5 s. The idle timeout of the
		// frozen instance expires meanwhile, so it looks up the booking when it resumes.
		{"frozen and resumed", syscall.SIGSTOP, func(a cwscene.Response) bool {
			return a.Status == http.StatusOK || decodeProblem(a).Outcome == cwanswer.Ran
		}, cwanswer.Ran},
		{"terminated", syscall.SIGTERM, func(a cwscene.Response) bool { return a.Status == http.StatusOK }, cwanswer.Ran},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			is := is.New(t)
			p := newProcessScene(t)
			defer p.Close()
			a, b := "127.31.0.1", "127.31.0.2"
			p.ListInstance("10.31.0.1", "north", "north-a")
			p.ListInstance("10.31.0.2", "north", "north-a")
			first := p.startProcess(t, a)
			p.startProcess(t, b)
			p.awaitStatus(t, b, `"address": "127.31.0.1:7081"`)
			ticket := requestTicketOverTCP(t, a)
			firstDone := make(chan cwscene.Response, 1)
			go func() { firstDone <- postOverTCP(t, a, bookingsPath, ticket) }()
			is.Equal(<-p.plain.StartedKeys(), ticket)
			is.NoErr(first.Process.Signal(sc.signal))
			if sc.signal == syscall.SIGTERM {
				p.awaitStatus(t, a, `"leaving": true`)
			}
			retryResp := postOverTCP(t, b, bookingsPath, ticket)
			is.NoErr(retryResp.Err)
			is.True(decodeProblem(retryResp).Outcome != cwanswer.NotRun) // the booking is running
			close(p.plain.BlockUntil)
			if sc.signal == syscall.SIGSTOP {
				is.NoErr(first.Process.Signal(syscall.SIGCONT))
			}
			firstResp := <-firstDone
			t.Logf("first caller: status %d, outcome %q, error %v", firstResp.Status, decodeProblem(firstResp).Outcome, firstResp.Err)
			is.True(sc.first(firstResp))
			if sc.signal == syscall.SIGTERM {
				is.NoErr(first.Wait()) // exits gracefully
			}
			lastResp := postOverTCP(t, b, bookingsPath, ticket)
			is.True(lastResp.Status == http.StatusOK || decodeProblem(lastResp).Outcome == sc.outcome)
			is.Equal(p.plain.Runs(ticket), 1)
		})
	}
}

// TestProcessOutlivesReaderOfItsLog guards against an instance that the next log line ends, with
// all its requests, because the program that read its log is gone.
func TestProcessOutlivesReaderOfItsLog(t *testing.T) {
	is := is.New(t)
	s := newProcessScene(t)
	defer s.Close()
	reader, writer, err := os.Pipe()
	is.NoErr(err)
	defer func() { _ = writer.Close() }()
	cmd := s.startLoggingProcess(t, "127.31.0.1", writer)
	is.NoErr(reader.Close())
	is.NoErr(cmd.Process.Signal(syscall.SIGTERM))
	is.NoErr(cmd.Wait()) // it has written its log at its end, and was not killed by SIGPIPE
}
