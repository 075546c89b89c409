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

// form is a node's consent to a first core (design 4.5).
type form struct {
	By   string
	Core Core
}

// next tells what becomes of the consent and of the core known when a is asked, and
// whether a is granted. free says that a new consent may be given.
func (f form) next(known Core, a FormAsk, free bool) (form, Core, bool) {
	same := f.By == a.By && slices.Equal(f.Core.Seats, a.Core.Seats)
	switch {
	case known.Epoch > 0:
		return f, known, same && a.Seal
	case a.Drop:
		if f.By == a.By {
			f = form{}
		}
		return f, known, true
	case a.Seal:
		if same {
			known = a.Core
		}
		return f, known, same
	case f.By == "" && free && a.Core.Epoch == 1:
		return form{a.By, a.Core}, known, true
	}
	return f, known, same
}

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
	taken  []item.Item // merge items new in this batch
	core   Core
	form   form
	floor  map[string]string
	puts   []storage.Put
	after  []int
	dead   error

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
		cmds: make(chan *cmd, 4*maxBatch), items: map[string]Item{}, floor: map[string]string{}, merged: map[item.Key]item.Item{}}
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
		}
		if err != nil {
			return nil, steperr.At("load item "+k, "", err)
		}
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

// Consent is the formation this voter consented to, and its proposer.
func (v *Voter) Consent() (string, Core) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.cons.By, v.cons.Core
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

func (v *Voter) set(k string, it Item) {
	if _, old := v.items[k]; !old {
		i, _ := slices.BinarySearch(v.keys, k)
		v.keys = slices.Insert(v.keys, i, k)
	}
	v.items[k] = it
	v.puts = append(v.puts, storage.Put{Key: itemPrefix + k, Value: pack(it)})
}

// below tells whether k was folded away for good (design 6.5).
func (v *Voter) below(k string) bool {
	for p, f := range v.floor {
		if strings.HasPrefix(k, p) && k < f {
			return true
		}
	}
	return false
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
}

func (v *Voter) prepare(ctx context.Context, _ link.Who, a PrepareAsk) (r PrepareTold, err error) {
	return get(ctx, v, func() (r PrepareTold) {
		if r.Told = v.told(a.Mark); !r.OK || len(a.Key) > MaxKey || v.below(a.Key) {
			return r
		}
		it := v.items[a.Key]
		if a.Ballot.Compare(it.Promised) > 0 && a.Ballot.Compare(it.Accepted) > 0 {
			v.faults.At(fault.BeforePromise)
			v.after = append(v.after, fault.AfterPromise)
			it.Promised = a.Ballot
			v.set(a.Key, it)
			r.Yes = true
		}
		r.Item = it
		return r
	})
}

func (v *Voter) accept(ctx context.Context, _ link.Who, a AcceptAsk) (r AcceptTold, err error) {
	if len(a.Value) > MaxValue {
		return r, steperr.New("accept", v.me.ID, "value of %d bytes, limit %d", len(a.Value), MaxValue)
	}
	return get(ctx, v, func() (r AcceptTold) {
		if r.Told = v.told(a.Mark); !r.OK || a.Disk == "" || v.below(a.Key) {
			r.OK = r.OK && a.Disk != ""
			return r
		}
		it := v.items[a.Key]
		if r.Promised = it.Promised; a.Ballot.Compare(it.Promised) >= 0 && a.Ballot.Compare(it.Accepted) >= 0 {
			v.faults.At(fault.BeforeAccept)
			v.after = append(v.after, fault.AfterAccept)
			v.set(a.Key, Item{Promised: a.Ballot, Accepted: a.Ballot, Value: a.Value})
			r.Yes = true
		}
		return r
	})
}

func (v *Voter) read(ctx context.Context, _ link.Who, a ReadAsk) (r ReadTold, err error) {
	return get(ctx, v, func() (r ReadTold) {
		if r.Told = v.told(a.Mark); r.OK {
			r.Item = v.items[a.Key]
		}
		return r
	})
}

func (v *Voter) list(ctx context.Context, _ link.Who, a ListAsk) (r ListTold, err error) {
	return get(ctx, v, func() (r ListTold) {
		r.Told = v.told(a.Mark)
		// A voter that was swapped out still lets its successor pull.
		if !r.OK && !(a.All && a.Epoch == v.core.Epoch) {
			return r
		}
		r.OK = true
		if a.Last {
			r.Entries = v.last(a.Prefix)
			return r
		}
		r.Entries, r.More = v.page(a)
		return r
	})
}

func (v *Voter) last(prefix string) []Entry {
	i, _ := slices.BinarySearch(v.keys, prefix+"\xff")
	for i--; i >= 0 && strings.HasPrefix(v.keys[i], prefix); i-- {
		if it := v.items[v.keys[i]]; !it.Accepted.Zero() {
			return []Entry{{v.keys[i], it}}
		}
	}
	return nil
}

func (v *Voter) page(a ListAsk) (out []Entry, more bool) {
	i, _ := slices.BinarySearch(v.keys, max(a.Prefix, a.After))
	n := 0
	for ; i < len(v.keys) && strings.HasPrefix(v.keys[i], a.Prefix); i++ {
		k := v.keys[i]
		it := v.items[k]
		if k <= a.After || (!a.All && it.Accepted.Zero()) {
			continue
		}
		if n += len(k) + len(it.Value) + 64; len(out) > 0 && (n > listPage || (a.Max > 0 && len(out) >= a.Max)) {
			return out, true
		}
		out = append(out, Entry{k, it})
	}
	return out, false
}

// formed consents to a first core, drops a consent, or seals the core (design
// 4.5). A consent binds until its own proposer drops it. A seed is asked also where
// it gets no seat; its disk tells whether it has one.
func (v *Voter) formed(ctx context.Context, _ link.Who, a FormAsk) (r FormTold, err error) {
	return get(ctx, v, func() (r FormTold) {
		f, c, ok := v.form.next(v.core, a, !v.later.Load())
		r.Core, r.By, r.OK, r.Disk = v.core, f.By, ok, v.me.Disk
		if f.By != v.form.By || !slices.Equal(f.Core.Seats, v.form.Core.Seats) {
			v.setForm(f)
		}
		if c.Epoch > v.core.Epoch {
			v.setCore(c)
		}
		return r
	})
}

// Adopt lets a voter that consented to c take it, once c is known to be sealed
// elsewhere.
func (v *Voter) Adopt(ctx context.Context, c Core) error {
	return v.do(ctx, func() {
		if v.core.Epoch == 0 && c.Epoch == 1 && slices.Equal(v.form.Core.Seats, c.Seats) {
			v.setCore(c)
		}
	})
}

func (v *Voter) setForm(f form) {
	v.form = f
	v.puts = append(v.puts, storage.Put{Key: formKey, Value: pack(f)})
}

func (v *Voter) setCore(c Core) {
	v.core = c
	v.puts = append(v.puts, storage.Put{Key: coreKey, Value: pack(c)})
}

// seal moves this voter to the next epoch: it accepts nothing more in the one
// before (design 4.4).
func (v *Voter) seal(ctx context.Context, _ link.Who, a SealAsk) (r SealTold, err error) {
	return get(ctx, v, func() (r SealTold) {
		switch {
		case v.core.Epoch == a.Next.Epoch:
			r.OK = true
		case v.core.Epoch > 0 && a.Next.Epoch == v.core.Epoch+1 && v.seated(v.core):
			v.setCore(a.Next)
			r.OK = true
		}
		r.Disk, r.Core = v.me.Disk, v.core
		return r
	})
}

// join pulls every item from the former voters and only then votes in the next
// core (design 4.4). A promise that this node gave on an earlier disk is not
// among them, but no accept that relies on it can reach this seat: it carries
// the earlier incarnation.
func (v *Voter) join(ctx context.Context, _ link.Who, a JoinAsk) (r JoinTold, err error) {
	if !v.seated(a.Next) {
		return r, steperr.New("join", v.me.ID, "no seat in epoch %d for disk %s", a.Next.Epoch, v.me.Disk)
	}
	if c := v.Core(); c.Epoch >= a.Next.Epoch && v.seated(c) {
		return JoinTold{OK: c.Epoch == a.Next.Epoch}, nil
	}
	all, merged := map[string]Item{}, map[item.Key]item.Item{}
	for _, s := range a.From {
		if err := v.pull(ctx, s, a.Next.Epoch, all); err != nil {
			return r, err
		}
		if err := v.pullMerged(ctx, s, a.Next.Epoch, merged); err != nil {
			return r, err
		}
	}
	v.faults.At(fault.AfterPull)
	return get(ctx, v, func() (r JoinTold) {
		if v.core.Epoch >= a.Next.Epoch && v.seated(v.core) {
			r.OK = v.core.Epoch == a.Next.Epoch
			return r
		}
		for k, it := range all {
			if old, ok := v.items[k]; ok && old.Accepted.Compare(it.Accepted) > 0 {
				continue
			}
			v.set(k, it)
		}
		for _, it := range merged {
			v.take(it)
		}
		v.setCore(a.Next)
		r.OK, r.Items = true, len(all)+len(merged)
		return r
	})
}

func (v *Voter) pull(ctx context.Context, s Seat, epoch uint64, into map[string]Item) error {
	after := ""
	for {
		t, err := link.Ask[ListTold](ctx, v.line, s.Addr, ListAsk{Mark: Mark{Epoch: epoch}, After: after, All: true})
		if err != nil {
			return steperr.At("pull", s.ID, err)
		}
		if !t.OK || t.Disk != s.Disk {
			return steperr.New("pull", s.ID, "not sealed for epoch %d", epoch)
		}
		for _, e := range t.Entries {
			o := into[e.Key]
			if e.Item.Accepted.Compare(o.Accepted) > 0 {
				o.Accepted, o.Value = e.Item.Accepted, e.Item.Value
			}
			if e.Item.Promised.Compare(o.Promised) > 0 {
				o.Promised = e.Item.Promised
			}
			into[e.Key] = o
			after = e.Key
		}
		if !t.More {
			return nil
		}
	}
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

func (v *Voter) lift(ctx context.Context, _ link.Who, a LiftAsk) (r LiftTold, err error) {
	return get(ctx, v, func() (r LiftTold) {
		if r.Told = v.told(a.Mark); !r.OK || a.Prefix == "" || !strings.HasPrefix(a.Floor, a.Prefix) || a.Floor <= v.floor[a.Prefix] {
			return r
		}
		v.floor[a.Prefix] = a.Floor
		v.puts = append(v.puts, storage.Put{Key: floorKey + a.Prefix, Value: []byte(a.Floor)})
		i, _ := slices.BinarySearch(v.keys, a.Prefix)
		j, _ := slices.BinarySearch(v.keys, a.Floor)
		for _, k := range v.keys[i:j] {
			delete(v.items, k)
			v.puts = append(v.puts, storage.Put{Key: itemPrefix + k})
		}
		r.Gone = j - i
		v.keys = slices.Delete(v.keys, i, j)
		return r
	})
}

func pack(x any) []byte {
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(x); err != nil {
		// Only our own fixed types come here.
		panic(err)
	}
	return b.Bytes()
}

func unpack(b []byte, x any) error { return gob.NewDecoder(bytes.NewReader(b)).Decode(x) }
