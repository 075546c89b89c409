package sim

import (
	"bytes"
	"encoding/gob"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samber/lo"
)

// The race detector keeps 128 KB of trace per goroutine, also for goroutines that have ended,
// and allocates new traces while old ones are unused: with all suites in one process, memory
// grows to many times what the worlds need that run at once. Under the race detector every
// world therefore runs in a child process, this test binary restricted to one test, whose
// memory is released when the world ends.

var separate = flag.Bool("sim.apart", raceEnabled, "run each world in a child process; default under the race detector")

// Environment of a child process: the test that it runs, and the file that it reports the
// triggered failures in.
const (
	childTestEnv   = "WALKRUDDER_SIM_TEST"
	childReportEnv = "WALKRUDDER_SIM_REPORT"
)

// errNotRun means that a child process exited with success but without running its test.
var errNotRun = errors.New("the test did not run to its end")

// processSlots bounds how many child processes run at once: most worlds take about 1.5 cores
// and half a gigabyte, one with bursts of calls three times that.
var processSlots = make(chan struct{}, min(6, runtime.GOMAXPROCS(0)))

// isChildFor reports whether this process is the child process of t.
func isChildFor(t *testing.T) bool { return os.Getenv(childTestEnv) == t.Name() }

// inOwnProcess runs f, the whole of test t, in a child process if -sim.apart is set.
func inOwnProcess(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	switch {
	case isChildFor(t):
		defer func() {
			if err := triggered.save(os.Getenv(childReportEnv)); err != nil {
				t.Error(err)
			}
		}()
		f(t)
	case *separate && testing.CoverMode() == "":
		out, err := runChild(t, t.Name())
		if err != nil {
			t.Errorf("in a child process: %v\n%s", err, out)
		} else if testing.Verbose() {
			t.Logf("in a child process:\n%s", out)
		}
	default:
		f(t)
	}
}

// inBubble runs f, the whole of test t, on a virtual clock, and in a child process if -sim.apart
// is set.
func inBubble(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	inOwnProcess(t, func(t *testing.T) { synctest.Test(t, f) })
}

// runChild runs one test in a child process with the flags of this one, and adds the failures
// triggered there to those of this process.
func runChild(t *testing.T, name string) (out []byte, err error) {
	processSlots <- struct{}{}
	defer func() { <-processSlots }()
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	report := filepath.Join(t.TempDir(), "report")
	c := exec.CommandContext(t.Context(), self, childFlags(t, name)...)
	c.Env = append(os.Environ(), childTestEnv+"="+name, childReportEnv+"="+report)
	if out, err = c.CombinedOutput(); err != nil {
		return out, err
	}
	return out, triggered.load(report)
}

// childFlags returns the flags of a child process that runs only the named test.
func childFlags(t *testing.T, name string) []string {
	var path []string
	for _, n := range strings.Split(name, "/") {
		path = append(path, "^"+regexp.QuoteMeta(n)+"$")
	}
	out := []string{"-test.run=" + strings.Join(path, "/"), "-test.count=1", fmt.Sprintf("-test.v=%v", testing.Verbose())}
	// The child times out first, so that its stack traces show where it hangs.
	if d, ok := t.Deadline(); ok {
		out = append(out, fmt.Sprintf("-test.timeout=%s", max(time.Second, time.Until(d)-10*time.Second)))
	}
	flag.Visit(func(f *flag.Flag) {
		if strings.HasPrefix(f.Name, "sim.") {
			out = append(out, fmt.Sprintf("-%s=%s", f.Name, f.Value))
		}
	})
	return out
}

// save writes the counts to a file.
func (y *failureTally) save(file string) error {
	y.mu.Lock()
	defer y.mu.Unlock()
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(y.counts); err != nil {
		return err
	}
	return os.WriteFile(file, b.Bytes(), 0o600)
}

// load adds the counts that another process saved.
func (y *failureTally) load(file string) error {
	b, err := os.ReadFile(file)
	if errors.Is(err, os.ErrNotExist) {
		return errNotRun
	} else if err != nil {
		return err
	}
	counts := map[FailureKinds]map[string]int{}
	if err := gob.NewDecoder(bytes.NewReader(b)).Decode(&counts); err != nil {
		return err
	}
	for d, m := range counts {
		y.add(d, m)
	}
	return nil
}

// Guards against failures of a child process that its parent overlooks: each way in which a
// child can go wrong must fail the test that it ran for.
func TestProcessesTellHowTheyEnd(t *testing.T) {
	t.Parallel()
	mark := FailureKinds{Span: -1} // used by no suite
	for name, x := range map[string]struct {
		do   func(t *testing.T)
		want string // part of the output or error of a failure; "" for success
	}{
		"passes": {func(*testing.T) { triggered.add(mark, map[string]int{"mark": 3}) }, ""},
		"fails":  {func(t *testing.T) { t.Error("as asked") }, "as asked"},
		"stops":  {func(t *testing.T) { t.Fatal("as asked") }, "as asked"},
		"panics": {func(*testing.T) { panic("as asked") }, "as asked"},
		"exits":  {func(*testing.T) { os.Exit(3) }, "exit status 3"},
		"leaves": {func(*testing.T) { os.Exit(0) }, errNotRun.Error()},
		"hangs":  {func(t *testing.T) { synctest.Test(t, func(*testing.T) { <-make(chan struct{}) }) }, "deadlock"},
		"races":  {race, lo.Ternary(raceEnabled, "DATA RACE", "")},
	} {
		t.Run(name, func(t *testing.T) {
			if isChildFor(t) {
				inOwnProcess(t, x.do)
				return
			}
			out, err := runChild(t, t.Name())
			if (err != nil) != (x.want != "") || !strings.Contains(fmt.Sprintf("%s%v", out, err), x.want) {
				t.Errorf("%v, want %q:\n%s", err, x.want, out)
			}
			triggered.mu.Lock()
			defer triggered.mu.Unlock()
			if n := triggered.counts[mark]["mark"]; name == "passes" && n != 3 {
				t.Errorf("%d of 3 failures of a child process were loaded", n)
			}
		})
	}
	if os.Getenv(childTestEnv) != "" {
		return
	}
	if out, err := runChild(t, "TestOfNobody"); !errors.Is(err, errNotRun) {
		t.Errorf("for a test that does not exist: %v\n%s", err, out)
	}
}

// race is a data race on purpose.
func race(*testing.T) {
	n, done := 0, make(chan struct{})
	go func() { n++; close(done) }()
	n++
	<-done
}
