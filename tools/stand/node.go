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
	ID    string
	Kind  string
	Zone  string
	Inner string
	Own   string // where it listens, when Inner is a relay's
	Door  string
	Disk  bool

	fleet *Fleet
	mu    sync.Mutex
	// struck is guarded by mu.
	struck Struck
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

// Plan is the shape of a deployment.
type Plan struct {
	Name        string
	Zones       int
	Disks       int // one in each zone first
	Controllers int // with the disks
	Gateways    int
	Targets     map[string]int // by service
	Kinds       []Kind
}

// Alcazar and Grachtwerk are the deployments of today.
func Alcazar() Plan {
	return Plan{Name: "alcazar", Zones: 3, Disks: 3, Controllers: 5, Gateways: 8, Targets: map[string]int{"orders": 14, "records": 16},
		Kinds: []Kind{
			{Method: "POST", Path: "/orders", Service: "orders", Rate: 50, Post: 300},
			{Method: "GET", Path: "/status", Service: "orders", Repeatable: true, Rate: 80},
			{Method: "GET", Path: "/bundles", Service: "records", Repeatable: true, Rate: 30, Size: 60000},
			{Method: "GET", Path: "/glossary", Service: "records", Repeatable: true, Rate: 70},
		}}
}

// Grachtwerk is the other one.
func Grachtwerk() Plan {
	return Plan{Name: "grachtwerk", Zones: 4, Disks: 4, Controllers: 6, Gateways: 8, Targets: map[string]int{"ledgers": 20, "files": 20},
		Kinds: []Kind{
			{Method: "POST", Path: "/payments", Service: "ledgers", Rate: 55, Post: 300},
			{Method: "POST", Path: "/terminations", Service: "ledgers", Rate: 20, Post: 300},
			{Method: "GET", Path: "/balances", Service: "ledgers", Repeatable: true, Rate: 120},
			{Method: "GET", Path: "/leases", Service: "files", Repeatable: true, Rate: 55, Size: 60000},
			{Method: "GET", Path: "/statements", Service: "files", Repeatable: true, Rate: 80},
		}}
}

// Times is the deployment with n times the nodes, targets and calls; the disks stay.
func (p Plan) Times(n int) Plan {
	out := p
	out.Controllers, out.Gateways = p.Controllers*n, p.Gateways*n
	out.Targets, out.Kinds = map[string]int{}, nil
	for s, k := range p.Targets {
		out.Targets[s] = k * n
	}
	for _, k := range p.Kinds {
		k.Rate *= float64(n)
		out.Kinds = append(out.Kinds, k)
	}
	return out
}

// Plans finds a deployment by name.
func Plans(name string) (Plan, error) {
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

// NewFleet lays a deployment out on 127.x addresses; net makes runs side by side
// differ. With wires, nodes reach each other through them.
func NewFleet(p Plan, dir, bin string, net byte, wires *Wires) (*Fleet, error) {
	f := &Fleet{Dir: dir, Bin: bin, Core: min(3, p.Disks)}
	for i := range p.Controllers + p.Gateways {
		n := &Node{fleet: f}
		if i < p.Controllers {
			n.ID, n.Kind, n.Zone, n.Disk = fmt.Sprintf("m%d", i+1), "controller", fmt.Sprintf("z%d", i%p.Zones+1), i < p.Disks
		} else {
			k := i - p.Controllers
			n.ID, n.Kind, n.Zone = fmt.Sprintf("f%d", k+1), "gateway", fmt.Sprintf("z%d", k%p.Zones+1)
		}
		ip := fmt.Sprintf("127.%d.1.%d", net, i+1)
		var err error
		if n.Inner, err = FreeAddr(ip); err != nil {
			return nil, err
		}
		if n.Door, err = FreeAddr(ip); err != nil {
			return nil, err
		}
		if wires != nil {
			wires.Name(ip, n.ID)
			n.Own = n.Inner
			if n.Inner, err = wires.Lay(fmt.Sprintf("127.%d.3.%d:0", net, i+1), n.ID, func() string { return n.Own }); err != nil {
				return nil, err
			}
		}
		f.Nodes = append(f.Nodes, n)
		if i < 3 {
			f.Seeds = append(f.Seeds, n.Inner)
		}
	}
	return f, nil
}

// Of lists the nodes of a kind.
func (f *Fleet) Of(kind string) (out []*Node) {
	for _, n := range f.Nodes {
		if n.Kind == kind {
			out = append(out, n)
		}
	}
	return out
}

// Doors lists the doors of a kind.
func (f *Fleet) Doors(kind string) (out []string) {
	for _, n := range f.Of(kind) {
		out = append(out, n.Door)
	}
	return out
}

// Name tells which node a door belongs to.
func (f *Fleet) Name(door string) string {
	for _, n := range f.Nodes {
		if n.Door == door {
			return n.ID
		}
	}
	return ""
}

// Node finds a node.
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

// Stop kills what still runs.
func (f *Fleet) Stop() {
	for _, n := range f.Nodes {
		n.Kill()
	}
}

// Data is the node's data folder.
func (n *Node) Data() string { return filepath.Join(n.fleet.Dir, n.ID+".data") }

// Start starts the process.
func (n *Node) Start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		return errors.New(n.ID + " runs already")
	}
	args := []string{"--id", n.ID, "--zone", n.Zone, "--inner", n.Inner, "--door", n.Door, "--level", "debug"}
	if n.Own != "" {
		args = append(args, "--bind", n.Own)
	}
	for _, s := range n.fleet.Seeds {
		args = append(args, "--seed", s)
	}
	if n.Kind == "controller" {
		args = append(args, "--core", fmt.Sprint(n.fleet.Core))
		if n.Disk {
			if err := os.MkdirAll(n.Data(), 0o755); err != nil {
				return err
			}
			args = append(args, "--data", n.Data())
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
	n.struck.End()
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

// Up tells whether the process runs.
func (n *Node) Up() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cmd != nil
}

// Pid is the process's id, 0 when it does not run.
func (n *Node) Pid() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return 0
	}
	return n.cmd.Process.Pid
}

// Freeze stops the process in its tracks.
func (n *Node) Freeze() {
	n.mu.Lock()
	n.struck.Begin("frozen")
	n.mu.Unlock()
	n.signal(syscall.SIGSTOP)
}

// Thaw lets a frozen process go on.
func (n *Node) Thaw() {
	n.signal(syscall.SIGCONT)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		n.struck.End()
	}
}

// Kill ends the process at once and waits for its end.
func (n *Node) Kill() {
	n.mu.Lock()
	c, d := n.cmd, n.done
	if c != nil {
		n.struck.Begin("killed")
	}
	n.mu.Unlock()
	if c == nil {
		return
	}
	_ = c.Process.Kill()
	<-d
}

// Term warns the process as the platform does, and kills it after six seconds.
// It tells whether the process ended by itself. What a gateway's stop cut off is for
// the checker to find.
func (n *Node) Term() bool {
	n.mu.Lock()
	c, d := n.cmd, n.done
	n.mu.Unlock()
	if c == nil {
		return true
	}
	from := time.Now()
	if n.Kind == "gateway" {
		defer func() { n.fleet.Rec.Stop(Stop{Gateway: n.ID, From: from, End: time.Now()}) }()
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
func (n *Node) Wipe() error { return os.RemoveAll(n.Data()) }

// Await polls ok until it holds or ctx ends.
func Await(ctx context.Context, ok func() bool) error {
	for !ok() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(30 * time.Millisecond):
		}
	}
	return nil
}
