package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Names of the deployment.
const (
	host        = "agents.example"
	daemon      = "target/endived"
	metricsPort = 9464
	heartbeat   = 300 * time.Millisecond
	// restartDelay is how long after its end a process is started again.
	restartDelay = 500 * time.Millisecond
	// memoryPeriod is how often the platform reads the memory of the processes.
	memoryPeriod = 20 * time.Millisecond
)

// zones maps the zones of the deployment to their regions.
var zones = map[string]string{"near-a": "near", "near-b": "near", "far-a": "far"}

// record is the log of a case: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(folder string) (*record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	return &record{file: file, start: time.Now()}, err
}

// line writes a line with the time since the start.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// site is a small deployment: the platform with its store, daemons and runners.
type site struct {
	record *record
	dir    string // temporary
	store  *store
	vms    []*vm
	mu     sync.Mutex
	config map[string]any
	ver    int
	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
}

func newSite(r *record, limits storeLimits) (*site, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &site{record: r, dir: dir}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.store, err = newStore(limits)
	return s, err
}

// close ends all processes of the site and waits for them.
func (s *site) close() {
	s.cancel()
	for _, v := range s.vms {
		v.kill()
	}
	s.done.Wait()
	s.store.close()
	os.RemoveAll(s.dir)
}

// putConfig stores the manifest with a new version.
func (s *site) putConfig(config map[string]any) error {
	s.ver += 3
	config["version"] = s.ver
	raw, err := json.Marshal(config)
	if err != nil {
		return err
	}
	s.store.table.put(rowKey{Table: "op", Key: "config"}, raw)
	s.record.line("operator: manifest %d is stored", s.ver)
	return nil
}

// vm is one machine with its process of the system.
type vm struct {
	site     *site
	name     string
	zone     string
	ip       string
	memoryMB int
	callers  string // address for clients
	settings string // path
	tells    map[string]any

	mu       sync.Mutex
	process  *exec.Cmd
	isOff    bool // the machine has lost power
	ownEnds  int  // ends by itself or for its memory
	isKilled bool // the process in progress was killed by a disturbance
	peakMB   atomic.Int64
}

// freePorts returns unused ports of an address.
func freePorts(ip string, count int) ([]int, error) {
	ports := make([]int, count)
	for i := range ports {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, err
		}
		defer l.Close()
		ports[i] = l.Addr().(*net.TCPAddr).Port
	}
	return ports, nil
}

// subnet returns the first three octets of loopback addresses whose port for metrics is free.
func subnet() (string, error) {
	for i := range 200 {
		prefix := fmt.Sprintf("127.%d.%d", 1+os.Getpid()%200, (os.Getpid()/200+i)%250)
		l, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", prefix, metricsPort))
		if err == nil {
			l.Close()
			return prefix, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

// addVMs adds a machine for each zone and writes the settings files.
func (s *site) addVMs(memoryMB int, inZones ...string) error {
	prefix, err := subnet()
	if err != nil {
		return err
	}
	var seeds []string
	for i, zone := range inZones {
		v := &vm{site: s, name: fmt.Sprintf("vm-%d", i+1), zone: zone, ip: fmt.Sprintf("%s.%d", prefix, i+1), memoryMB: memoryMB}
		ports, err := freePorts(v.ip, 3)
		if err != nil {
			return err
		}
		address := func(n int) string { return net.JoinHostPort(v.ip, strconv.Itoa(ports[n])) }
		v.callers = address(0)
		v.settings = filepath.Join(s.dir, v.name+".json")
		v.tells = map[string]any{
			"nodeName": v.name, "role": "edge", "machineClass": "edge", "serves": []string{"edge", "control"}, "ip": v.ip, "zone": zone, "region": zones[zone], "zones": zones,
			"listen":    map[string]string{"frontend": address(0), "readiness": address(1), "controlPlane": address(2)},
			"bootstrap": true,
			"limits":    map[string]any{"cpuShare": 0.8, "cores": 1, "memoryMb": memoryMB, "maxFds": 8200},
			"bounds":    map[string]any{"contactMs": 4000, "drainMs": 2500, "graceS": 8, "configApplyMs": 2500, "quotaSlack": 20, "recoveryS": 12},
			"platform":  map[string]any{"address": s.store.address(), "form": "table", "writesPerS": 800, "readsPerS": 2000, "rowBytes": 65536},
		}
		if len(seeds) < 3 {
			seeds = append(seeds, address(2))
		}
		s.vms = append(s.vms, v)
	}
	for _, v := range s.vms {
		v.tells["seeds"] = seeds
		if err := v.writeSettings(); err != nil {
			return err
		}
	}
	return nil
}

func (v *vm) writeSettings() error {
	raw, err := json.Marshal(v.tells)
	if err != nil {
		return err
	}
	return os.WriteFile(v.settings, raw, 0o600)
}

// start starts the processes of all machines and waits until they are ready.
func (s *site) start() error {
	for _, v := range s.vms {
		v.run()
	}
	for _, v := range s.vms {
		if err := v.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	for _, v := range s.vms { // later starts are not the first of the whole system
		v.tells["bootstrap"] = false
		if err := v.writeSettings(); err != nil {
			return err
		}
	}
	return nil
}

func (v *vm) awaitReady(limit time.Duration) error {
	url := "http://" + v.tells["listen"].(map[string]string)["readiness"] + "/readyz"
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get(url)
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", v.name)
}

// run keeps the process of a machine running until the site is closed.
func (v *vm) run() {
	v.site.done.Add(1)
	go func() {
		defer v.site.done.Done()
		for v.site.ctx.Err() == nil {
			v.runOnce()
			select {
			case <-time.After(restartDelay):
			case <-v.site.ctx.Done():
			}
		}
	}()
}

func (v *vm) runOnce() {
	v.mu.Lock()
	if v.isOff {
		v.mu.Unlock()
		return
	}
	log, err := os.OpenFile(filepath.Join(v.site.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		v.mu.Unlock()
		return
	}
	defer log.Close()
	cmd := exec.Command(daemon, "run")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ENDIVECOURSE_BOOT=" + v.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		v.mu.Unlock()
		v.site.record.line("platform: %s does not start: %v", v.name, err)
		return
	}
	v.process, v.isKilled = cmd, false
	v.mu.Unlock()
	v.site.record.line("platform: the process of %s is started", v.name)
	watched := make(chan struct{})
	go v.watchMemory(cmd.Process.Pid, watched)
	_ = cmd.Wait()
	close(watched)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.process = nil
	if !v.isKilled && v.site.ctx.Err() == nil {
		v.ownEnds++
		v.site.record.line("platform: the process of %s has ended by itself: %s", v.name, cmd.ProcessState)
	}
}

// watchMemory kills the process if it exceeds the memory of its machine, as the platform does.
func (v *vm) watchMemory(pid int, end <-chan struct{}) {
	ticker := time.NewTicker(memoryPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-end:
			return
		case <-ticker.C:
		}
		mb := anonymousMB(pid)
		v.peakMB.Store(max(v.peakMB.Load(), int64(mb)))
		if mb > v.memoryMB {
			v.site.record.line("platform: the process of %s holds %d MB, over its %d MB, and is killed", v.name, mb, v.memoryMB)
			_ = syscall.Kill(pid, syscall.SIGKILL)
			return
		}
	}
}

// anonymousMB returns the memory of a process without its mapped files.
func anonymousMB(pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, text := range strings.Split(string(raw), "\n") {
		if rest, found := strings.CutPrefix(text, "RssAnon:"); found {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb / 1024
		}
	}
	return 0
}

// kill ends the process with SIGKILL.
func (v *vm) kill() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process != nil {
		v.isKilled = true
		_ = v.process.Process.Kill()
	}
}

// powerOff ends the process, which is not started again before powerOn.
func (v *vm) powerOff() {
	v.mu.Lock()
	v.isOff = true
	v.mu.Unlock()
	v.kill()
	v.site.record.line("trouble: %s loses power", v.name)
}

func (v *vm) powerOn() {
	v.mu.Lock()
	v.isOff = false
	v.mu.Unlock()
	v.site.record.line("trouble: %s has power again", v.name)
}
