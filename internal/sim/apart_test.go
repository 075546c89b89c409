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

// The race detector keeps a part of the trace of each goroutine, 128 KB, also of those
// that ended, and takes new ones while the old lie unused: in one process the suites'
// worlds grow to many times what runs at once. So under the race detector every world
// has a process of its own, which is this test program run for one test; what it took
// goes back when the world ends.

var split = flag.Bool("sim.apart", raced, "run each world in a process of its own; so by default under the race detector")

// Both are set for a process of its own: the test that it is for, and the file for what
// it brought about.
const (
	meantEnv  = "WALKRUDDER_SIM_TEST"
	reportEnv = "WALKRUDDER_SIM_REPORT"
)

// errNotRun is of a process that ended well without a run of the test that it was for.
var errNotRun = errors.New("the test did not run to its end")

// seats bounds how many worlds run at once in processes of their own: most take about a
// core and half a gigabyte, a crowded one three times that.
var seats = make(chan struct{}, min(6, runtime.GOMAXPROCS(0)))

// meant tells whether this process is there for t alone.
func meant(t *testing.T) bool { return os.Getenv(meantEnv) == t.Name() }

// apart runs f, the whole of test t, in a process of its own where worlds are split.
func apart(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	switch {
	case meant(t):
		defer func() {
			if err := drawn.save(os.Getenv(reportEnv)); err != nil {
				t.Error(err)
			}
		}()
		f(t)
	case *split && testing.CoverMode() == "":
		out, err := process(t, t.Name())
		if err != nil {
			t.Errorf("in a process of its own: %v\n%s", err, out)
		} else if testing.Verbose() {
			t.Logf("in a process of its own:\n%s", out)
		}
	default:
		f(t)
	}
}

// bubble runs f, the whole of test t, on a virtual clock, and apart.
func bubble(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	apart(t, func(t *testing.T) { synctest.Test(t, f) })
}

// process runs one test in a process of its own, with the flags of this one, and adds
// what it brought about to what this one did.
func process(t *testing.T, name string) (out []byte, err error) {
	seats <- struct{}{}
	defer func() { <-seats }()
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	report := filepath.Join(t.TempDir(), "report")
	c := exec.CommandContext(t.Context(), self, flags(t, name)...)
	c.Env = append(os.Environ(), meantEnv+"="+name, reportEnv+"="+report)
	if out, err = c.CombinedOutput(); err != nil {
		return out, err
	}
	return out, drawn.load(report)
}

// flags are those for a process that runs one test only.
func flags(t *testing.T, name string) []string {
	var path []string
	for _, n := range strings.Split(name, "/") {
		path = append(path, "^"+regexp.QuoteMeta(n)+"$")
	}
	out := []string{"-test.run=" + strings.Join(path, "/"), "-test.count=1", fmt.Sprintf("-test.v=%v", testing.Verbose())}
	// It tells where it hangs before this one does so without knowing.
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

// save writes what was brought about to a file.
func (y *tally) save(file string) error {
	y.mu.Lock()
	defer y.mu.Unlock()
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(y.acts); err != nil {
		return err
	}
	return os.WriteFile(file, b.Bytes(), 0o600)
}

// load adds what another process brought about.
func (y *tally) load(file string) error {
	b, err := os.ReadFile(file)
	if errors.Is(err, os.ErrNotExist) {
		return errNotRun
	} else if err != nil {
		return err
	}
	acts := map[Defects]map[string]int{}
	if err := gob.NewDecoder(bytes.NewReader(b)).Decode(&acts); err != nil {
		return err
	}
	for d, m := range acts {
		y.note(d, m)
	}
	return nil
}

// Whatever goes wrong in a process of its own fails the test that it was for.
func TestProcessesTellHowTheyEnd(t *testing.T) {
	t.Parallel()
	mark := Defects{Span: -1} // no suite's
	for name, x := range map[string]struct {
		do   func(t *testing.T)
		want string // told where it fails; "" where it ends well
	}{
		"passes": {func(*testing.T) { drawn.note(mark, map[string]int{"mark": 3}) }, ""},
		"fails":  {func(t *testing.T) { t.Error("as asked") }, "as asked"},
		"stops":  {func(t *testing.T) { t.Fatal("as asked") }, "as asked"},
		"panics": {func(*testing.T) { panic("as asked") }, "as asked"},
		"exits":  {func(*testing.T) { os.Exit(3) }, "exit status 3"},
		"leaves": {func(*testing.T) { os.Exit(0) }, errNotRun.Error()},
		"hangs":  {func(t *testing.T) { synctest.Test(t, func(*testing.T) { <-make(chan struct{}) }) }, "deadlock"},
		"races":  {race, lo.Ternary(raced, "DATA RACE", "")},
	} {
		t.Run(name, func(t *testing.T) {
			if meant(t) {
				apart(t, x.do)
				return
			}
			out, err := process(t, t.Name())
			if (err != nil) != (x.want != "") || !strings.Contains(fmt.Sprintf("%s%v", out, err), x.want) {
				t.Errorf("%v, want %q:\n%s", err, x.want, out)
			}
			drawn.mu.Lock()
			defer drawn.mu.Unlock()
			if n := drawn.acts[mark]["mark"]; name == "passes" && n != 3 {
				t.Errorf("of 3 acts in another process %d are known", n)
			}
		})
	}
	if os.Getenv(meantEnv) != "" {
		return
	}
	if out, err := process(t, "TestOfNobody"); !errors.Is(err, errNotRun) {
		t.Errorf("no such test, and told %v:\n%s", err, out)
	}
}

// race writes twice at once.
func race(*testing.T) {
	n, done := 0, make(chan struct{})
	go func() { n++; close(done) }()
	n++
	<-done
}
