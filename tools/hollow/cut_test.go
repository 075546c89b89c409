package main

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// slow is a line that answers after a second.
type slow struct{ asked int }

func (s *slow) Call(context.Context, string, any) (any, error) {
	s.asked++
	time.Sleep(time.Second)
	return "told", nil
}

func TestACutIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &slow{}
		w := &Way{Transport: s, Delay: func(ip string) time.Duration { return 300 * time.Millisecond }}
		ask := func() (any, time.Duration, error) {
			ctx, end := context.WithTimeout(t.Context(), 5*time.Second)
			defer end()
			begun := time.Now()
			v, err := w.Call(ctx, "127.1.1.1:7", nil)
			return v, time.Since(begun), err
		}
		if v, d, err := ask(); v != "told" || err != nil || d != 1300*time.Millisecond {
			t.Errorf("%v %v after %v", v, err, d)
		}
		w.Cut([]string{"127.1.1.1"})
		if _, d, err := ask(); !errors.Is(err, context.DeadlineExceeded) || d != 5*time.Second || s.asked != 1 {
			t.Errorf("cut off: %v after %v, %d asked", err, d, s.asked)
		}
		w.Cut([]string{"127.1.1.2"})
		// An answer that is under way is lost, too.
		go func() {
			time.Sleep(800 * time.Millisecond)
			w.Cut([]string{"127.1.1.1"})
		}()
		if _, d, err := ask(); !errors.Is(err, context.DeadlineExceeded) || d != 5*time.Second || s.asked != 2 {
			t.Errorf("cut off meanwhile: %v after %v, %d asked", err, d, s.asked)
		}
		w.Cut(nil)
		if _, _, err := ask(); err != nil {
			t.Errorf("joined: %v", err)
		}
	})
}
