package cwsoak_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// gatewayProcess is one instance of the gateway, run as a program of its own. Only its own
// process is ever signalled.
type gatewayProcess struct {
	t            *testing.T
	programPath  string
	settingsPath string
	logPath      string
	ip           string

	mu  sync.Mutex
	cmd *exec.Cmd
	// pausedUntil is when a paused process goes on; mu guards it.
	pausedUntil time.Time
}

// formatSettings is a settings file of the users' platform.
func formatSettings(ip, domain string, seeds []string) string {
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
bounds.grace-s=4
bounds.drain-ms=4000
bounds.retry-ratio=0.2
bounds.retry-slack=50
bounds.budget-window-s=10
bounds.cold-overage=1.5
bounds.cold-slack=3
bounds.ttl_max_s=5
provider.address=%[5]s
`, ip, domain, strings.TrimSuffix(domain, "-a"), strings.Join(seeds, ","), storeAddress)
}

func newGatewayProcess(t *testing.T, program, ip, domain string, seeds []string) *gatewayProcess {
	dir := t.TempDir()
	p := &gatewayProcess{t: t, programPath: program, settingsPath: filepath.Join(dir, "node.conf"), logPath: filepath.Join(dir, "log"), ip: ip}
	if err := os.WriteFile(p.settingsPath, []byte(formatSettings(ip, domain, seeds)), 0o600); err != nil {
		t.Fatal(err)
	}
	p.start()
	t.Cleanup(func() { p.signal(syscall.SIGCONT); p.stop(syscall.SIGKILL) })
	return p
}

func (p *gatewayProcess) start() {
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Fatal(err)
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(p.programPath, "serve")
	cmd.Env = append(os.Environ(), "CLEMENTINEWELL_SETTINGS="+p.settingsPath)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.mu.Lock()
	p.cmd = cmd
	p.mu.Unlock()
}

func (p *gatewayProcess) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// A process that has ended by itself shows in the checks, not here.
	_ = p.cmd.Process.Signal(s)
}

// pause stops the process for a time.
func (p *gatewayProcess) pause(d time.Duration) {
	p.mu.Lock()
	p.pausedUntil = time.Now().Add(d)
	p.mu.Unlock()
	p.signal(syscall.SIGSTOP)
	time.AfterFunc(d, func() { p.signal(syscall.SIGCONT) })
}

// stop signals the process and waits until it is gone. It returns how long that took,
// from when a paused process goes on: until then it can't know.
func (p *gatewayProcess) stop(s syscall.Signal) time.Duration {
	p.mu.Lock()
	cmd, start := p.cmd, time.Now()
	if p.pausedUntil.After(start) {
		start = p.pausedUntil
	}
	p.mu.Unlock()
	_ = cmd.Process.Signal(s)
	_ = cmd.Wait()
	return time.Since(start)
}
