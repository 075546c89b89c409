package control

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"walkrudder/internal/keep"
	"walkrudder/internal/link"
	"walkrudder/internal/pulse"
)

// network carries questions between the hosts of a test, each copied through gob as on
// a real link. Ways can be cut in one direction; what is lost is noticed only by the
// asker's patience.
type network struct {
	mu    sync.Mutex
	rnd   *rand.Rand
	hosts map[string]*host
	cuts  map[[2]string]bool // from, to
	asks  map[string]int     // by kind of question
	bytes int
	// codecs are those at rest. A pool of the library's would drop some at random.
	codecs []*codec
}

func newNetwork(rnd *rand.Rand) *network {
	return &network{rnd: rnd, hosts: map[string]*host{}, cuts: map[[2]string]bool{}, asks: map[string]int{}}
}

func (n *network) delay() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return 200*time.Microsecond + time.Duration(n.rnd.Int64N(int64(1800*time.Microsecond)))
}

func (n *network) passes(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.cuts[[2]string{from, to}]
}

func (n *network) cut(from, to string, both bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]string{from, to}] = true
	if both {
		n.cuts[[2]string{to, from}] = true
	}
}

func (n *network) mend() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts = map[[2]string]bool{}
}

func (n *network) host(addr string) *host {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hosts[addr]
}

// host is a machine: its process can be killed, it can freeze, its disk outlives both.
type host struct {
	addr string
	net  *network
	disk *disk // nil without one

	mu   sync.Mutex
	run  context.Context // of the process, nil before the first
	end  context.CancelFunc
	done chan struct{}
	desk *link.Desk
	ice  chan struct{} // closed on thaw
}

func (n *network) add(addr string, d *disk) *host {
	h := &host{addr: addr, net: n, disk: d}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[addr] = h
	return h
}

func (h *host) freeze() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ice == nil {
		h.ice = make(chan struct{})
	}
}

func (h *host) thaw() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ice != nil {
		close(h.ice)
		h.ice = nil
	}
}

// awake waits while the host is frozen.
func (h *host) awake() {
	for {
		h.mu.Lock()
		ice := h.ice
		h.mu.Unlock()
		if ice == nil {
			return
		}
		<-ice
	}
}

// up is the context of the running process, nil when there is none.
func (h *host) up() (context.Context, *link.Desk) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.run == nil || h.run.Err() != nil {
		return nil, nil
	}
	return h.run, h.desk
}

// start begins a new process; main runs until its context ends.
func (h *host) start(ctx context.Context, desk *link.Desk, run context.Context, end context.CancelFunc, main func(context.Context)) {
	done := make(chan struct{})
	h.mu.Lock()
	h.run, h.end, h.done, h.desk = run, end, done, desk
	h.mu.Unlock()
	go func() {
		defer close(done)
		main(run)
	}()
}

// kill ends the process at once, and waits until nothing of it is left.
func (h *host) kill() {
	h.mu.Lock()
	end, done := h.end, h.done
	h.mu.Unlock()
	if end == nil {
		return
	}
	end()
	h.thaw()
	<-done
}

// wire is a process's end of the network.
type wire struct {
	h   *host
	run context.Context
}

var errRefused = errors.New("connection refused")

type parcel struct{ V any }

// codec is both ends of one gob stream, through which a type's description travels
// once, as on a real link.
type codec struct {
	b   bytes.Buffer
	enc *gob.Encoder
	dec *gob.Decoder
}

func newCodec() *codec {
	c := &codec{}
	c.enc, c.dec = gob.NewEncoder(&c.b), gob.NewDecoder(&c.b)
	return c
}

func (n *network) copy(v any) (any, error) {
	n.mu.Lock()
	var c *codec
	if k := len(n.codecs); k > 0 {
		c, n.codecs = n.codecs[k-1], n.codecs[:k-1]
	} else {
		c = newCodec()
	}
	n.mu.Unlock()
	if err := c.enc.Encode(parcel{v}); err != nil {
		return nil, err
	}
	n.mu.Lock()
	n.bytes += c.b.Len()
	n.asks[fmt.Sprintf("%T", v)]++
	n.mu.Unlock()
	var p parcel
	if err := c.dec.Decode(&p); err != nil {
		return nil, err
	}
	n.mu.Lock()
	n.codecs = append(n.codecs, c)
	n.mu.Unlock()
	return p.V, nil
}

type answer struct {
	v   any
	err error
}

// Call asks the process at addr.
func (w *wire) Call(ctx context.Context, addr string, ask any) (any, error) {
	w.h.awake()
	if err := w.run.Err(); err != nil {
		return nil, err
	}
	n := w.h.net
	ask, err := n.copy(ask)
	if err != nil {
		return nil, err
	}
	back := make(chan answer, 1)
	go w.carry(ctx, addr, ask, back)
	cx, end := context.WithTimeout(ctx, 5*time.Second)
	defer end()
	select {
	case a := <-back:
		w.h.awake()
		return a.v, a.err
	case <-cx.Done():
		w.h.awake()
		return nil, cx.Err()
	case <-w.run.Done():
		return nil, w.run.Err()
	}
}

// carry takes the question there and the answer back.
func (w *wire) carry(ctx context.Context, addr string, ask any, back chan<- answer) {
	n := w.h.net
	time.Sleep(n.delay())
	h := n.host(addr)
	if h == nil || !n.passes(w.h.addr, addr) {
		return
	}
	run, desk := h.up()
	if run == nil {
		if time.Sleep(n.delay()); n.passes(addr, w.h.addr) {
			back <- answer{nil, errRefused}
		}
		return
	}
	h.awake()
	cx, end := context.WithCancel(run)
	if d, ok := ctx.Deadline(); ok {
		cx, end = context.WithDeadline(run, d)
	}
	v, err := desk.Answer(cx, link.Who{ID: w.h.addr}, ask)
	end()
	h.awake()
	if run.Err() != nil {
		return
	}
	if err == nil {
		v, err = n.copy(v)
	}
	if time.Sleep(n.delay()); n.passes(addr, w.h.addr) {
		back <- answer{v, err}
	}
}

// clock stands still while its host is frozen, and shows the whole pause afterwards.
type clock struct {
	pulse.Wall
	h *host
}

func (c clock) Sleep(ctx context.Context, d time.Duration) error {
	err := c.Wall.Sleep(ctx, d)
	c.h.awake()
	return err
}

// disk is a disk in memory. What a killed process was writing is torn.
type disk struct {
	mu     sync.Mutex
	rnd    *rand.Rand
	synced map[string][]byte
	notes  [][]byte // the journal
}

func newDisk(rnd *rand.Rand) *disk { return &disk{rnd: rnd, synced: map[string][]byte{}} }

func (d *disk) wipe() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.synced, d.notes = map[string][]byte{}, nil
}

func (d *disk) holds(text string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for k, v := range d.synced {
		if bytes.Contains([]byte(k), []byte(text)) || bytes.Contains(v, []byte(text)) {
			return true
		}
	}
	return false
}

// handle is one process's use of a disk.
type handle struct {
	h   *host
	run context.Context
	// calm is set while the process starts.
	calm bool
}

var errDead = errors.New("process ended")

func (x *handle) Load() (map[string][]byte, error) {
	x.h.disk.mu.Lock()
	defer x.h.disk.mu.Unlock()
	out := map[string][]byte{}
	for k, v := range x.h.disk.synced {
		out[k] = bytes.Clone(v)
	}
	return out, nil
}

func (x *handle) Commit(puts []keep.Put) error {
	d := x.h.disk
	if !x.calm {
		d.mu.Lock()
		t := 200*time.Microsecond + time.Duration(d.rnd.Int64N(int64(3*time.Millisecond)))
		d.mu.Unlock()
		x.h.awake()
		time.Sleep(t)
		x.h.awake()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	dead := x.run.Err() != nil
	for _, p := range puts {
		if dead && d.rnd.IntN(2) == 0 {
			break
		}
		if p.Value == nil {
			delete(d.synced, p.Key)
		} else {
			d.synced[p.Key] = bytes.Clone(p.Value)
		}
	}
	if dead {
		return errDead
	}
	return nil
}

func (x *handle) Close() error { return nil }
