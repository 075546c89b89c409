package main

import (
	"encoding/json"
	"errors"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

const (
	// regionDown is how long the region is without power, and regionRecovery for how long after it is
	// back the operator asks.
	regionDown     = 2 * time.Second
	regionRecovery = 25 * time.Second
)

// region: a deployment that is to bear the loss of a region loses one, disks included.
func region(rec *record, trouble bool) (verdict, error) {
	p := small()
	p.zones = []string{"north-a", "north-b", "south-a", "south-b", "west-a", "west-b"}
	p.regions = map[string]string{"north-a": "north", "north-b": "north", "south-a": "south", "south-b": "south", "west-a": "west", "west-b": "west"}
	p.seedZones = []string{"north-a", "north-b", "south-a"}
	p.plain, p.controlPer = 0, 2
	p.tolerance.machines, p.tolerance.regions = 0, 1
	f, err := newFleet(p, rec)
	if err != nil {
		return failed, err
	}
	defer f.lower()
	if err := f.fill(); err != nil {
		return failed, err
	}
	late := route{Name: "r-late", Host: "shop.example", Prefix: "/late/", Repeat: "idempotent", Service: "alpha", Version: 20, TimeoutMS: 2500, AimMS: 400, Attempts: 2}
	if f.insist("the operator", 2, order([]string{late.text()}, nil, "", "")) != 200 {
		return failed, errors.New("the second configuration was not taken")
	}
	time.Sleep(3 * time.Second) // every node has it by now
	if trouble {
		lost := f.fullest()
		if err := f.wipe("the region "+lost, func(m *machine) bool { return f.region(m.zone) == lost }); err != nil {
			return failed, err
		}
	}
	return f.recalled()
}

// wipe has some machines lose power and their disks, and come back with empty ones.
func (f *fleet) wipe(what string, which func(*machine) bool) error {
	f.rec.say("%s loses power, and its disks", what)
	for _, m := range f.machines {
		if which(m) {
			m.each(syscall.SIGKILL)
		}
	}
	time.Sleep(regionDown)
	for _, m := range f.machines {
		if !which(m) {
			continue
		}
		m.lost++ // an empty one
		for _, p := range m.processes() {
			<-p.done
			f.write(m, p, false)
			if err := p.start(); err != nil {
				return err
			}
		}
	}
	f.rec.say("%s is back, with empty disks", what)
	return nil
}

// recalled has the operator read the configuration at all nodes, again and again, and add a route.
func (f *fleet) recalled() (verdict, error) {
	read := map[string]bool{}
	for end := time.Now().Add(regionRecovery); time.Now().Before(end) && len(read) < len(f.controllers()); time.Sleep(time.Second) {
		for _, m := range f.controllers() {
			if c, ok := f.read(m); ok && c.has("r-main") && c.has("r-late") {
				read[m.name] = true
			}
		}
	}
	more := route{Name: "r-more", Host: "shop.example", Prefix: "/more/", Repeat: "idempotent", Service: "alpha", Version: 40, TimeoutMS: 2500, AimMS: 400, Attempts: 2}
	status := f.insist("the operator", 0, order([]string{more.text()}, nil, "", ""))
	f.rec.say("%d of %d nodes read back all that was acknowledged; a further order is answered %d", len(read), len(f.controllers()), status)
	switch {
	case len(read) == 0:
		return broken, nil
	case len(read) < len(f.controllers()) || status != 200:
		return failed, errors.New("another outcome")
	}
	return held, nil
}

// fullest is the region in which most voters stand, by what a controller answers an operator on call.
func (f *fleet) fullest() (best string) {
	addr := f.at(f.machines[0].ip, 0)
	b, err := exec.Command(filepath.Join("target", "controller"), "show", "--json", addr, "members").Output()
	var a struct {
		Rows []struct {
			ID, Zone string
			Votes    int
		}
	}
	if err == nil {
		err = json.Unmarshal(b, &a)
	}
	if err != nil {
		f.rec.say("the members are not told: %v", err)
	}
	voters := map[string]int{}
	for _, m := range a.Rows {
		if m.Votes > 0 {
			f.rec.say("%s votes", m.ID)
			voters[f.region(m.Zone)]++
		}
	}
	for _, z := range f.zones {
		if r := f.region(z); best == "" || voters[r] > voters[best] {
			best = r
		}
	}
	return best
}
