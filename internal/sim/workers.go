package sim

import "sync"

// workers are the goroutines of one world that carry its messages. Each goes on to the
// next message once it is through with one: the race detector keeps a record of every
// goroutine that ever ran, and a world sends far more messages than are under way at
// once. They belong to the world's bubble and end with the world.
type workers struct {
	mu   sync.Mutex
	idle []chan func() // the last that came to rest is the first to go on
	shut bool
}

// run runs f beside its caller, as a go statement would.
func (p *workers) run(f func()) {
	p.mu.Lock()
	n := len(p.idle)
	if n == 0 {
		p.mu.Unlock()
		go p.work(f)
		return
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	p.mu.Unlock()
	c <- f
}

func (p *workers) work(f func()) {
	c := make(chan func(), 1)
	for f != nil {
		f()
		f = nil // what it held may go while nothing is to be done
		if !p.rest(c) {
			return
		}
		f = <-c
	}
}

// rest makes a worker known as idle, or tells it that it is not needed any more.
func (p *workers) rest(c chan func()) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.shut {
		p.idle = append(p.idle, c)
	}
	return !p.shut
}

// end lets the idle workers go, and the others once they are through; what comes later
// still runs.
func (p *workers) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shut = true
	for _, c := range p.idle {
		close(c)
	}
	p.idle = nil
}
