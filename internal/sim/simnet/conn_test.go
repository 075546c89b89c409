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

// withPair runs f with two hosts, the second of which listens.
func withPair(t *testing.T, f func(t *testing.T, n *Net, a, b *Proc, ln *Listener)) {
	synctest.Test(t, func(t *testing.T) {
		n := New(1, time.Millisecond, 2*time.Millisecond, 0)
		a, b := n.Host("a", "z").Start(t.Context(), "p"), n.Host("b", "z").Start(t.Context(), "p")
		ln := b.Listen()
		b.Register(nil)
		f(t, n, a, b, ln)
		a.Host.Thaw()
		b.Host.Thaw()
		a.Kill()
		b.Kill()
		time.Sleep(time.Minute)
	})
}

func dialPair(t *testing.T, a *Proc, ln *Listener) (c, d net.Conn) {
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

func writeText(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if n, err := io.WriteString(c, text); n != len(text) || err != nil {
		t.Fatalf("wrote %d: %v", n, err)
	}
}

func expectText(t *testing.T, c net.Conn, text string) {
	t.Helper()
	b := make([]byte, len(text))
	if _, err := io.ReadFull(c, b); err != nil || string(b) != text {
		t.Fatalf("read %q: %v", b, err)
	}
}

func TestBytesTakeTimeAndKeepTheirOrder(t *testing.T) {
	withPair(t, func(t *testing.T, _ *Net, a, _ *Proc, ln *Listener) {
		c, d := dialPair(t, a, ln)
		at := time.Now()
		for range 100 {
			writeText(t, c, "ab")
		}
		for range 100 {
			expectText(t, d, "ab")
		}
		if took := time.Since(at); took < time.Millisecond || took > 3*time.Millisecond {
			t.Errorf("took %v", took)
		}
		_ = d.Close()
		if _, err := c.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("read %v after the other end closed", err)
		}
		writeText(t, c, "too late")
		time.Sleep(10 * time.Millisecond)
		if _, err := c.Write([]byte("x")); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("wrote to a closed end: %v", err)
		}
	})
}

func TestDeadlinesEndWaits(t *testing.T) {
	withPair(t, func(t *testing.T, _ *Net, a, _ *Proc, ln *Listener) {
		c, _ := dialPair(t, a, ln)
		at := time.Now()
		_ = c.SetReadDeadline(at.Add(time.Second))
		_, err := c.Read(make([]byte, 1))
		var ne net.Error
		if !errors.Is(err, os.ErrDeadlineExceeded) || !errors.As(err, &ne) || !ne.Timeout() || time.Since(at) != time.Second {
			t.Errorf("read ended with %v after %v", err, time.Since(at))
		}
		// A deadline that is set during a read takes effect at once.
		go func() {
			time.Sleep(time.Second)
			_ = c.SetReadDeadline(time.Unix(1, 0))
		}()
		_ = c.SetReadDeadline(time.Time{})
		at = time.Now()
		if _, err := c.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) || time.Since(at) != time.Second {
			t.Errorf("read ended with %v after %v", err, time.Since(at))
		}
		// A write to a peer that does not read ends at its deadline, too.
		_ = c.SetWriteDeadline(time.Now().Add(time.Second))
		if n, err := c.Write(make([]byte, 2*recvWindow)); n != recvWindow || !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("wrote %d: %v", n, err)
		}
	})
}

func TestACutHoldsBytesBack(t *testing.T) {
	withPair(t, func(t *testing.T, n *Net, a, _ *Proc, ln *Listener) {
		c, d := dialPair(t, a, ln)
		restoreFirst, restore := n.Cut("a", "b"), n.Cut("a", "b")
		writeText(t, c, "x")
		_ = d.SetReadDeadline(time.Now().Add(time.Second))
		if _, err := d.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("read through a cut: %v", err)
		}
		writeText(t, d, "y")
		expectText(t, c, "y")
		restore()
		restore()
		if n.Connected("a", "b") {
			t.Error("undoing one of two cuts reopened the direction")
		}
		restoreFirst()
		_ = d.SetReadDeadline(time.Time{})
		expectText(t, d, "x")
		// Data that a cut held back at the dialing end is lost when that end is closed.
		restore = n.Cut("a", "b")
		writeText(t, c, "z")
		_ = c.Close()
		restore()
		if n, err := d.Read(make([]byte, 1)); n != 0 || !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("read %d: %v", n, err)
		}
		restore = n.Cut("b", "a")
		defer restore()
		callCtx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := a.Dial(callCtx, "b:p"); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("dialled through a cut: %v", err)
		}
	})
}

func TestAKilledProcessResetsAndADarkHostIsSilent(t *testing.T) {
	withPair(t, func(t *testing.T, _ *Net, a, b *Proc, ln *Listener) {
		c, _ := dialPair(t, a, ln)
		b.Kill()
		if _, err := c.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("read %v", err)
		}
		if _, err := a.Dial(t.Context(), "b:p"); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("dialled an ended process: %v", err)
		}
		b = b.Host.Start(t.Context(), "p")
		ln = b.Listen()
		b.Register(nil)
		c, _ = dialPair(t, a, ln)
		b.Host.SetPowerOff(true)
		b.Kill()
		for _, f := range []func(time.Time) error{
			func(d time.Time) error {
				_ = c.SetReadDeadline(d)
				_, err := c.Read(make([]byte, 1))
				return err
			},
			func(d time.Time) error {
				callCtx, cancel := context.WithDeadline(t.Context(), d)
				defer cancel()
				_, err := a.Dial(callCtx, "b:p")
				return err
			},
		} {
			if err := f(time.Now().Add(time.Second)); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("a host without power is not silent: %v", err)
			}
		}
	})
}

func TestAFrozenProcessReadsLater(t *testing.T) {
	withPair(t, func(t *testing.T, _ *Net, a, b *Proc, ln *Listener) {
		c, d := dialPair(t, a, ln)
		b.Host.Freeze()
		writeText(t, c, "x")
		at := time.Now()
		time.AfterFunc(time.Second, b.Host.Thaw)
		expectText(t, d, "x")
		if took := time.Since(at); took != time.Second {
			t.Errorf("read %v into a freeze of 1 s", took)
		}
		at = time.Now()
		b.Host.Freeze()
		time.AfterFunc(time.Second, b.Host.Thaw)
		if err := (Clock{Proc: b}).Sleep(t.Context(), time.Millisecond); err != nil || time.Since(at) != time.Second {
			t.Errorf("slept %v: %v", time.Since(at), err)
		}
	})
}

// Code that peeks through the descriptor must see whether a connection is idle.
func TestTheDescriptorShowsQuiet(t *testing.T) {
	withPair(t, func(t *testing.T, _ *Net, a, _ *Proc, ln *Listener) {
		c, d := dialPair(t, a, ln)
		isIdle := func() (idle bool) {
			r, err := c.(syscall.Conn).SyscallConn()
			if err != nil {
				t.Fatal(err)
			}
			if err := r.Read(func(fd uintptr) bool {
				_, _, e := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
				idle = e == syscall.EAGAIN
				return true
			}); err != nil {
				t.Fatal(err)
			}
			return idle
		}
		if !isIdle() {
			t.Error("not idle at first")
		}
		writeText(t, d, "x")
		time.Sleep(10 * time.Millisecond)
		if isIdle() {
			t.Error("idle with a byte to read")
		}
		expectText(t, c, "x")
		if !isIdle() {
			t.Error("not idle after the byte was read")
		}
		_ = d.Close()
		time.Sleep(10 * time.Millisecond)
		if isIdle() {
			t.Error("idle after the other end closed")
		}
	})
}

func TestAQuestionGoesThereAndBack(t *testing.T) {
	withPair(t, func(t *testing.T, n *Net, a, b *Proc, _ *Listener) {
		call := func() (int, error) {
			callCtx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			return RemoteCall(callCtx, a, "b:p", func(context.Context, *Proc) (int, error) { return 7, nil })
		}
		if v, err := call(); v != 7 || err != nil {
			t.Errorf("the call returned %d, %v", v, err)
		}
		for _, direction := range [][2]string{{"a", "b"}, {"b", "a"}} {
			restore := n.Cut(direction[0], direction[1])
			if _, err := call(); !errors.Is(err, context.DeadlineExceeded) {
				t.Errorf("called through a cut: %v", err)
			}
			restore()
		}
		b.Host.Freeze()
		if _, err := call(); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("answered while frozen: %v", err)
		}
		b.Host.Thaw()
		a.Host.SetLossRate(1)
		if _, err := call(); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("answered though all messages are lost: %v", err)
		}
		a.Host.SetLossRate(0)
		b.Kill()
		if _, err := call(); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("an ended process answered: %v", err)
		}
	})
}
