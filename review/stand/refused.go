package main

import (
	"errors"
	"syscall"
	"time"
)

// refused: an order that an operator was refused comes into force later, by the copy of it that
// lay at a frozen node.
func refused(rec *record, trouble bool) (verdict, error) {
	f, err := begin(rec)
	if err != nil {
		return failed, err
	}
	defer f.lower()
	nodes := f.controllers()
	first, second := nodes[1], nodes[2] // the first has no disk: the core stays as it is
	refused := order([]string{route{Name: "r-new", Host: "shop.example", Prefix: "/new/", Repeat: "idempotent", Service: "beta", Version: 20, TimeoutMS: 2500, AimMS: 400, Attempts: 2}.text()}, nil, "", "")
	thawed := time.Now().Add(3 * time.Second)
	if trouble {
		rec.say("%s freezes", first.name)
		first.each(syscall.SIGSTOP)
	}
	status := f.send("the operator", first, refused)
	if status == 0 {
		time.Sleep(50 * time.Millisecond)
		status = f.send("the operator", second, refused)
	}
	if status != 400 {
		return failed, errors.New("the order was not refused")
	}
	if status := f.insist("the operator", 2, order(nil, []string{serviceText("beta", 30)}, "", "")); status != 200 {
		return failed, errors.New("the service was not taken")
	}
	time.Sleep(time.Until(thawed))
	if trouble {
		rec.say("%s wakes", first.name)
		first.each(syscall.SIGCONT)
	}
	time.Sleep(5 * time.Second)
	c, ok := f.read(nodes[4])
	if !ok {
		return failed, errors.New("no read")
	}
	last := f.machines[len(f.machines)-1]
	_, status, sealed := f.try(last, "GET", "shop.example", "/new/a", 2500*time.Millisecond)
	if c.has("r-new") || status == 200 && sealed {
		rec.say("the order that was refused is in force: read back %v, a request on its route is answered %d", c.has("r-new"), status)
		return broken, nil
	}
	return held, nil
}

// begin starts a fleet with the services alpha and beta's targets, and a first configuration
// with alpha alone.
func begin(rec *record) (*fleet, error) {
	f, err := newFleet(small(), rec)
	if err != nil {
		return nil, err
	}
	if err := f.fill(); err != nil {
		f.lower()
		return nil, err
	}
	return f, nil
}

func (f *fleet) fill() error {
	if err := f.raise(); err != nil {
		return err
	}
	for _, service := range []string{"alpha", "beta"} {
		for _, z := range f.zones {
			if _, err := f.target(service, z, 2, 20*time.Millisecond, 1500); err != nil {
				return err
			}
		}
	}
	main := route{Name: "r-main", Host: "shop.example", Prefix: "/main/", Repeat: "idempotent", Service: "alpha", Version: 1, TimeoutMS: 2500, AimMS: 400, Attempts: 2}
	if f.insist("the operator", 0, order([]string{main.text()}, []string{serviceText("alpha", 1)}, limitsText, "")) != 200 {
		return errors.New("the first configuration was not taken")
	}
	if err := f.serving(); err != nil {
		return err
	}
	time.Sleep(3500 * time.Millisecond) // all are in touch
	if _, status, sealed := f.try(f.machines[0], "GET", "shop.example", "/main/a", 2500*time.Millisecond); status != 200 || !sealed {
		return errors.New("the first route is not served")
	}
	return nil
}
