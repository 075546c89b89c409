package main

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record is the file of a case: what was sent, answered and run, with the time since the start.
type record struct {
	mu    sync.Mutex
	f     *os.File
	began time.Time
}

func (r *record) say(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
	_, _ = io.WriteString(io.MultiWriter(r.f, os.Stdout), line)
}

// process is one program of the project on one machine.
type process struct {
	name, role, program, settings, log string
	cmd                                *exec.Cmd
	done                               chan struct{}
}

// machine is one edge machine with its own loopback address.
type machine struct {
	name, zone, ip string
	disk           bool
	lost           int // how many disks it lost
	gateway        *process
	controller     *process
}

// plan says what a deployment looks like.
type plan struct {
	zones      []string
	disks      int // machines with a disk in each zone
	plain      int // and without
	memoryMB   int
	drainMS    int
	beatMS     int
	applyMS    int
	controlPer int // controllers in each zone
	// regions are those of the zones, by name; all are in one where there are none. seedZones are the
	// zones whose first machines are the seeds.
	regions   map[string]string
	seedZones []string
	// tolerance is what may be lost at once.
	tolerance struct{ machines, zones, regions int }
}

// small is like the small deployments of the users' pages.
func small() plan {
	p := plan{zones: []string{"za", "zb", "zc"}, disks: 1, plain: 1, memoryMB: 284, drainMS: 2000, beatMS: 1500, applyMS: 2000, controlPer: 2}
	p.seedZones, p.tolerance.machines = p.zones, 1
	return p
}

func (p plan) region(zone string) string { return cmp.Or(p.regions[zone], "region") }

type fleet struct {
	plan
	rec      *record
	dir      string
	net      int // second number of the loopback addresses
	port     int // first port
	machines []*machine
	host     int // for further addresses
}

const (
	portFront, portReady, portControl = 20, 21, 22
	portTarget                        = 30
)

// newFleet writes the settings of all processes into a temporary folder.
func newFleet(p plan, rec *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{plan: p, rec: rec, dir: dir, host: 100}
	for range 50 {
		f.net, f.port = 10+rand.IntN(200), 20000+rand.IntN(10000)
		if f.free() {
			break
		}
	}
	for z, zone := range p.zones {
		for i := range p.disks + p.plain {
			m := &machine{name: fmt.Sprintf("edge-%s-%d", zone, i+1), zone: zone, ip: fmt.Sprintf("127.%d.%d.%d", f.net, z+1, i+1), disk: i < p.disks}
			f.machines = append(f.machines, m)
		}
	}
	for _, m := range f.machines {
		m.gateway = f.process(m, "gateway")
		if f.rank(m) < p.controlPer {
			m.controller = f.process(m, "controller")
		}
	}
	return f, nil
}

// rank is a machine's place in its zone.
func (f *fleet) rank(m *machine) (n int) {
	for _, o := range f.machines {
		if o.zone != m.zone {
			continue
		}
		if o == m {
			return n
		}
		n++
	}
	return n
}

// free tells whether nobody listens at the ports to be used.
func (f *fleet) free() bool {
	for i := range 40 {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.1.1:%d", f.net, f.port+i))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

func (f *fleet) at(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, f.port+port) }

// settings are laid out as the deploy pages and the wire show them.
func (f *fleet) process(m *machine, role string) *process {
	p := &process{name: m.name, role: role, program: filepath.Join("target", role), settings: filepath.Join(f.dir, m.name+"."+role+".toml"), log: filepath.Join(f.dir, m.name+"."+role+".log")}
	f.write(m, p, true)
	return p
}

func (f *fleet) write(m *machine, p *process, first bool) {
	var b bytes.Buffer
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	served := `"edge"`
	if p.role == "controller" {
		served = `"control"`
	}
	line("node_name = %q\nrole = %q\nmachine_class = \"edge\"\nserved_planes = [%s]\nip_address = %q\nzone_id = %q\nregion_id = %q", m.name, p.role, served, m.ip, m.zone, f.region(m.zone))
	line("internal_ports = [%d,%d]", f.port, f.port+15)
	var seeds []string
	for z, zone := range f.zones {
		if slices.Contains(f.seedZones, zone) {
			seeds = append(seeds, fmt.Sprintf("%q", f.at(fmt.Sprintf("127.%d.%d.1", f.net, z+1), portControl)))
		}
	}
	line("seed_nodes = [%s]\ninitial_start = %v\ncounted = %v", strings.Join(seeds, ","), first, m.disk)
	if m.disk {
		data := filepath.Join(f.dir, fmt.Sprintf("data-%s-%s-%d", m.name, p.role, m.lost))
		_ = os.MkdirAll(data, 0o755)
		line("data_dir = %q", data)
	}
	line("discovery_source = \"self_registration\"\nentry_kind = \"virtual_ip\"\nheartbeat_ms = %d\ncontracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"pressure\"]\nconfig_mode = \"parts\"", f.beatMS)
	line("[zones]")
	for _, z := range f.zones {
		line("%s = %q", z, f.region(z))
	}
	line("[listen_addrs]")
	if p.role == "gateway" {
		line("front = %q\nreadiness = %q", f.at(m.ip, portFront), f.at(m.ip, portReady))
	} else {
		line("control_plane = %q", f.at(m.ip, portControl))
	}
	line("[limits]\ncpu_share = 0.56\ncores = 1\nmemory_mb = %d\nmax_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 64", f.memoryMB)
	line("[tolerance]\nmachines = %d\nzones = %d\nregions = %d", f.tolerance.machines, f.tolerance.zones, f.tolerance.regions)
	line("[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\nack_ms = 4000\ncatch_up_s = 4\ndrain_ms = %d\ngrace_s = 6\nloss_slack_ms = 200\nconfig_apply_ms = %d\nrevert_slack_ms = 250\nstretch_max_ms = 5000\nretry_budget_ratio = 0.2\nretry_window_s = 10\nretry_slack = 66\nrecovery_s = 15", f.drainMS, f.applyMS)
	_ = os.WriteFile(p.settings, b.Bytes(), 0o644)
}

// start runs a process with the command of the deploy file.
func (p *process) start() error {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	c := exec.Command(p.program, "platform")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "WALKRUDDER_BOOT=" + p.settings}
	c.Stdout, c.Stderr = out, out
	if err := c.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.cmd, p.done = c, done
	go func() {
		_ = c.Wait()
		close(done)
	}()
	return nil
}

func (p *process) signal(s syscall.Signal) {
	if p != nil && p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

func (m *machine) processes() (out []*process) {
	for _, p := range []*process{m.controller, m.gateway} {
		if p != nil {
			out = append(out, p)
		}
	}
	return out
}

// each signals all processes of a machine.
func (m *machine) each(s syscall.Signal) {
	for _, p := range m.processes() {
		p.signal(s)
	}
}

// raise starts all and waits until the controllers are ready.
func (f *fleet) raise() error {
	for _, m := range f.machines {
		for _, p := range m.processes() {
			if err := p.start(); err != nil {
				return err
			}
		}
	}
	// From now on a process that starts again is told that it is not the first start.
	for _, m := range f.machines {
		for _, p := range m.processes() {
			defer f.write(m, p, false)
		}
	}
	return f.wait(20*time.Second, "the controllers", func() bool {
		for _, m := range f.controllers() {
			if get("http://"+f.at(m.ip, portControl)+"/readiness") != http.StatusOK {
				return false
			}
		}
		return true
	})
}

func (f *fleet) controllers() (out []*machine) {
	for _, m := range f.machines {
		if m.controller != nil {
			out = append(out, m)
		}
	}
	return out
}

// serving waits until all gateways say that they are ready.
func (f *fleet) serving() error {
	return f.wait(15*time.Second, "the gateways", func() bool {
		for _, m := range f.machines {
			if !f.ready(m) {
				return false
			}
		}
		return true
	})
}

func (f *fleet) ready(m *machine) bool {
	return get("http://"+f.at(m.ip, portReady)+"/readiness") == http.StatusOK
}

var errLate = errors.New("not ready in time")

func (f *fleet) wait(most time.Duration, what string, ok func() bool) error {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return nil
		}
	}
	return fmt.Errorf("%s: %w", what, errLate)
}

// lower ends all processes that were started, and removes the folder.
func (f *fleet) lower() {
	for _, m := range f.machines {
		m.each(syscall.SIGCONT)
		m.each(syscall.SIGKILL)
	}
	for _, m := range f.machines {
		for _, p := range m.processes() {
			if p.cmd != nil {
				<-p.done
			}
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}

var asker = http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func get(url string) int {
	r, err := asker.Get(url)
	if err != nil {
		return 0
	}
	defer r.Body.Close()
	_, _ = io.Copy(io.Discard, r.Body)
	return r.StatusCode
}
