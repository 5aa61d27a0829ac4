package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// Bounds of the small deployments' sheets.
const (
	contact     = 6 * time.Second
	configApply = 4 * time.Second
	grace       = 8 * time.Second
	// restartDelay is the time from the end of a process to its next start by the platform.
	restartDelay = 500 * time.Millisecond
	// leadTime is the time from the start of the machines to that of the traffic.
	leadTime = 10 * time.Second
	host     = "ficu95.example"
	zone     = "regina-yard"
	region   = "sask-south"
)

// fleet is a small deployment on loopback addresses.
type fleet struct {
	// hasTrouble is false if the case is played without its disruption.
	hasTrouble bool
	store      *cwstandin.Store
	gateways   []*gateway

	dir, network string
	startedAt    time.Time
	servers      []*http.Server
	mu           sync.Mutex
	log          *os.File
}

// newFleet starts the store on an unused loopback network.
func newFleet(recordPath string, hasTrouble bool) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	log, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	f := &fleet{hasTrouble: hasTrouble, store: cwstandin.NewStore(), dir: dir, startedAt: time.Now(), log: log}
	for range 20 {
		f.network = fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), rand.IntN(250))
		if err = f.serve(f.storeAddress(), f.store.Handler()); err == nil {
			return f, nil
		}
	}
	return nil, err
}

// ip returns an address of the deployment's network.
func (f *fleet) ip(n int) string {
	return fmt.Sprintf("%s.%d", f.network, n)
}

func (f *fleet) storeAddress() string {
	return f.ip(250) + ":8142"
}

// serve serves HTTP until the fleet is closed.
func (f *fleet) serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h}
	f.mu.Lock()
	f.servers = append(f.servers, s)
	f.mu.Unlock()
	go func() { _ = s.Serve(l) }()
	return nil
}

// record writes a line with the time since the start into record.txt.
func (f *fleet) record(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, _ = fmt.Fprintf(f.log, "%8.3f %s\n", time.Since(f.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and servers, and removes the temporary folder.
func (f *fleet) close() {
	for _, g := range f.gateways {
		g.end()
	}
	f.mu.Lock()
	servers := f.servers
	f.mu.Unlock()
	for _, s := range servers {
		_ = s.Close()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(f.dir))
	}
	_ = os.RemoveAll(f.dir)
	_ = f.log.Close()
}

// startGateways starts n gateways in one zone, and waits until they are ready and the traffic may begin.
func (f *fleet) startGateways(n int) error {
	for i := range n {
		g := &gateway{fleet: f, index: i, ip: f.ip(i + 1)}
		f.gateways = append(f.gateways, g)
		if err := os.WriteFile(g.settingsPath(), []byte(f.formatSettings(g)), 0o600); err != nil {
			return err
		}
	}
	for _, g := range f.gateways {
		if err := g.start(); err != nil {
			return err
		}
	}
	time.Sleep(leadTime)
	for _, g := range f.gateways {
		if !g.isReady() {
			return fmt.Errorf("gateway %d is not ready", g.index)
		}
	}
	return nil
}

func (f *fleet) formatSettings(g *gateway) string {
	return fmt.Sprintf(`node-name=front-%[2]s-%[3]d
role=gateway
machine-class=front
serves=front,control,directory
ip=%[1]s
zone=%[2]s
region=%[4]s
zones.%[2]s=%[4]s
listen.front=%[1]s:8144
listen.ready=%[1]s:8140
listen.control=%[1]s:8146
listen.directory=%[1]s:8143
port-range=7660,7675
seeds=%[5]s:8146,%[6]s:8146
bootstrap=true
counts-as-loss=false
limits.cpu-share=0.4
limits.cores=1
limits.memory-mb=284
limits.max-fds=4100
limits.link-mbps=1000.0
limits.disk-mb=0
discovery=platform
entry=directory
heartbeat-ms=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,places,platform
fault-tolerance.machines=1
fault-tolerance.zones=1
fault-tolerance.regions=1
bounds.seed-lag-s=3
bounds.reuse-after-s=2
bounds.contact-ms=6000
bounds.ack-ms=8000
bounds.catch-up-s=4
bounds.drain-ms=4000
bounds.grace-s=8
bounds.loss-slack-ms=200
bounds.config-apply-ms=4000
bounds.rollback-slack-ms=250
bounds.max-skew-ms=10000
bounds.retry-ratio=0.2
bounds.budget-window-s=10
bounds.retry-slack=56
bounds.cold-overage=1.5
bounds.cold-slack=3
bounds.evacuate-ms=5000
bounds.recovery-s=12
bounds.pass-ms=800
bounds.again-s=10
bounds.ttl_max_s=5
provider.address=%[7]s
provider.form=read
provider.reads-per-s=2000
provider.history-s=20
provider.value-bytes=1048576
`, g.ip, zone, g.index+1, region, f.ip(1), f.ip(2), f.storeAddress())
}

// gateway is one machine with the gateway as a separate process.
type gateway struct {
	fleet *fleet
	index int
	ip    string

	mu       sync.Mutex
	cmd      *exec.Cmd
	exited   chan struct{}
	isClosed bool
	// troubleAt is when the process was last started or got a signal.
	troubleAt time.Time
}

func (g *gateway) settingsPath() string {
	return filepath.Join(g.fleet.dir, fmt.Sprintf("node-%d.conf", g.index))
}

// start starts the process as the deploy file does.
func (g *gateway) start() error {
	log, err := os.OpenFile(filepath.Join(g.fleet.dir, fmt.Sprintf("log-%d", g.index)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.isClosed {
		return errors.New("the case is over")
	}
	cmd := exec.Command("target/clementinewell", "serve")
	cmd.Env = []string{"CLEMENTINEWELL_SETTINGS=" + g.settingsPath(), "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C"}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	g.cmd, g.exited, g.troubleAt = cmd, exited, time.Now()
	go func() {
		err := cmd.Wait()
		g.fleet.record("gateway %d: process ended: %v", g.index, err)
		close(exited)
	}()
	g.fleet.record("gateway %d: started, pid %d", g.index, cmd.Process.Pid)
	return nil
}

// signal sends a signal to the process and takes the machine out of touch.
func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.troubleAt = time.Now()
	g.fleet.record("gateway %d: %v", g.index, s)
	_ = g.cmd.Process.Signal(s)
}

// restart ends the process with a signal, SIGKILL after the grace, and starts it again.
func (g *gateway) restart(s syscall.Signal) error {
	g.signal(s)
	g.mu.Lock()
	exited, process := g.exited, g.cmd.Process
	g.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(grace):
		_ = process.Kill()
		<-exited
	}
	time.Sleep(restartDelay)
	return g.start()
}

// end kills the process.
func (g *gateway) end() {
	g.mu.Lock()
	g.isClosed = true
	cmd, exited := g.cmd, g.exited
	g.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-exited
}

// isInTouch reports whether the machine has been without trouble for contact.
func (g *gateway) isInTouch(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return now.Sub(g.troubleAt) > contact
}

// isReady asks the gateway as the platform does.
func (g *gateway) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.ip+":8140/v1/ready", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// gatewayOf returns the gateway at a front address, nil if there is none.
func (f *fleet) gatewayOf(address string) *gateway {
	ip, _, _ := strings.Cut(address, ":")
	for _, g := range f.gateways {
		if g.ip == ip {
			return g
		}
	}
	return nil
}
