package quorum

import (
	"bytes"
	"cmp"
	"context"
	"encoding/gob"
	"errors"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"walkrudder/internal/fault"
	"walkrudder/internal/item"
	"walkrudder/internal/link"
	"walkrudder/internal/steperr"
	"walkrudder/internal/storage"
)

const (
	itemPrefix = "i/"
	coreKey    = "core"
	diskKey    = "disk"
	ownerKey   = "owner"
	formKey    = "form"
	floorKey   = "floor/"
	// maxBatch bounds one group commit.
	maxBatch = 256
	// MaxValue bounds one item's value.
	MaxValue = 1 << 20
	// MaxKey bounds one item's key.
	MaxKey = 256
	// listPage bounds the bytes of one listing.
	listPage = 2 << 20
)

// ErrBad says that this voter's disk has failed; it votes no more.
var ErrBad = errors.New("disk failed, voting ended")

// Voter answers for the items on one disk. One goroutine owns all its state and
// works through a queue of commands; what a batch of them wrote is synced
// before any of them is answered (design 4.2, 5.1).
type Voter struct {
	me     Seat
	disk   storage.Disk
	faults *fault.Set
	cmds   chan *cmd
	onBad  func(error)
	line   link.Line
	// OnMerge is told of all merge items that were new here, also those that a join
	// pulled, after their sync and before the answer goes out. It is set before Run,
	// runs in the voter's loop, and must not ask the voter.
	OnMerge func([]item.Item)

	start []item.Item // merge items as loaded
	later atomic.Bool // no first core may be formed with this disk

	// Owned by the loop.
	items  map[string]Item
	keys   []string // sorted keys of items
	merged map[item.Key]item.Item
	// records are the item registers; bodiless are those that are being loaded and whose
	// body stands with the merge item.
	records  map[item.Key]record
	bodiless []item.Key
	taken    []item.Item // merge items new in this batch
	core     Core
	form     form
	floor    map[string]string
	puts     []storage.Put
	after    []int
	dead     error

	joining chan struct{} // holds a token while a join is under way
	pulled  *transfer     // of a join that is under way or broke off; guarded by joining

	mu   sync.RWMutex
	view Core // copies of core and form, for others
	cons form
}

type cmd struct {
	run  func()
	done chan struct{}
	err  error
}

// ErrOwner says that a disk holds another node's state.
var ErrOwner = errors.New("the data folder belongs to another node")

// NewVoter loads what the disk holds. fresh is the incarnation to take if the
// disk is empty; onBad is told once when the disk fails.
func NewVoter(me Seat, d storage.Disk, fresh string, l link.Line, fs *fault.Set, onBad func(error)) (*Voter, error) {
	v := &Voter{me: me, disk: d, faults: fs, line: l, onBad: onBad,
		cmds: make(chan *cmd, 4*maxBatch), joining: make(chan struct{}, 1), items: map[string]Item{}, floor: map[string]string{}, merged: map[item.Key]item.Item{}, records: map[item.Key]record{}}
	m, err := d.Load()
	if err != nil {
		return nil, steperr.At("load voter", "", err)
	}
	// The disk is one node's: under another name its votes would count twice, or for a
	// seat that others reach elsewhere.
	if o := string(m[ownerKey]); o != "" && o != me.ID {
		return nil, steperr.At("load voter", o, ErrOwner)
	}
	v.me.Disk = string(m[diskKey])
	if v.me.Disk == "" || m[ownerKey] == nil {
		v.me.Disk = cmp.Or(v.me.Disk, fresh)
		if err := d.Commit([]storage.Put{{Key: diskKey, Value: []byte(v.me.Disk)}, {Key: ownerKey, Value: []byte(me.ID)}}); err != nil {
			return nil, steperr.At("new incarnation", "", err)
		}
	}
	for k, b := range m {
		switch {
		case k == coreKey:
			err = unpack(b, &v.core)
		case k == formKey:
			err = unpack(b, &v.form)
		case strings.HasPrefix(k, floorKey):
			v.floor[k[len(floorKey):]] = string(b)
		case strings.HasPrefix(k, itemPrefix):
			var it Item
			if err = unpack(b, &it); err == nil {
				v.items[k[len(itemPrefix):]] = it
				v.keys = append(v.keys, k[len(itemPrefix):])
			}
		case strings.HasPrefix(k, mergePrefix):
			err = v.loadMerge(k, b)
		case strings.HasPrefix(k, recordPrefix):
			err = v.loadRecord(k, b)
		}
		if err != nil {
			return nil, steperr.At("load item "+k, "", err)
		}
	}
	if err := v.completeRecords(); err != nil {
		return nil, err
	}
	slices.Sort(v.keys)
	v.view, v.cons = v.core, v.form
	return v, nil
}

// Seat is this voter's own place.
func (v *Voter) Seat() Seat { return v.me }

// Core is the core this voter knows.
func (v *Voter) Core() Core {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.view
}

// Voting tells whether this disk has a seat in the core it knows.
func (v *Voter) Voting() bool { return v.seated(v.Core()) }

func (v *Voter) seated(c Core) bool {
	s, ok := c.Seat(v.me.ID)
	return ok && s.Disk == v.me.Disk
}

// Run works through the queue until ctx ends.
func (v *Voter) Run(ctx context.Context) {
	for {
		var b []*cmd
		select {
		case <-ctx.Done():
			return
		case c := <-v.cmds:
			b = append(b, c)
		}
	fill:
		for len(b) < maxBatch {
			select {
			case c := <-v.cmds:
				b = append(b, c)
			default:
				break fill
			}
		}
		v.batch(b)
	}
}

// batch runs commands, syncs what they wrote, then lets them answer.
func (v *Voter) batch(b []*cmd) {
	v.puts, v.after, v.taken = v.puts[:0], v.after[:0], nil
	for _, c := range b {
		if v.dead == nil {
			c.run()
		}
	}
	if v.dead == nil && len(v.puts) > 0 {
		if err := v.disk.Commit(v.puts); err != nil {
			v.dead = errors.Join(ErrBad, err)
			if v.onBad != nil {
				v.onBad(v.dead)
			}
		}
	}
	for _, n := range v.after {
		v.faults.At(n)
	}
	// In this order: who sees that this disk votes must find in its memory what it pulled
	// for that.
	if v.dead == nil && len(v.taken) > 0 && v.OnMerge != nil {
		v.OnMerge(v.taken)
	}
	v.mu.Lock()
	v.view, v.cons = v.core, v.form
	v.mu.Unlock()
	for _, c := range b {
		c.err = v.dead
		close(c.done)
	}
}

// do runs f in the loop and waits until its writes are synced.
func (v *Voter) do(ctx context.Context, f func()) error {
	c := &cmd{run: f, done: make(chan struct{})}
	select {
	case v.cmds <- c:
	case <-ctx.Done():
		return steperr.At("voter queue", v.me.ID, ctx.Err())
	}
	select {
	case <-c.done:
		return c.err
	case <-ctx.Done():
		return steperr.At("voter", v.me.ID, ctx.Err())
	}
}

// get runs f in the loop and hands its result on once its writes are synced.
func get[T any](ctx context.Context, v *Voter, f func() T) (T, error) {
	ch := make(chan T, 1)
	if err := v.do(ctx, func() { ch <- f() }); err != nil {
		var z T
		return z, err
	}
	return <-ch, nil
}

// told checks an ask's mark against this voter's seat.
func (v *Voter) told(m Mark) Told {
	ok := m.Epoch == v.core.Epoch && v.core.Epoch > 0 && v.seated(v.core) &&
		(m.Disk == "" || m.Disk == v.me.Disk)
	t := Told{OK: ok, Disk: v.me.Disk}
	if !ok {
		t.Core = v.core
	}
	return t
}

// Serve teaches d to answer for this voter.
func (v *Voter) Serve(d *link.Desk) {
	link.On(d, v.prepare)
	link.On(d, v.accept)
	link.On(d, v.read)
	link.On(d, v.list)
	link.On(d, v.formed)
	link.On(d, v.seal)
	link.On(d, v.join)
	link.On(d, v.lift)
	link.On(d, v.merge)
	link.On(d, v.listMerged)
	link.On(d, v.offer)
	link.On(d, v.decide)
	link.On(d, v.listRecords)
	link.On(d, v.trace)
}

type (
	// LiftAsk raises the floor under Prefix: items below Floor were folded into
	// an item above it and may go (design 6.5).
	LiftAsk struct {
		Mark
		Prefix string
		Floor  string
	}
	// LiftTold answers it.
	LiftTold struct {
		Told
		Gone int
	}
)

func pack(x any) []byte {
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(x); err != nil {
		// Only our own fixed types come here.
		panic(err)
	}
	return b.Bytes()
}

func unpack(b []byte, x any) error { return gob.NewDecoder(bytes.NewReader(b)).Decode(x) }
