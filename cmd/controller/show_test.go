package main

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"walkrudder/internal/control"
	"walkrudder/internal/steperr"
)

// asked is a line to one node that answers as told, or not at all.
type asked struct {
	addr string
	ask  any
	told any
	err  error
}

func (l *asked) Call(ctx context.Context, addr string, ask any) (any, error) {
	l.addr, l.ask = addr, ask
	if l.told == nil && l.err == nil {
		<-ctx.Done()
		return nil, steperr.Wrap("ask", addr, ctx.Err())
	}
	return l.told, l.err
}

func TestShowRefusesBadArguments(t *testing.T) {
	for want, args := range map[string]string{
		"required":        "",
		"LIST: \"odd\"":   "10.0.0.1:7660 odd",
		"NODE-ADDRESS":    "10.0.0.1 items",
		"is no port":      "10.0.0.1:0 items",
		"--service: goes": "10.0.0.1:7660 items --service s",
		"--prefix: does":  "10.0.0.1:7660 disk --prefix s",
		"--most":          "10.0.0.1:7660 items --most 1001",
		"--timeout":       "10.0.0.1:7660 items --timeout 1h",
		"--timeout: 1ms":  "10.0.0.1:7660 items --timeout 1ms",
		"unknown":         "10.0.0.1:7660 items --odd",
	} {
		var out, errw bytes.Buffer
		if code := show(strings.Fields(args), &out, &errw); code != 2 || out.Len() > 0 || !strings.Contains(errw.String(), want) {
			t.Errorf("%q: exit %d, told %q, want %q", args, code, errw.String(), want)
		}
	}
	var out, errw bytes.Buffer
	if code := show([]string{"--help"}, &out, &errw); code != 0 || !strings.Contains(out.String(), "NODE-ADDRESS") {
		t.Errorf("help: exit %d, %q", code, out.String())
	}
}

func TestShowPrintsWhatItIsTold(t *testing.T) {
	told := control.Answer[control.RunRow]{About: control.About{Node: "m1", Zone: "za", Fresh: true, BehindMS: 12}, Total: 3, Next: "i-1",
		Rows: []control.RunRow{{ID: "i-1", Service: "s", State: "ready", Suspicion: control.Maybe{Known: true, Value: 0.25}}}}
	l := &asked{told: told}
	a := showing{Node: "10.0.0.1:7660", List: runs, Service: "s", Prefix: "i", After: "h", Most: 1, Timeout: time.Second}
	var out, errw bytes.Buffer
	if code := a.ask(l, &out, &errw); code != 0 || l.addr != a.Node || l.ask != (control.RunsAsk{Page: control.Page{After: "h", Most: 1}, Service: "s", Prefix: "i"}) {
		t.Fatalf("exit %d, asked %s %+v, %s", code, l.addr, l.ask, errw.String())
	}
	for _, want := range []string{"# m1 in za, fresh: knows all that was acknowledged until 12 ms ago\n", "SUSPICION", "0.25", "# 1 of 3 rows; the next: --after \"i-1\"\n"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing in\n%s", want, out.String())
		}
	}
	out.Reset()
	a.JSON = true
	var back struct {
		Node, Next string
		Rows       []map[string]any
	}
	if code := a.ask(l, &out, &errw); code != 0 || json.Unmarshal(out.Bytes(), &back) != nil || back.Node != "m1" || back.Next != "i-1" || len(back.Rows) != 1 ||
		back.Rows[0]["suspicion"] != 0.25 || back.Rows[0]["beat_ago_ms"] != nil {
		t.Errorf("exit %d: %s", code, out.String())
	}
	out.Reset()
	told.Fresh = false
	l.told, a.JSON = told, false
	if a.ask(l, &out, &errw); !strings.Contains(out.String(), "NOT FRESH") {
		t.Errorf("not said: %s", out.String())
	}
	// An answer of another kind is no answer.
	l.told = control.Answer[control.ItemRow]{}
	if code := a.ask(l, &out, &errw); code != 1 || !strings.Contains(errw.String(), "runs not told") {
		t.Errorf("exit %d: %s", code, errw.String())
	}
}

// Each list is asked by its own question.
func TestShowAsksForEachList(t *testing.T) {
	p := control.Page{After: "k", Most: 3}
	for list, want := range map[string]struct{ ask, told any }{
		items:    {control.ItemsAsk{Page: p, Prefix: "x"}, control.Answer[control.ItemRow]{}},
		members:  {control.MembersAsk{Page: p}, control.Answer[control.MemberRow]{}},
		disk:     {control.DiskAsk{Page: p}, control.Answer[control.DiskRow]{}},
		counters: {control.CountersAsk{Page: p, Prefix: "x"}, control.Answer[control.CounterRow]{}},
	} {
		l := &asked{told: want.told}
		var out, errw bytes.Buffer
		a := showing{Node: "n:1", List: list, Prefix: "x", After: "k", Most: 3, Timeout: time.Second}
		if code := a.ask(l, &out, &errw); code != 0 || l.ask != want.ask {
			t.Errorf("%s: exit %d, asked %+v, %s", list, code, l.ask, errw.String())
		}
	}
}

func TestShowDoesNotWaitForANodeThatIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		var out, errw bytes.Buffer
		a := showing{Node: "10.0.0.1:7660", List: items, Timeout: 3 * time.Second}
		if code := a.ask(&asked{}, &out, &errw); code != 1 || time.Since(begun) != a.Timeout || out.Len() > 0 {
			t.Errorf("exit %d after %v: %s", code, time.Since(begun), out.String())
		}
		for _, want := range []string{"items not told", "ask (10.0.0.1:7660)", "deadline"} {
			if !strings.Contains(errw.String(), want) {
				t.Errorf("%q is missing in %q", want, errw.String())
			}
		}
	})
}
