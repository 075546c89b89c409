package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

func TestAProcessEndsWithItsStarter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in, orders := io.Pipe()
		out, told := io.Pipe()
		stopped := false
		done := make(chan error, 1)
		go func() {
			done <- child(t.Context(), time.Minute, in, told, func(context.Context) (*handler, error) {
				return &handler{hello: Told{Inner: "here"}, stop: func() { stopped = true },
					do: func(_ context.Context, o Order) Told { return Told{Ready: o.First} }}, nil
			})
		}()
		dec := json.NewDecoder(out)
		var x Told
		if err := dec.Decode(&x); err != nil || x.Inner != "here" {
			t.Fatal(x, err)
		}
		if err := json.NewEncoder(orders).Encode(Order{Op: "any", First: 7}); err != nil {
			t.Fatal(err)
		}
		if err := dec.Decode(&x); err != nil || x.Ready != 7 || x.Usage.At == 0 {
			t.Fatal(x, err)
		}
		_ = orders.Close()
		if err := <-done; err != nil || !stopped {
			t.Error(err, stopped)
		}
	})
}

func TestAProcessEndsAfterItsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in, orders := io.Pipe()
		defer orders.Close()
		begun := time.Now()
		err := child(t.Context(), 3*time.Second, in, io.Discard, func(context.Context) (*handler, error) {
			return &handler{stop: func() {}}, nil
		})
		if d := time.Since(begun); err != nil || d != 3*time.Second {
			t.Errorf("%v after %v", err, d)
		}
		_ = in.Close()
	})
}

func TestReplacementsKeepTheirRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, end := context.WithTimeout(t.Context(), 100*time.Second+50*time.Millisecond)
		defer end()
		var rate atomic.Int64
		rate.Store(250) // one in four seconds
		c := make(chan struct{}, 1000)
		replacer(ctx, &rate, c)
		if n := len(c); n < 24 || n > 26 {
			t.Errorf("%d replaced in 100 s, want 25", n)
		}
	})
}

func TestWrongWordsAreRefused(t *testing.T) {
	for _, argv := range [][]string{nil, {"run"}, {"nothing"}, {"run", "no-such-plan"}} {
		var out, errw bytes.Buffer
		if code := run(argv, strings.NewReader(""), &out, &errw); code == 0 || errw.Len() == 0 {
			t.Errorf("%v: exit %d, %q", argv, code, errw.String())
		}
	}
}
