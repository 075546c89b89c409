package stand

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Node is one real process of a fleet.
type Node struct {
	ID           string
	Kind         string
	Zone         string
	InternalAddr string
	ListenAddr   string // if InternalAddr is a relay's address
	PublicAddr   string
	HasDisk      bool

	fleet *Fleet
	mu    sync.Mutex
	// outage is guarded by mu.
	outage OutageTracker
	cmd    *exec.Cmd
	done   chan struct{}
}

// Fleet is a set of real processes on loopback addresses.
type Fleet struct {
	Dir   string // logs and data folders
	Bin   string // folder with the programs
	Nodes []*Node
	Seeds []string
	Core  int
	Rec   *Records
}

// Plan describes the size of a deployment and its traffic.
type Plan struct {
	Name        string
	Zones       int
	Disks       int // spread over the zones
	Controllers int // including those with a disk
	Gateways    int
	Targets     map[string]int // by service
	CallKinds   []CallKind
}

// Alcazar returns the plan of one of the two deployments in use.
func Alcazar() Plan {
	return Plan{Name: "alcazar", Zones: 3, Disks: 3, Controllers: 5, Gateways: 8, Targets: map[string]int{"orders": 14, "records": 16},
		CallKinds: []CallKind{
			{Method: "POST", Path: "/orders", Service: "orders", Rate: 50, RequestBytes: 300},
			{Method: "GET", Path: "/status", Service: "orders", Repeatable: true, Rate: 80},
			{Method: "GET", Path: "/bundles", Service: "records", Repeatable: true, Rate: 30, AnswerBytes: 60000},
			{Method: "GET", Path: "/glossary", Service: "records", Repeatable: true, Rate: 70},
		}}
}

// Grachtwerk returns the plan of the other one.
func Grachtwerk() Plan {
	return Plan{Name: "grachtwerk", Zones: 4, Disks: 4, Controllers: 6, Gateways: 8, Targets: map[string]int{"ledgers": 20, "files": 20},
		CallKinds: []CallKind{
			{Method: "POST", Path: "/payments", Service: "ledgers", Rate: 55, RequestBytes: 300},
			{Method: "POST", Path: "/terminations", Service: "ledgers", Rate: 20, RequestBytes: 300},
			{Method: "GET", Path: "/balances", Service: "ledgers", Repeatable: true, Rate: 120},
			{Method: "GET", Path: "/leases", Service: "files", Repeatable: true, Rate: 55, AnswerBytes: 60000},
			{Method: "GET", Path: "/statements", Service: "files", Repeatable: true, Rate: 80},
		}}
}

// Scaled returns the plan with n times the nodes, targets and call rates; the number of disks stays.
func (p Plan) Scaled(n int) Plan {
	out := p
	out.Controllers, out.Gateways = p.Controllers*n, p.Gateways*n
	out.Targets, out.CallKinds = map[string]int{}, nil
	for s, k := range p.Targets {
		out.Targets[s] = k * n
	}
	for _, k := range p.CallKinds {
		k.Rate *= float64(n)
		out.CallKinds = append(out.CallKinds, k)
	}
	return out
}

// PlanByName finds a plan by name.
func PlanByName(name string) (Plan, error) {
	for _, p := range []Plan{Alcazar(), Grachtwerk()} {
		if p.Name == name {
			return p, nil
		}
	}
	return Plan{}, fmt.Errorf("no deployment %q: alcazar or grachtwerk", name)
}

// FreeAddr finds a free port at ip.
func FreeAddr(ip string) (string, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// NewFleet assigns loopback addresses in 127.net.0.0/16 to the nodes of a deployment, so that runs
// with different values of net can share a machine. If relays are given, nodes reach each other
// through them.
func NewFleet(p Plan, dir, bin string, net byte, relays *Relays) (*Fleet, error) {
	f := &Fleet{Dir: dir, Bin: bin, Core: min(3, p.Disks)}
	for i := range p.Controllers + p.Gateways {
		n := &Node{fleet: f}
		if i < p.Controllers {
			n.ID, n.Kind, n.Zone, n.HasDisk = fmt.Sprintf("m%d", i+1), "controller", fmt.Sprintf("z%d", i%p.Zones+1), i < p.Disks
		} else {
			k := i - p.Controllers
			n.ID, n.Kind, n.Zone = fmt.Sprintf("f%d", k+1), "gateway", fmt.Sprintf("z%d", k%p.Zones+1)
		}
		ip := fmt.Sprintf("127.%d.1.%d", net, i+1)
		var err error
		if n.InternalAddr, err = FreeAddr(ip); err != nil {
			return nil, err
		}
		if n.PublicAddr, err = FreeAddr(ip); err != nil {
			return nil, err
		}
		if relays != nil {
			relays.SetName(ip, n.ID)
			n.ListenAddr = n.InternalAddr
			if n.InternalAddr, err = relays.Listen(fmt.Sprintf("127.%d.3.%d:0", net, i+1), n.ID, func() string { return n.ListenAddr }); err != nil {
				return nil, err
			}
		}
		f.Nodes = append(f.Nodes, n)
		if i < 3 {
			f.Seeds = append(f.Seeds, n.InternalAddr)
		}
	}
	return f, nil
}

// NodesOf lists the nodes of a kind.
func (f *Fleet) NodesOf(kind string) (out []*Node) {
	for _, n := range f.Nodes {
		if n.Kind == kind {
			out = append(out, n)
		}
	}
	return out
}

// PublicAddrs lists the public addresses of the nodes of a kind.
func (f *Fleet) PublicAddrs(kind string) (out []string) {
	for _, n := range f.NodesOf(kind) {
		out = append(out, n.PublicAddr)
	}
	return out
}

// NodeAt returns the ID of the node with a public address, or "" if there is none.
func (f *Fleet) NodeAt(addr string) string {
	for _, n := range f.Nodes {
		if n.PublicAddr == addr {
			return n.ID
		}
	}
	return ""
}

// Node finds a node by ID, or returns nil.
func (f *Fleet) Node(id string) *Node {
	for _, n := range f.Nodes {
		if n.ID == id {
			return n
		}
	}
	return nil
}

// Start starts every node.
func (f *Fleet) Start() error {
	for _, n := range f.Nodes {
		if err := n.Start(); err != nil {
			return err
		}
	}
	return nil
}

// Stop kills all running processes.
func (f *Fleet) Stop() {
	for _, n := range f.Nodes {
		n.Kill()
	}
}

// DataDir returns the path of the node's data folder.
func (n *Node) DataDir() string { return filepath.Join(n.fleet.Dir, n.ID+".data") }

// Start starts the process. It fails if the process runs already.
func (n *Node) Start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		return errors.New(n.ID + " runs already")
	}
	args := []string{"--id", n.ID, "--zone", n.Zone, "--inner", n.InternalAddr, "--door", n.PublicAddr, "--level", "debug"}
	if n.ListenAddr != "" {
		args = append(args, "--bind", n.ListenAddr)
	}
	for _, s := range n.fleet.Seeds {
		args = append(args, "--seed", s)
	}
	if n.Kind == "controller" {
		args = append(args, "--core", fmt.Sprint(n.fleet.Core))
		if n.HasDisk {
			if err := os.MkdirAll(n.DataDir(), 0o755); err != nil {
				return err
			}
			args = append(args, "--data", n.DataDir())
		}
	}
	lf, err := os.OpenFile(filepath.Join(n.fleet.Dir, n.ID+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer lf.Close()
	c := exec.Command(filepath.Join(n.fleet.Bin, n.Kind), args...)
	c.Stderr, c.Stdout = lf, lf
	if err := c.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	n.cmd, n.done = c, done
	n.outage.End()
	go func() {
		_ = c.Wait()
		n.mu.Lock()
		if n.cmd == c {
			n.cmd = nil
		}
		n.mu.Unlock()
		close(done)
	}()
	return nil
}

func (n *Node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		_ = n.cmd.Process.Signal(s)
	}
}

// Running reports whether the process runs.
func (n *Node) Running() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cmd != nil
}

// Pid returns the process ID, or 0 if the process does not run.
func (n *Node) Pid() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return 0
	}
	return n.cmd.Process.Pid
}

// Freeze suspends the process.
func (n *Node) Freeze() {
	n.mu.Lock()
	n.outage.Begin("frozen")
	n.mu.Unlock()
	n.signal(syscall.SIGSTOP)
}

// Unfreeze resumes the process.
func (n *Node) Unfreeze() {
	n.signal(syscall.SIGCONT)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		n.outage.End()
	}
}

// Kill kills the process and waits for its end.
func (n *Node) Kill() {
	n.mu.Lock()
	c, d := n.cmd, n.done
	if c != nil {
		n.outage.Begin("killed")
	}
	n.mu.Unlock()
	if c == nil {
		return
	}
	_ = c.Process.Kill()
	<-d
}

// Terminate sends SIGTERM as the platform does, and kills the process after six seconds. It reports
// whether the process ended by itself. For a gateway the stop is recorded, so that the checker can
// find the calls that it cut off.
func (n *Node) Terminate() bool {
	n.mu.Lock()
	c, d := n.cmd, n.done
	n.mu.Unlock()
	if c == nil {
		return true
	}
	from := time.Now()
	if n.Kind == "gateway" {
		defer func() { n.fleet.Rec.RecordStop(Stop{Gateway: n.ID, From: from, End: time.Now()}) }()
	}
	_ = c.Process.Signal(syscall.SIGTERM)
	select {
	case <-d:
		return true
	case <-time.After(6 * time.Second):
		_ = c.Process.Kill()
		<-d
		return false
	}
}

// Wipe empties the data folder of a node that does not run.
func (n *Node) Wipe() error { return os.RemoveAll(n.DataDir()) }

// WaitUntil polls ok until it returns true or ctx ends.
func WaitUntil(ctx context.Context, ok func() bool) error {
	for !ok() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(30 * time.Millisecond):
		}
	}
	return nil
}
