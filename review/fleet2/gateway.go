package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// gateway is one instance, a process of its own on a loopback address of its own.
type gateway struct {
	program, dir, ip, zone string
	settings               string
	cmd                    *exec.Cmd
}

// place is a zone with its region.
type place struct{ zone, region string }

// formatSettings returns a settings file with the keys and the bounds of a small deployment.
func formatSettings(name, ip string, at place, places []place, seeds []string, storeAddress string) string {
	var zones strings.Builder
	for _, p := range places {
		fmt.Fprintf(&zones, "zones.%s=%s\n", p.zone, p.region)
	}
	return fmt.Sprintf(`node-name=%[1]s
role=gateway
machine-class=front
serves=front,control,directory
ip=%[2]s
zone=%[3]s
region=%[4]s
%[5]slisten.front=%[2]s:8144
listen.ready=%[2]s:8140
listen.control=%[2]s:8146
listen.directory=%[2]s:8143
port-range=7660,7675
seeds=%[6]s
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
provider.writes-per-s=400
provider.reads-per-s=2000
provider.history-s=20
provider.value-bytes=1048576
provider.ttl-min-ms=1000
`, name, ip, at.zone, at.region, zones.String(), strings.Join(seeds, ","), storeAddress)
}

// start starts the process as the deploy file does.
func (g *gateway) start() error {
	path := filepath.Join(g.dir, "node-"+g.ip+".conf")
	if err := os.WriteFile(path, []byte(g.settings), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	log, err := os.OpenFile(filepath.Join(g.dir, "log-"+g.ip), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer func() { _ = log.Close() }()
	g.cmd = exec.Command(g.program, "serve")
	g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + g.dir, "CLEMENTINEWELL_SETTINGS=" + path}
	g.cmd.Stdout, g.cmd.Stderr = log, log
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", g.ip, err)
	}
	return nil
}

// stop sends a signal and waits for the end of the process.
func (g *gateway) stop(s syscall.Signal) time.Duration {
	begin := time.Now()
	_ = g.cmd.Process.Signal(s)
	_ = g.cmd.Wait()
	return time.Since(begin)
}
