package main

import (
	"errors"
	"os"
	"path/filepath"
	"runtime"
	"runtime/pprof"
)

// profile writes what a process does between two orders, and what it then holds.
type profile struct{ cpu *os.File }

func (p *profile) turn(dir string) error {
	if p.cpu == nil {
		f, err := os.Create(filepath.Join(dir, "cpu.pprof"))
		if err != nil {
			return err
		}
		p.cpu = f
		return pprof.StartCPUProfile(f)
	}
	pprof.StopCPUProfile()
	err := p.cpu.Close()
	p.cpu = nil
	f, err2 := os.Create(filepath.Join(dir, "heap.pprof"))
	if err2 != nil {
		return errors.Join(err, err2)
	}
	runtime.GC()
	return errors.Join(err, pprof.WriteHeapProfile(f), f.Close())
}
