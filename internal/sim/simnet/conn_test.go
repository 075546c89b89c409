package simnet

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// pair runs f with two hosts, the second of which listens.
func pair(t *testing.T, f func(t *testing.T, n *Net, a, b *Proc, ln *Listener)) {
	synctest.Test(t, func(t *testing.T) {
		n := New(1, time.Millisecond, 2*time.Millisecond, 0)
		a, b := n.Host("a", "z").Start(t.Context(), "p"), n.Host("b", "z").Start(t.Context(), "p")
		ln := b.Listen()
		b.Open(nil)
		f(t, n, a, b, ln)
		a.Host.Thaw()
		b.Host.Thaw()
		a.Kill()
		b.Kill()
		time.Sleep(time.Minute)
	})
}

func dialled(t *testing.T, a *Proc, ln *Listener) (c, d net.Conn) {
	t.Helper()
	c, err := a.Dial(t.Context(), "b:p")
	if err != nil {
		t.Fatal(err)
	}
	if d, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	return c, d
}

func say(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if n, err := io.WriteString(c, text); n != len(text) || err != nil {
		t.Fatalf("wrote %d: %v", n, err)
	}
}

func hear(t *testing.T, c net.Conn, text string) {
	t.Helper()
	b := make([]byte, len(text))
	if _, err := io.ReadFull(c, b); err != nil || string(b) != text {
		t.Fatalf("read %q: %v", b, err)
	}
}

func TestBytesTakeTimeAndKeepTheirOrder(t *testing.T) {
	pair(t, func(t *testing.T, _ *Net, a, _ *Proc, ln *Listener) {
		c, d := dialled(t, a, ln)
		at := time.Now()
		for range 100 {
			say(t, c, "ab")
		}
		for range 100 {
			hear(t, d, "ab")
		}
		if took := time.Since(at); took < time.Millisecond || took > 3*time.Millisecond {
			t.Errorf("took %v", took)
		}
		_ = d.Close()
		if _, err := c.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("read %v after the end", err)
		}
		say(t, c, "too late")
		time.Sleep(10 * time.Millisecond)
		if _, err := c.Write([]byte("x")); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("wrote to a closed end: %v", err)
		}
	})
}

func TestDeadlinesEndWaits(t *testing.T) {
	pair(t, func(t *testing.T, _ *Net, a, _ *Proc, ln *Listener) {
		c, _ := dialled(t, a, ln)
		at := time.Now()
		_ = c.SetReadDeadline(at.Add(time.Second))
		_, err := c.Read(make([]byte, 1))
		var ne net.Error
		if !errors.Is(err, os.ErrDeadlineExceeded) || !errors.As(err, &ne) || !ne.Timeout() || time.Since(at) != time.Second {
			t.Errorf("%v after %v", err, time.Since(at))
		}
		// One that is set while somebody waits counts at once.
		go func() {
			time.Sleep(time.Second)
			_ = c.SetReadDeadline(time.Unix(1, 0))
		}()
		_ = c.SetReadDeadline(time.Time{})
		at = time.Now()
		if _, err := c.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) || time.Since(at) != time.Second {
			t.Errorf("%v after %v", err, time.Since(at))
		}
		// Nobody reads: a write ends by its deadline, too.
		_ = c.SetWriteDeadline(time.Now().Add(time.Second))
		if n, err := c.Write(make([]byte, 2*window)); n != window || !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("wrote %d: %v", n, err)
		}
	})
}

func TestACutHoldsBytesBack(t *testing.T) {
	pair(t, func(t *testing.T, n *Net, a, _ *Proc, ln *Listener) {
		c, d := dialled(t, a, ln)
		again, mend := n.Cut("a", "b"), n.Cut("a", "b")
		say(t, c, "x")
		_ = d.SetReadDeadline(time.Now().Add(time.Second))
		if _, err := d.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("read through a cut: %v", err)
		}
		say(t, d, "y")
		hear(t, c, "y")
		mend()
		mend()
		if n.Open("a", "b") {
			t.Error("two cuts were mended by one")
		}
		again()
		_ = d.SetReadDeadline(time.Time{})
		hear(t, d, "x")
		// What was held back at an end that was closed on purpose does not get there.
		mend = n.Cut("a", "b")
		say(t, c, "z")
		_ = c.Close()
		mend()
		if n, err := d.Read(make([]byte, 1)); n != 0 || !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("read %d: %v", n, err)
		}
		mend = n.Cut("b", "a")
		defer mend()
		cx, end := context.WithTimeout(t.Context(), time.Second)
		defer end()
		if _, err := a.Dial(cx, "b:p"); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("dialled through a cut: %v", err)
		}
	})
}

func TestAKilledProcessResetsAndADarkHostIsSilent(t *testing.T) {
	pair(t, func(t *testing.T, _ *Net, a, b *Proc, ln *Listener) {
		c, _ := dialled(t, a, ln)
		b.Kill()
		if _, err := c.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("read %v", err)
		}
		if _, err := a.Dial(t.Context(), "b:p"); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("dialled the dead: %v", err)
		}
		b = b.Host.Start(t.Context(), "p")
		ln = b.Listen()
		b.Open(nil)
		c, _ = dialled(t, a, ln)
		b.Host.Dark(true)
		b.Kill()
		for _, f := range []func(time.Time) error{
			func(d time.Time) error {
				_ = c.SetReadDeadline(d)
				_, err := c.Read(make([]byte, 1))
				return err
			},
			func(d time.Time) error {
				cx, end := context.WithDeadline(t.Context(), d)
				defer end()
				_, err := a.Dial(cx, "b:p")
				return err
			},
		} {
			if err := f(time.Now().Add(time.Second)); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("a dark host is not silent: %v", err)
			}
		}
	})
}

func TestAFrozenProcessReadsLater(t *testing.T) {
	pair(t, func(t *testing.T, _ *Net, a, b *Proc, ln *Listener) {
		c, d := dialled(t, a, ln)
		b.Host.Freeze()
		say(t, c, "x")
		at := time.Now()
		time.AfterFunc(time.Second, b.Host.Thaw)
		hear(t, d, "x")
		if took := time.Since(at); took != time.Second {
			t.Errorf("read %v into a freeze of 1 s", took)
		}
		at = time.Now()
		b.Host.Freeze()
		time.AfterFunc(time.Second, b.Host.Thaw)
		if err := (Clock{P: b}).Sleep(t.Context(), time.Millisecond); err != nil || time.Since(at) != time.Second {
			t.Errorf("slept %v: %v", time.Since(at), err)
		}
	})
}

// Whoever looks through the descriptor sees whether a connection is still quiet.
func TestTheDescriptorShowsQuiet(t *testing.T) {
	pair(t, func(t *testing.T, _ *Net, a, _ *Proc, ln *Listener) {
		c, d := dialled(t, a, ln)
		quiet := func() (q bool) {
			r, err := c.(syscall.Conn).SyscallConn()
			if err != nil {
				t.Fatal(err)
			}
			if err := r.Read(func(fd uintptr) bool {
				_, _, e := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
				q = e == syscall.EAGAIN
				return true
			}); err != nil {
				t.Fatal(err)
			}
			return q
		}
		if !quiet() {
			t.Error("not quiet at first")
		}
		say(t, d, "x")
		time.Sleep(10 * time.Millisecond)
		if quiet() {
			t.Error("quiet with a byte to read")
		}
		hear(t, c, "x")
		if !quiet() {
			t.Error("not quiet again")
		}
		_ = d.Close()
		time.Sleep(10 * time.Millisecond)
		if quiet() {
			t.Error("quiet after the end")
		}
	})
}

func TestAQuestionGoesThereAndBack(t *testing.T) {
	pair(t, func(t *testing.T, n *Net, a, b *Proc, _ *Listener) {
		ask := func() (int, error) {
			cx, end := context.WithTimeout(t.Context(), time.Second)
			defer end()
			return Do(cx, a, "b:p", func(context.Context, *Proc) (int, error) { return 7, nil })
		}
		if v, err := ask(); v != 7 || err != nil {
			t.Errorf("%d, %v", v, err)
		}
		for _, way := range [][2]string{{"a", "b"}, {"b", "a"}} {
			mend := n.Cut(way[0], way[1])
			if _, err := ask(); !errors.Is(err, context.DeadlineExceeded) {
				t.Errorf("through a cut: %v", err)
			}
			mend()
		}
		b.Host.Freeze()
		if _, err := ask(); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("answered while frozen: %v", err)
		}
		b.Host.Thaw()
		a.Host.Lose(1)
		if _, err := ask(); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("answered though all is lost: %v", err)
		}
		a.Host.Lose(0)
		b.Kill()
		if _, err := ask(); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("the dead answered: %v", err)
		}
	})
}
