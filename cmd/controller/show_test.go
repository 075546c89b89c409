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

// fakeClient returns a fixed response or error, or blocks until the context ends if neither is set.
type fakeClient struct {
	addr     string
	request  any
	response any
	err      error
}

func (l *fakeClient) Call(ctx context.Context, addr string, ask any) (any, error) {
	l.addr, l.request = addr, ask
	if l.response == nil && l.err == nil {
		<-ctx.Done()
		return nil, steperr.Wrap("ask", addr, ctx.Err())
	}
	return l.response, l.err
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
			t.Errorf("%q: exit %d, printed %q, want %q", args, code, errw.String(), want)
		}
	}
	var out, errw bytes.Buffer
	if code := show([]string{"--help"}, &out, &errw); code != 0 || !strings.Contains(out.String(), "NODE-ADDRESS") {
		t.Errorf("help: exit %d, %q", code, out.String())
	}
}

func TestShowPrintsWhatItIsTold(t *testing.T) {
	answer := control.Answer[control.RunRow]{About: control.About{Node: "m1", Zone: "za", Fresh: true, BehindMS: 12}, Total: 3, Next: "i-1",
		Rows: []control.RunRow{{ID: "i-1", Service: "s", State: "ready", Suspicion: control.Maybe{Known: true, Value: 0.25}}}}
	client := &fakeClient{response: answer}
	a := showArgs{Node: "10.0.0.1:7660", List: listRuns, Service: "s", Prefix: "i", After: "h", Most: 1, Timeout: time.Second}
	var out, errw bytes.Buffer
	if code := a.execute(client, &out, &errw); code != 0 || client.addr != a.Node || client.request != (control.RunsAsk{Page: control.Page{After: "h", Most: 1}, Service: "s", Prefix: "i"}) {
		t.Fatalf("exit %d, sent to %s: %+v, %s", code, client.addr, client.request, errw.String())
	}
	for _, want := range []string{"# m1 in za, fresh: knows all that was acknowledged until 12 ms ago\n", "SUSPICION", "0.25", "# 1 of 3 rows; the next: --after \"i-1\"\n"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing in\n%s", want, out.String())
		}
	}
	out.Reset()
	a.JSON = true
	var decoded struct {
		Node, Next string
		Rows       []map[string]any
	}
	if code := a.execute(client, &out, &errw); code != 0 || json.Unmarshal(out.Bytes(), &decoded) != nil || decoded.Node != "m1" || decoded.Next != "i-1" || len(decoded.Rows) != 1 ||
		decoded.Rows[0]["suspicion"] != 0.25 || decoded.Rows[0]["beat_ago_ms"] != nil {
		t.Errorf("exit %d: %s", code, out.String())
	}
	out.Reset()
	answer.Fresh = false
	client.response, a.JSON = answer, false
	if a.execute(client, &out, &errw); !strings.Contains(out.String(), "NOT FRESH") {
		t.Errorf("missing NOT FRESH: %s", out.String())
	}
	// A response of another type is an error.
	client.response = control.Answer[control.ItemRow]{}
	if code := a.execute(client, &out, &errw); code != 1 || !strings.Contains(errw.String(), "runs not told") {
		t.Errorf("exit %d: %s", code, errw.String())
	}
}

// Each list has its own request type.
func TestShowAsksForEachList(t *testing.T) {
	page := control.Page{After: "k", Most: 3}
	for list, want := range map[string]struct{ request, response any }{
		listItems:    {control.ItemsAsk{Page: page, Prefix: "x"}, control.Answer[control.ItemRow]{}},
		listMembers:  {control.MembersAsk{Page: page}, control.Answer[control.MemberRow]{}},
		listDisk:     {control.DiskAsk{Page: page}, control.Answer[control.DiskRow]{}},
		listCounters: {control.CountersAsk{Page: page, Prefix: "x"}, control.Answer[control.CounterRow]{}},
	} {
		client := &fakeClient{response: want.response}
		var out, errw bytes.Buffer
		a := showArgs{Node: "n:1", List: list, Prefix: "x", After: "k", Most: 3, Timeout: time.Second}
		if code := a.execute(client, &out, &errw); code != 0 || client.request != want.request {
			t.Errorf("%s: exit %d, sent %+v, %s", list, code, client.request, errw.String())
		}
	}
}

func TestShowDoesNotWaitForANodeThatIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		var out, errw bytes.Buffer
		a := showArgs{Node: "10.0.0.1:7660", List: listItems, Timeout: 3 * time.Second}
		if code := a.execute(&fakeClient{}, &out, &errw); code != 1 || time.Since(start) != a.Timeout || out.Len() > 0 {
			t.Errorf("exit %d after %v: %s", code, time.Since(start), out.String())
		}
		for _, want := range []string{"items not told", "ask (10.0.0.1:7660)", "deadline"} {
			if !strings.Contains(errw.String(), want) {
				t.Errorf("%q is missing in %q", want, errw.String())
			}
		}
	})
}
