package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/valyala/fasthttp"

	"walkrudder/internal/clock"
	"walkrudder/internal/control"
	"walkrudder/internal/link"
	"walkrudder/internal/quorum"
	"walkrudder/internal/storage"
	"walkrudder/internal/target"
)

// ControllerArgs describe one control-plane node.
type ControllerArgs struct {
	For   time.Duration `arg:"--for" default:"1m"`
	N     int           `arg:"--n"`
	Net   int           `arg:"--net" default:"70"`
	Inner string        `arg:"--inner,required"`
	Door  string        `arg:"--door,required"`
	Seeds string        `arg:"--seeds,required" help:"inner addresses, with commas"`
	Bear  int           `arg:"--bear"`
	Dir   string        `arg:"--dir,required" help:"the disk's folder"`
	First bool          `arg:"--first"`
	Every time.Duration `arg:"--every" default:"1s" help:"between a target's beats"`
}

// beatPath is where the tool's own targets say what platform's targets say in another
// form; the node behind it is the product's.
const beatPath = "/beat"

// beatTold answers a beat; Home is where later ones should go.
type beatTold struct{ Home string }

func quiet() *log.Logger { return log.New(io.Discard) }

func (a *ControllerArgs) start(ctx context.Context) (*handler, error) {
	inner, err := net.Listen("tcp", a.Inner)
	if err != nil {
		return nil, err
	}
	door, err := net.Listen("tcp", a.Door)
	if err != nil {
		return nil, errors.Join(err, inner.Close())
	}
	disk, err := storage.OpenBuntDisk(a.Dir, "items.db")
	if err != nil {
		return nil, errors.Join(err, inner.Close(), door.Close())
	}
	id := fmt.Sprintf("controller%d", a.N)
	line := link.NewTCP(link.Identity{ID: id, Kind: "controller"}, a.Inner, quiet())
	way := &Way{Transport: line, Delay: ways(controllerZone(a.N))}
	bad := &atomic.Pointer[string]{}
	n, err := control.New(control.Config{
		Settings:    control.Settings{ID: id, Zone: zoneName(controllerZone(a.N)), InternalAddr: a.Inner, PublicAddr: a.Door, Seeds: strings.Split(a.Seeds, ","), Tolerance: quorum.Tolerance{Machines: a.Bear}, InitialStart: a.First, HeartbeatInterval: a.Every},
		Incarnation: rand.Uint64() | 1, NewDiskID: fmt.Sprintf("%016x", rand.Uint64()), Transport: way, Clock: clock.Wall{}, Disk: disk, Log: quiet(),
		OnDiskFailure: func(err error) { s := err.Error(); bad.Store(&s) }})
	if err != nil {
		return nil, errors.Join(err, inner.Close(), door.Close(), disk.Close())
	}
	m := &Meter{Role: roleOf}
	life, end := context.WithCancel(context.Background())
	fin := make(chan struct{})
	go line.Serve(metered{inner, m, true}, n.Mux)
	go func() { n.Run(life); close(fin) }()
	var beats atomic.Int64
	var prof profile
	s := &fasthttp.Server{Handler: beatHandler(n, &beats), IdleTimeout: 30 * time.Second, ReadTimeout: 20 * time.Second, WriteTimeout: 10 * time.Second,
		NoDefaultServerHeader: true, NoDefaultDate: true, ReadBufferSize: 8 << 10, ReduceMemoryUsage: true, Logger: mute{}}
	go func() { _ = s.Serve(metered{door, m, false}) }()
	stop := func() {
		_ = door.Close()
		end()
		line.Close()
		<-fin
		_ = disk.Close()
	}
	do := func(ctx context.Context, o Order) (t Told) {
		if b := bad.Load(); b != nil {
			return Told{Err: "disk: " + *b}
		}
		switch o.Op {
		case "look":
			v := n.View()
			suspected := int64(0)
			for _, r := range v.Runs {
				if r.Suspected() {
					suspected++
				}
			}
			t.Counts = map[string]int64{"gateways": int64(v.Gateways), "items": int64(v.Items), "runs": int64(len(v.Runs)), "suspected": suspected,
				"beats": beats.Load(), "epoch": int64(v.Core.Epoch), "seats": int64(len(v.Core.Seats))}
			if n.Ready() {
				t.Ready = 1
			}
		case "mark":
			t.Counts = map[string]int64{"beats": beats.Load()}
			if n.Ready() {
				t.Ready = 1
			}
		case "cut":
			way.Cut(o.Cut)
		case "profile":
			if err := prof.turn(o.Dir); err != nil {
				t.Err = err.Error()
			}
		case "apply":
			cx, end := context.WithTimeout(ctx, 4*time.Second)
			defer end()
			c := change(o)
			t.Begun = time.Now().UnixNano()
			ps, err := n.Apply(cx, c)
			t.Ended = time.Now().UnixNano()
			if err != nil {
				t.Err = err.Error()
			} else if len(ps) > 0 {
				t.Err = fmt.Sprintf("refused: %v", ps[0])
			}
		default:
			t.Err = "no such order"
		}
		t.Wire = m.Read()
		return t
	}
	return &handler{do: do, hello: Told{Inner: a.Inner, Door: a.Door}, stop: stop}, nil
}

// mute drops the library's lines.
type mute struct{}

// Printf drops a line.
func (mute) Printf(string, ...any) {}

// beatHandler takes the beats in.
func beatHandler(n *control.Node, beats *atomic.Int64) fasthttp.RequestHandler {
	return func(x *fasthttp.RequestCtx) {
		var b target.Heartbeat
		if err := json.Unmarshal(x.PostBody(), &b); err != nil {
			x.SetStatusCode(http.StatusBadRequest)
			return
		}
		ctx := context.Background()
		var err error
		if x.IsDelete() {
			err = n.Leave(ctx, b.ID)
		} else {
			err = n.Beat(ctx, b)
		}
		if err != nil {
			x.SetStatusCode(http.StatusServiceUnavailable)
			return
		}
		beats.Add(1)
		home, _ := n.HomeMember(b.Service, b.Zone)
		out, _ := json.Marshal(beatTold{home.Door})
		x.SetContentType("application/json")
		x.SetBody(out)
	}
}
