package cwsoak_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// gatewayProcess is a gateway instance that runs as a separate process. Signals are
// sent to this process only.
type gatewayProcess struct {
	t *testing.T
	// programs are run in turn, the next one at each start.
	programs     []string
	settingsPath string
	logPath      string
	ip, domain   string

	mu  sync.Mutex
	cmd *exec.Cmd
	// starts are the times at which processes were started.
	starts []time.Time
	// pausedUntil is when a paused process resumes, and startedAt when the current process
	// was started. faults are the times in which a process was killed or paused, and shutdowns
	// those from SIGTERM to exit. mu guards cmd and these fields.
	pausedUntil, startedAt time.Time
	faults                 []span
	shutdowns              []shutdown
	// grace is the shutdown grace of the settings. mu guards it.
	grace time.Duration
	// formatSettings returns the settings with a grace.
	formatSettings func(grace time.Duration) string
}

// shutdown is the time from SIGTERM to the exit, and the grace that was allowed.
type shutdown struct {
	span
	grace time.Duration
}

// span is a time from its begin to its end.
type span struct{ from, to time.Time }

func (s span) overlaps(from, to time.Time) bool {
	return !s.from.After(to) && !s.to.Before(from)
}

// formatSettings returns a settings file in the format of the users' platform.
func formatSettings(ip, domain, storeAddress string, seedPeers []string, grace time.Duration) string {
	return fmt.Sprintf(`node-name=%[1]s
ip=%[1]s
zone=%[2]s
region=%[3]s
zones.north-a=north
zones.south-a=south
listen.front=%[1]s:8001
listen.ready=%[1]s:8002
listen.control=%[1]s:8003
listen.directory=%[1]s:8004
port-range=8005,8009
seeds=%[4]s
limits.cpu-share=1
limits.cores=1
limits.max-fds=4000
bounds.grace-s=%[6]g
bounds.drain-ms=4000
bounds.retry-ratio=0.2
bounds.retry-slack=50
bounds.budget-window-s=10
bounds.cold-overage=1.5
bounds.cold-slack=3
bounds.ttl_max_s=5
bounds.quota-window-s=8
bounds.quota-overage=0.25
bounds.quota-slack=110000
provider.address=%[5]s
`, ip, domain, strings.TrimSuffix(domain, "-a"), strings.Join(seedPeers, ","), storeAddress, grace.Seconds())
}

func newGatewayProcess(t *testing.T, programs []string, ip, domain, storeAddress string, seedPeers []string) *gatewayProcess {
	dir := t.TempDir()
	p := &gatewayProcess{t: t, programs: programs, settingsPath: filepath.Join(dir, "node.conf"), logPath: filepath.Join(dir, "log"), ip: ip, domain: domain}
	p.formatSettings = func(grace time.Duration) string { return formatSettings(ip, domain, storeAddress, seedPeers, grace) }
	p.setGrace(shutdownGrace)
	p.start()
	if p.cmd == nil {
		t.FailNow()
	}
	t.Cleanup(func() { p.signal(syscall.SIGCONT); p.stop(syscall.SIGKILL) })
	return p
}

// nextProgram returns the program of the next start.
func (p *gatewayProcess) nextProgram() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.programs[len(p.starts)%len(p.programs)]
}

// start starts the process. It may run outside of the test's goroutine, so it does not end
// the test if that fails.
func (p *gatewayProcess) start() {
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Errorf("start %s: %v", p.ip, err)
		return
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(p.nextProgram(), "serve")
	cmd.Env = append(os.Environ(), "CLEMENTINEWELL_SETTINGS="+p.settingsPath)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		p.t.Errorf("start %s: %v", p.ip, err)
		return
	}
	p.mu.Lock()
	p.cmd, p.startedAt = cmd, time.Now()
	p.starts = append(p.starts, p.startedAt)
	p.mu.Unlock()
}

// setGrace writes the settings with a shutdown grace. The process applies them after SIGHUP.
func (p *gatewayProcess) setGrace(grace time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.grace = grace
	if err := os.WriteFile(p.settingsPath, []byte(p.formatSettings(grace)), 0o600); err != nil {
		p.t.Errorf("write the settings of %s: %v", p.ip, err)
	}
}

func (p *gatewayProcess) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// Fails if the process has exited by itself; the checks of the run find that.
	_ = p.cmd.Process.Signal(s)
}

// pause suspends the process for a duration.
func (p *gatewayProcess) pause(d time.Duration) {
	p.mu.Lock()
	p.pausedUntil = time.Now().Add(d)
	p.faults = append(p.faults, span{from: time.Now(), to: p.pausedUntil})
	p.mu.Unlock()
	p.signal(syscall.SIGSTOP)
	time.AfterFunc(d, func() { p.signal(syscall.SIGCONT) })
}

// stop signals the process and waits until it has exited. A process that gets SIGTERM is killed at
// the end of its grace. stop returns how long the process took. For a paused process the time counts
// from when it resumes, since it can't handle the signal before.
func (p *gatewayProcess) stop(s syscall.Signal) time.Duration {
	p.mu.Lock()
	cmd, startedAt, grace := p.cmd, time.Now(), p.grace
	if p.pausedUntil.After(startedAt) {
		startedAt = p.pausedUntil
	}
	if s == syscall.SIGKILL {
		p.faults = append(p.faults, span{from: time.Now(), to: time.Now()})
	}
	p.mu.Unlock()
	_ = cmd.Process.Signal(s)
	if s == syscall.SIGTERM {
		// A process that has ended gets no signal.
		defer time.AfterFunc(time.Until(startedAt)+grace, func() { _ = cmd.Process.Kill() }).Stop()
	}
	_ = cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == syscall.SIGTERM {
		p.shutdowns = append(p.shutdowns, shutdown{span: span{from: startedAt, to: time.Now()}, grace: grace})
	}
	return time.Since(startedAt)
}

// runsFor reports whether the process was started at least d ago.
func (p *gatewayProcess) runsFor(d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.startedAt) >= d
}

// hadFault reports whether the process was killed or paused between two times.
func (p *gatewayProcess) hadFault(from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.faults, func(f span) bool { return f.overlaps(from, to) })
}

// freezes returns the times in which the process was paused.
func (p *gatewayProcess) freezes() []cwstandin.Freeze {
	p.mu.Lock()
	defer p.mu.Unlock()
	var freezes []cwstandin.Freeze
	for _, f := range p.faults {
		if f.to.After(f.from) {
			freezes = append(freezes, cwstandin.Freeze{From: f.from, To: f.to})
		}
	}
	return freezes
}

// hadRestart reports whether the process was started, or shut down, between two times. A
// killed process is started again at once.
func (p *gatewayProcess) hadRestart(from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.starts, func(at time.Time) bool { return span{from: at, to: at}.overlaps(from, to) }) ||
		slices.ContainsFunc(p.shutdowns, func(d shutdown) bool { return d.overlaps(from, to) })
}

// findShutdown returns the last shutdown during which a request was sent or cut.
func (p *gatewayProcess) findShutdown(resp response) (found shutdown, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, d := range p.shutdowns {
		if d.overlaps(resp.sentAt, resp.endedAt) {
			found, ok = d, true
		}
	}
	return found, ok
}
