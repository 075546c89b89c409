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
	// Keys and key prefixes on disk. floorPrefix is followed by the prefix that the floor applies to.
	registerPrefix = "i/"
	coreKey        = "core"
	diskKey        = "disk"
	ownerKey       = "owner"
	consentKey     = "form"
	floorPrefix    = "floor/"
	// maxBatch bounds the number of commands in one group commit.
	maxBatch = 256
	// MaxValueBytes bounds the value of one register and the body of one merge item.
	MaxValueBytes = 1 << 20
	// MaxKeyBytes bounds the key of one register.
	MaxKeyBytes = 256
	// maxPageBytes bounds the estimated size of one page of a listing.
	maxPageBytes = 2 << 20
)

// ErrDiskFailed is returned after the voter's disk has failed: the voter stops voting.
var ErrDiskFailed = errors.New("disk failed; this voter has stopped voting")

// Voter serves requests for the state on one disk. One goroutine owns all its state and
// processes a queue of commands in batches; the writes of a batch are synced before any of its
// commands is answered (design 4.2, 5.1).
type Voter struct {
	self          Seat
	disk          storage.Disk
	faults        *fault.Set
	commands      chan *command
	onDiskFailure func(error)
	transport     link.Transport
	// OnMerge is called with all merge items that are new to this voter, including those pulled
	// by a join, after they are synced and before the response is sent. It must be set before
	// Run. It is called from the voter's goroutine and must not call the voter.
	OnMerge func([]item.Item)

	loadedMergeItems []item.Item // as loaded by NewVoter
	refuseNewConsent atomic.Bool // this disk may not take part in forming a first core

	// Owned by the goroutine of Run.
	registers    map[string]Item
	registerKeys []string // sorted keys of registers
	mergeItems   map[item.Key]item.Item
	// records holds the item registers. incompleteRecords lists, while loading, those whose body
	// is stored with the merge item.
	records           map[item.Key]record
	incompleteRecords []item.Key
	newMergeItems     []item.Item // new in the current batch
	core              Core
	consent           form
	floors            map[string]string
	puts              []storage.Put
	faultsAfterSync   []int
	diskErr           error

	joinToken       chan struct{} // holds a token while a join is in progress
	partialTransfer *transfer     // state of a running or interrupted join; guarded by joinToken

	mu          sync.RWMutex
	coreCopy    Core // copies of core and consent for other goroutines
	consentCopy form
}

type command struct {
	run  func()
	done chan struct{}
	err  error
}

// ErrWrongOwner is returned for a disk that holds the state of another node.
var ErrWrongOwner = errors.New("the data folder belongs to another node")

// NewVoter loads a voter from its disk. newIncarnation is used if the disk is empty;
// onDiskFailure is called once if the disk fails.
func NewVoter(self Seat, d storage.Disk, newIncarnation string, transport link.Transport, faults *fault.Set, onDiskFailure func(error)) (*Voter, error) {
	v := &Voter{self: self, disk: d, faults: faults, transport: transport, onDiskFailure: onDiskFailure,
		commands: make(chan *command, 4*maxBatch), joinToken: make(chan struct{}, 1), registers: map[string]Item{}, floors: map[string]string{}, mergeItems: map[item.Key]item.Item{}, records: map[item.Key]record{}}
	values, err := d.Load()
	if err != nil {
		return nil, steperr.Wrap("load voter", "", err)
	}
	// A disk belongs to one node: under another node's ID its votes would count twice, or count
	// for a seat that other nodes reach at another address.
	if owner := string(values[ownerKey]); owner != "" && owner != self.ID {
		return nil, steperr.Wrap("load voter", owner, ErrWrongOwner)
	}
	v.self.Disk = string(values[diskKey])
	if v.self.Disk == "" || values[ownerKey] == nil {
		v.self.Disk = cmp.Or(v.self.Disk, newIncarnation)
		if err := d.Commit([]storage.Put{{Key: diskKey, Value: []byte(v.self.Disk)}, {Key: ownerKey, Value: []byte(self.ID)}}); err != nil {
			return nil, steperr.Wrap("new incarnation", "", err)
		}
	}
	for k, b := range values {
		switch {
		case k == coreKey:
			err = decodeGob(b, &v.core)
		case k == consentKey:
			err = decodeGob(b, &v.consent)
		case strings.HasPrefix(k, floorPrefix):
			v.floors[k[len(floorPrefix):]] = string(b)
		case strings.HasPrefix(k, registerPrefix):
			var it Item
			if err = decodeGob(b, &it); err == nil {
				v.registers[k[len(registerPrefix):]] = it
				v.registerKeys = append(v.registerKeys, k[len(registerPrefix):])
			}
		case strings.HasPrefix(k, mergePrefix):
			err = v.loadMergeItem(k, b)
		case strings.HasPrefix(k, recordPrefix):
			err = v.loadRecord(k, b)
		}
		if err != nil {
			return nil, steperr.Wrap("load item "+k, "", err)
		}
	}
	if err := v.completeRecords(); err != nil {
		return nil, err
	}
	slices.Sort(v.registerKeys)
	v.coreCopy, v.consentCopy = v.core, v.consent
	return v, nil
}

// Seat returns this voter's own seat.
func (v *Voter) Seat() Seat { return v.self }

// Core returns the newest core that this voter knows.
func (v *Voter) Core() Core {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.coreCopy
}

// Voting reports whether this disk has a seat in the core that the voter knows.
func (v *Voter) Voting() bool { return v.hasSeatIn(v.Core()) }

func (v *Voter) hasSeatIn(c Core) bool {
	s, ok := c.Seat(v.self.ID)
	return ok && s.Disk == v.self.Disk
}

// Run processes the command queue until ctx ends.
func (v *Voter) Run(ctx context.Context) {
	for {
		var b []*command
		select {
		case <-ctx.Done():
			return
		case c := <-v.commands:
			b = append(b, c)
		}
	fill:
		for len(b) < maxBatch {
			select {
			case c := <-v.commands:
				b = append(b, c)
			default:
				break fill
			}
		}
		v.runBatch(b)
	}
}

// runBatch runs commands, syncs their writes, then completes them.
func (v *Voter) runBatch(b []*command) {
	v.puts, v.faultsAfterSync, v.newMergeItems = v.puts[:0], v.faultsAfterSync[:0], nil
	for _, c := range b {
		if v.diskErr == nil {
			c.run()
		}
	}
	if v.diskErr == nil && len(v.puts) > 0 {
		if err := v.disk.Commit(v.puts); err != nil {
			v.diskErr = errors.Join(ErrDiskFailed, err)
			if v.onDiskFailure != nil {
				v.onDiskFailure(v.diskErr)
			}
		}
	}
	for _, n := range v.faultsAfterSync {
		v.faults.Hit(n)
	}
	// OnMerge must run before coreCopy is updated: whoever sees that this disk votes must find
	// the merge items that it pulled for the new core in memory.
	if v.diskErr == nil && len(v.newMergeItems) > 0 && v.OnMerge != nil {
		v.OnMerge(v.newMergeItems)
	}
	v.mu.Lock()
	v.coreCopy, v.consentCopy = v.core, v.consent
	v.mu.Unlock()
	for _, c := range b {
		c.err = v.diskErr
		close(c.done)
	}
}

// do runs f in the voter's goroutine and waits until its writes are synced.
func (v *Voter) do(ctx context.Context, f func()) error {
	c := &command{run: f, done: make(chan struct{})}
	select {
	case v.commands <- c:
	case <-ctx.Done():
		return steperr.Wrap("voter queue", v.self.ID, ctx.Err())
	}
	select {
	case <-c.done:
		return c.err
	case <-ctx.Done():
		return steperr.Wrap("voter", v.self.ID, ctx.Err())
	}
}

// doResult is like Voter.do and returns the result of f.
func doResult[T any](ctx context.Context, v *Voter, f func() T) (T, error) {
	ch := make(chan T, 1)
	if err := v.do(ctx, func() { ch <- f() }); err != nil {
		var z T
		return z, err
	}
	return <-ch, nil
}

// checkMark compares the header of a request with this voter's epoch and disk and returns the
// response header.
func (v *Voter) checkMark(m Mark) Told {
	ok := m.Epoch == v.core.Epoch && v.core.Epoch > 0 && v.hasSeatIn(v.core) &&
		(m.Disk == "" || m.Disk == v.self.Disk)
	t := Told{OK: ok, Disk: v.self.Disk}
	if !ok {
		t.Core = v.core
	}
	return t
}

// Serve registers this voter's request handlers with mux.
func (v *Voter) Serve(mux *link.Mux) {
	link.Handle(mux, v.prepare)
	link.Handle(mux, v.accept)
	link.Handle(mux, v.read)
	link.Handle(mux, v.list)
	link.Handle(mux, v.handleForm)
	link.Handle(mux, v.seal)
	link.Handle(mux, v.join)
	link.Handle(mux, v.raiseFloor)
	link.Handle(mux, v.merge)
	link.Handle(mux, v.listMerged)
	link.Handle(mux, v.offer)
	link.Handle(mux, v.decide)
	link.Handle(mux, v.listRecords)
	link.Handle(mux, v.trace)
}

type (
	// LiftAsk raises the floor under Prefix: registers with keys below Floor are no longer needed,
	// for example because a register above it contains their state, and are deleted (design 6.5).
	LiftAsk struct {
		Mark
		Prefix string
		Floor  string
	}
	// LiftTold is the response to LiftAsk; Gone counts the deleted registers.
	LiftTold struct {
		Told
		Gone int
	}
)

func encodeGob(x any) []byte {
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(x); err != nil {
		// Only fixed types of this package are encoded here.
		panic(err)
	}
	return b.Bytes()
}

func decodeGob(b []byte, x any) error { return gob.NewDecoder(bytes.NewReader(b)).Decode(x) }
