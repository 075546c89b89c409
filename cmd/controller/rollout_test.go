package main

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"walkrudder/internal/control"
	"walkrudder/internal/upgrade"
)

// recordingClient records the request and returns a fixed response.
type recordingClient struct {
	request  any
	response any
}

func (a *recordingClient) Call(_ context.Context, _ string, ask any) (any, error) {
	a.request = ask
	return a.response, nil
}

func TestRolloutAsks(t *testing.T) {
	for name, x := range map[string]struct {
		args   rolloutArgs
		answer any
		want   any
		output string
	}{
		"start": {rolloutArgs{Timeout: time.Second, Start: &rolloutStart{"n:1", "orders", "v2", time.Minute}}, control.UpgradeTold{Number: 1},
			control.UpgradeOrderAsk{Order: upgrade.Order{Service: "orders", To: "v2", Term: time.Minute}}, "acknowledged"},
		"revert": {rolloutArgs{Timeout: time.Second, Revert: &rolloutRevert{"n:1", "orders"}}, control.UpgradeTold{Number: 2},
			control.UpgradeRevertAsk{Service: "orders"}, "acknowledged"},
		"status": {rolloutArgs{Timeout: time.Second, Status: &rolloutStatus{Node: "n:1", Service: "ord"}},
			control.Answer[control.UpgradeRow]{Rows: []control.UpgradeRow{{Service: "orders", To: "v2", Phase: "canary", Share: 50}}},
			control.UpgradesAsk{Prefix: "ord"}, "canary"},
	} {
		client := &recordingClient{response: x.answer}
		var out, errw bytes.Buffer
		if code := x.args.execute(client, &out, &errw); code != 0 || client.request != x.want || !strings.Contains(out.String(), x.output) {
			t.Errorf("%s: exit %d, sent %+v, printed %q %q", name, code, client.request, out.String(), errw.String())
		}
	}
}

func TestRolloutArguments(t *testing.T) {
	for args, want := range map[string]string{
		"":                              "one of start, revert or status",
		"start 10.0.0.1:7660 orders":    "VERSION is required",
		"start 10.0.0.1:7660 orders v2": "TIME is required",
		"status somewhere":              "missing port",
	} {
		var out, errw bytes.Buffer
		if code := rollout(strings.Fields(args), &out, &errw); code != 2 || !strings.Contains(errw.String(), want) {
			t.Errorf("%q: exit %d, %q, want %q", args, code, errw.String(), want)
		}
	}
}
