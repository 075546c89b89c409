// Command stand plays the cases of the review: it starts the project's own programs as separate
// processes on loopback addresses, with stand-ins for operators, targets and clients.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

// verdict is the exit code.
type verdict int

const (
	held verdict = iota
	broken
	failed
)

var cases = map[string]func(rec *record, trouble bool) (verdict, error){
	"refused": refused,
	"places":  places,
	"slow":    slow,
	"memory":  memory,
	"region":  region,
}

func main() { os.Exit(int(run())) }

func run() verdict {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "stand CASE FILE")
		return failed
	}
	out, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "stand:", err)
		return failed
	}
	defer out.Close()
	rec := &record{f: out, began: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.say("case %s, trouble %v", os.Args[1], trouble)
	v, err := cases[os.Args[1]](rec, trouble)
	if err != nil {
		rec.say("the case could not run: %v", err)
		return failed
	}
	rec.say("result: %s", map[verdict]string{held: "the rule held", broken: "the rule was broken"}[v])
	return v
}
