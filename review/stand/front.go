//go:build review

package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// front is a front: a process that the deploy file starts.
type front struct {
	name, addr, ready string
	file, log         string
	cmd               *exec.Cmd
	done              chan struct{}
}

// settings are those of a front of ortak-tas, as `fleetbench wire` shows them.
const settings = `role=front
machine_class=front
serves=front
region=anadolu
bootstrap=true
counts_as_loss=false
limits.cpu_share=0.304
limits.cores=1
limits.memory_mb=284
limits.max_fds=4100
limits.link_mbps=1000.0
discovery=platform
entry=vip
heartbeat_ms=1200
fault_tolerance.machines=1
bounds.seed_lag_s=3
bounds.addr_reuse_s=2
bounds.stable_ms=3000
bounds.ack_ms=4000
bounds.sync_s=4
bounds.drain_ms=2000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.rollback_slack_ms=250
bounds.skew_max_ms=5000
bounds.strict_revoke=true
bounds.revoke_ms=5000
bounds.budget_ratio=0.2
bounds.budget_window_s=10
bounds.budget_slack=56
bounds.quota_window_s=8
bounds.quota_over=0.1
bounds.quota_slack=190000
bounds.require_fence=false
bounds.lease_ms=3000
bounds.thaw_ms=300
bounds.report_window_s=5
bounds.usage_off=0.05
bounds.usage_late_s=10
bounds.recover_s=12
provider.form=log
provider.writes_per_s=400
provider.reads_per_s=2000
provider.append_ms=2.0
provider.read_mb_s=80.0
provider.record_bytes=262144
provider.call_bytes=2097152
provider.keep_s=300
`

// Ports of a front, as on the platform. Each front has a loopback address of its own.
const (
	callerPort, readyPort = 8360, 8365
	firstPort, lastPort   = 7500, 7515
)

// newFront writes the settings of a front into dir.
func newFront(dir, name, storeAddr, cloudAddr string) (*front, error) {
	ip, err := freeAddress()
	if err != nil {
		return nil, err
	}
	f := &front{name: name, file: filepath.Join(dir, name+".conf"), log: filepath.Join(dir, name+".log")}
	f.addr, f.ready = hostPort(ip, callerPort), hostPort(ip, readyPort)
	own := fmt.Sprintf("node_name=%s\nzone=%s\nip=%s\nlisten.frontend=%s\nlisten.readiness=%s\nport_range=%d,%d\nprovider.address=%s\ncloud_api.address=%s\n",
		f.name, zone, ip, f.addr, f.ready, firstPort, lastPort, storeAddr, cloudAddr)
	return f, os.WriteFile(f.file, []byte(own+settings), 0o600)
}

func hostPort(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// freeAddress returns a random loopback address at which the ports of a front are free.
func freeAddress() (string, error) {
next:
	for range 100 {
		ip := fmt.Sprintf("127.%d.%d.%d", 64+rand.IntN(128), rand.IntN(256), 1+rand.IntN(254))
		for _, port := range []int{callerPort, readyPort, firstPort, firstPort + 1} {
			l, err := net.Listen("tcp", hostPort(ip, port))
			if err != nil {
				continue next
			}
			l.Close()
		}
		return ip, nil
	}
	return "", errors.New("no loopback address with free ports")
}

// command returns the words of `run` of the role in the deploy file.
func command() ([]string, error) {
	b, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	for _, line := range strings.Split(string(b), "\n") {
		if v, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Fields(strings.Trim(v, `" `)), nil
		}
	}
	return nil, errors.New("deploy/system.toml has no run")
}

// start starts the front's process.
func (f *front) start() error {
	words, err := command()
	if err != nil {
		return err
	}
	out, err := os.OpenFile(f.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	f.cmd = exec.Command(words[0], words[1:]...)
	f.cmd.Env = []string{"MUSTARDNOTCH_NODE_FILE=" + f.file, "PATH=" + os.Getenv("PATH")}
	f.cmd.Stdout, f.cmd.Stderr = out, out
	if err := f.cmd.Start(); err != nil {
		return err
	}
	cmd, done := f.cmd, make(chan struct{})
	f.done = done
	go func() {
		_ = cmd.Wait() // A killed process ends with an error.
		close(done)
	}()
	return nil
}

// kill ends the front's process with SIGKILL.
func (f *front) kill() {
	if f.cmd == nil || f.cmd.Process == nil {
		return
	}
	_ = f.cmd.Process.Kill() // It may have ended.
	<-f.done
}

// awaitReady waits until the front answers the platform's question with 200.
func (f *front) awaitReady() error {
	for until := time.Now().Add(15 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + f.ready + "/readyz")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after 15 s", f.name)
}
