package stand

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"walkrudder/internal/httpapi"
)

// Kind is one kind of call in the mix.
type Kind struct {
	Method     string
	Path       string
	Service    string
	Repeatable bool
	Rate       float64 // a second, over all callers
	Size       int     // of the answer, where set
	Post       int     // bytes of the request's body
	// Loose says that the path is bound and unbound again: to be told that nothing is
	// bound there is expected.
	Loose bool
}

// Platform stands for the one address: it asks each gateway once a second whether
// it is ready and spreads calls over those that are.
type Platform struct {
	Doors func() []string
	// Name tells which node a door belongs to.
	Name  func(door string) string
	mu    sync.Mutex
	ready []string
}

var asker = &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}

// Ready asks one node.
func Ready(door string) bool {
	r, err := asker.Get("http://" + door + httpapi.ReadyPath)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_ = r.Body.Close()
	return r.StatusCode == 200
}

// Run asks until ctx ends.
func (p *Platform) Run(ctx context.Context) {
	for ctx.Err() == nil {
		p.Ask()
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
	}
}

// Ask asks every node once.
func (p *Platform) Ask() {
	ds := p.Doors()
	ok := make([]bool, len(ds))
	var wg sync.WaitGroup
	for i, d := range ds {
		wg.Go(func() { ok[i] = Ready(d) })
	}
	wg.Wait()
	var l []string
	for i, d := range ds {
		if ok[i] {
			l = append(l, d)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ready = l
}

// Pick chooses a ready node.
func (p *Platform) Pick() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.ready) == 0 {
		return ""
	}
	return p.ready[rand.IntN(len(p.ready))]
}

// Callers makes calls at the kinds' rates and writes each outcome down.
type Callers struct {
	Kinds    []Kind
	Platform *Platform
	Rec      *Records
	Run      string // makes orders differ between runs
	n        atomic.Uint64
	wg       sync.WaitGroup
	open     atomic.Int64
}

var caller = &http.Client{Timeout: 15 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second}}

// maxOpen bounds the calls under way.
const maxOpen = 2000

// Go calls until ctx ends, then waits for the calls under way.
func (c *Callers) Go(ctx context.Context) {
	for _, k := range c.Kinds {
		if k.Rate <= 0 {
			continue
		}
		c.wg.Go(func() {
			next := time.Now()
			for ctx.Err() == nil {
				// Arrivals without memory, at the kind's rate.
				next = next.Add(time.Duration(rand.ExpFloat64() / k.Rate * float64(time.Second)))
				select {
				case <-ctx.Done():
					return
				case <-time.After(time.Until(next)):
				}
				if c.open.Load() >= maxOpen {
					continue
				}
				c.open.Add(1)
				c.wg.Go(func() {
					defer c.open.Add(-1)
					c.Insist(k)
				})
			}
		})
	}
	c.wg.Wait()
}

// Insist makes one call and, for an order whose outcome its caller does not know,
// up to three more under the same key through whichever gateway comes.
func (c *Callers) Insist(k Kind) {
	order := fmt.Sprintf("%s-%d", c.Run, c.n.Add(1))
	o := c.Call(k, order, "")
	for i := 0; i < 3 && !k.Repeatable && (o.Status >= 300 || o.Err != "") && o.Code != httpapi.AlreadyRun; i++ {
		time.Sleep(time.Duration(100+rand.IntN(1400)) * time.Millisecond)
		o = c.Call(k, order, "")
	}
}

// Call makes one call and notes its outcome; an empty order or door is chosen.
func (c *Callers) Call(k Kind, order, door string) Outcome { return c.call(k, order, door, "") }

// call is Call by a client with a name, who is not proper, or by any.
func (c *Callers) call(k Kind, order, door, client string) Outcome {
	if order == "" {
		order = fmt.Sprintf("%s-%d", c.Run, c.n.Add(1))
	}
	if door == "" {
		door = c.Platform.Pick()
	}
	o := Outcome{Order: order, Path: k.Path, Service: k.Service, Repeatable: k.Repeatable, Proper: !k.Loose && client == "", Sent: time.Now(), Gateway: c.Platform.Name(door)}
	defer func() { o.Done = time.Now(); c.Rec.Outcome(o) }()
	if door == "" {
		o.Err = NoNode
		return o
	}
	u := "http://" + door + k.Path
	if k.Size > 0 {
		u += fmt.Sprintf("?size=%d", k.Size)
	}
	var in io.Reader
	if k.Post > 0 {
		in = bytes.NewReader(bytes.Repeat([]byte("p"), k.Post))
	}
	q, err := http.NewRequest(k.Method, u, in)
	if err != nil {
		o.Err = err.Error()
		return o
	}
	// The standard client sends again by itself when a kept link turns out dead;
	// a body without GetBody keeps it from that.
	q.GetBody = nil
	q.Header.Set(OrderField, order)
	if client != "" {
		q.Header.Set(httpapi.ClientHeader, client)
	}
	if !k.Repeatable {
		q.Header.Set(httpapi.KeyHeader, order)
	}
	r, err := caller.Do(q)
	if err != nil {
		o.Err = err.Error()
		return o
	}
	defer r.Body.Close()
	o.Call = r.Header.Get(httpapi.CallHeader)
	o.Status, o.Stamp, o.Retry = r.StatusCode, r.Header.Get(httpapi.StampHeader), r.Header.Get("Retry-After")
	raw, err := io.ReadAll(io.LimitReader(r.Body, 64<<20))
	if err != nil {
		o.Err = err.Error()
		return o
	}
	o.Digest = Digest(raw)
	if r.StatusCode < 300 {
		var b Body
		if json.Unmarshal(raw, &b) == nil {
			o.BodyOrder = b.Order
			o.BodyWhole = k.Size == 0 && len(b.Pad) == 200 || len(b.Pad) == k.Size
		}
		return o
	}
	var v struct {
		Error, Why string
		Sent       bool
	}
	_ = json.Unmarshal(raw, &v)
	o.Code, o.Why, o.SentOn = v.Error, v.Why, v.Sent
	return o
}
