package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"sync"
	"time"
)

// process is one that this program started, and ends.
type process struct {
	role string
	zone int
	size int // nodes in it
	cmd  *exec.Cmd
	in   io.WriteCloser
	mu   sync.Mutex // one order at a time
	told chan Told
	dead chan struct{}
}

// launch starts this program again in a role. Its end comes with ours, for it reads from
// us; with its own time; and with stop.
func launch(role string, zone, size int, errw io.Writer, argv ...string) (*process, error) {
	exe, err := os.Executable()
	if err != nil {
		return nil, err
	}
	c := exec.Command(exe, append([]string{role}, argv...)...)
	c.Env = append(os.Environ(), "GOMAXPROCS=1")
	c.Stderr = errw
	p := &process{role: role, zone: zone, size: size, cmd: c, told: make(chan Told, 1), dead: make(chan struct{})}
	if p.in, err = c.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := c.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := c.Start(); err != nil {
		return nil, err
	}
	go func() {
		dec := json.NewDecoder(out)
		for {
			var t Told
			if dec.Decode(&t) != nil {
				break
			}
			p.told <- t
		}
		close(p.dead)
		// How it ended is known by who ended it.
		_ = c.Wait()
	}()
	return p, nil
}

var errEnded = errors.New("process ended")

// wait takes the next thing told.
func (p *process) wait(ctx context.Context) (Told, error) {
	select {
	case t := <-p.told:
		if t.Err != "" {
			return t, fmt.Errorf("%s: %s", p.role, t.Err)
		}
		return t, nil
	case <-p.dead:
		return Told{}, fmt.Errorf("%s: %w", p.role, errEnded)
	case <-ctx.Done():
		return Told{}, fmt.Errorf("%s: %w", p.role, ctx.Err())
	}
}

// orderTime bounds one order.
const orderTime = 15 * time.Second

func (p *process) order(ctx context.Context, o Order) (Told, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ctx, end := context.WithTimeout(ctx, orderTime)
	defer end()
	if err := json.NewEncoder(p.in).Encode(o); err != nil {
		return Told{}, fmt.Errorf("%s: %w", p.role, err)
	}
	return p.wait(ctx)
}

// kill ends the process as a lost machine ends.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.dead
}

// stop ends it in order, and by force where that takes too long.
func (p *process) stop() {
	_ = p.in.Close()
	select {
	case <-p.dead:
	case <-time.After(5 * time.Second):
		p.kill()
	}
}
