package main

import (
	"errors"
	"fmt"
	"time"
)

// placeRounds is how many pairs of orders are sent at most.
const placeRounds = 40

// places: two operators at two nodes add a route each, both at one host and prefix.
func places(rec *record, trouble bool) (verdict, error) {
	f, err := begin(rec)
	if err != nil {
		return failed, err
	}
	defer f.lower()
	nodes := f.controllers()
	for i := range placeRounds {
		prefix := fmt.Sprintf("/p%d/", i)
		var orders [2]string
		for k := range orders {
			orders[k] = order([]string{route{Name: fmt.Sprintf("r-%d-%d", i, k), Host: "shop.example", Prefix: prefix, Repeat: "idempotent", Service: "alpha", Version: 10 + 7*i + k, TimeoutMS: 2500, AimMS: 400, Attempts: 2}.text()}, nil, "", "")
		}
		var got [2]int
		if trouble {
			done := make(chan struct{})
			go func() {
				got[0] = f.send("operator 1", nodes[0], orders[0])
				close(done)
			}()
			got[1] = f.send("operator 2", nodes[2], orders[1])
			<-done
		} else {
			got[0] = f.send("operator 1", nodes[0], orders[0])
			got[1] = f.send("operator 2", nodes[2], orders[1])
		}
		if got[0] != 200 && got[1] != 200 {
			return failed, errors.New("neither order was taken")
		}
		if got[0] != 200 || got[1] != 200 {
			continue
		}
		time.Sleep(2 * time.Second)
		c, ok := f.read(nodes[4])
		if !ok {
			return failed, errors.New("no read")
		}
		if c.has(fmt.Sprintf("r-%d-0", i)) && c.has(fmt.Sprintf("r-%d-1", i)) {
			rec.say("both routes at shop.example%s were acknowledged and are in force, in round %d", prefix, i+1)
			return broken, nil
		}
	}
	return held, nil
}
