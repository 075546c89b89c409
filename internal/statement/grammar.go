// Package statement is the small language of queries and commands, spoken over HTTP
// or with `controller say` (design 16).
package statement

import (
	"fmt"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// Saying is one query or command.
type Saying struct {
	Show    *Show   `parser:"'show' @@"`
	Why     *Why    `parser:"| 'why' @@"`
	History *string `parser:"| 'history' 'of' 'binding' @(Word|String)"`
	Diff    *Diff   `parser:"| 'diff' @@"`
	Wait    *uint64 `parser:"| 'wait' 'for' @Number"`
	Order   *Order  `parser:"| @@"`
	Drain   *Drain  `parser:"| 'drain' @@"`
	Resume  *string `parser:"| 'resume' 'node' @(Word|String)"`
	Swap    *Swap   `parser:"| 'swap' 'disk' @@"`
	Forget  *string `parser:"| 'forget' 'gateway' @(Word|String)"`
	Help    bool    `parser:"| @'help'"`
}

// Show is a query that lists something.
type Show struct {
	Nodes    bool     `parser:"@'nodes'"`
	Targets  *Targets `parser:"| 'targets' @@"`
	Bindings bool     `parser:"| @'bindings'"`
	Services bool     `parser:"| @'services'"`
	Ledger   *Ledger  `parser:"| 'ledger' @@"`
	Change   *Which   `parser:"| 'change' @@"`
	Sheet    *Version `parser:"| 'sheet' @@"`
	Picture  bool     `parser:"| @'picture'"`
	Core     bool     `parser:"| @'core'"`
}

// Targets may name a service.
type Targets struct {
	Of string `parser:"('of' @(Word|String))?"`
}

// Ledger may limit how much is shown.
type Ledger struct {
	Last int `parser:"('last' @Number)?"`
}

// Which names a change by version or token.
type Which struct {
	N     uint64 `parser:"@Number"`
	Token string `parser:"| 'token' @(Word|String)"`
}

// Version may name an earlier sheet.
type Version struct {
	N uint64 `parser:"('at' @Number)?"`
}

// Why asks for the reasons of something.
type Why struct {
	Target *Target `parser:"'target' @@"`
	Call   *string `parser:"| 'call' @(Word|String)"`
}

// Drain names what gets no new work.
type Drain struct {
	Target *Target `parser:"'target' @@"`
	Node   *string `parser:"| 'node' @(Word|String)"`
}

// Swap names the voter that gives its seat up and the disk node that takes it.
type Swap struct {
	Out string `parser:"@(Word|String)"`
	In  string `parser:"'for' @(Word|String)"`
}

// Target names a target as service/id.
type Target struct {
	Name string `parser:"@(Word|String)"`
}

// Diff names two versions.
type Diff struct {
	A uint64 `parser:"@Number"`
	B uint64 `parser:"@Number"`
}

// Order is a change of the sheet; "check" only looks whether it may be made.
type Order struct {
	Check bool    `parser:"@'check'?"`
	Edits []*Edit `parser:"@@ ('and' @@)*"`
	Base  *uint64 `parser:"('on' @Number)?"`
	Token string  `parser:"('token' @(Word|String))?"`
	By    string  `parser:"('by' @(Word|String))?"`
	Note  string  `parser:"('note' @String)?"`
}

// Edit is one part of an order.
type Edit struct {
	Put      *Put    `parser:"'put' @@"`
	Remove   *Remove `parser:"| 'remove' @@"`
	RollBack *uint64 `parser:"| 'roll' 'back' 'to' @Number"`
}

// Put adds or replaces.
type Put struct {
	Service *PutService `parser:"'service' @@"`
	Binding *PutBinding `parser:"| 'binding' @@"`
}

// PutService describes a service.
type PutService struct {
	Name    string   `parser:"@(Word|String)"`
	Suspect *float64 `parser:"('suspect' @Number)?"`
	Note    string   `parser:"('about' @String)?"`
}

// PutBinding describes a binding.
type PutBinding struct {
	Name       string   `parser:"@(Word|String)"`
	Methods    []string `parser:"'takes' @Word (',' @Word)*"`
	Path       string   `parser:"@(Path|String)"`
	Service    string   `parser:"'to' @(Word|String)"`
	Expiry     int      `parser:"'within' @Number 'ms'"`
	Repeatable bool     `parser:"(@'repeatable' | 'once')"`
	MaxBody    int      `parser:"('body' @Number)?"`
	Note       string   `parser:"('about' @String)?"`
}

// Remove takes away.
type Remove struct {
	Service *string `parser:"'service' @(Word|String)"`
	Binding *string `parser:"| 'binding' @(Word|String)"`
}

var words = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "String", Pattern: `"[^"]*"`},
	{Name: "Number", Pattern: `[0-9]+(\.[0-9]+)?\b`},
	{Name: "Path", Pattern: `/[^\s,"]*`},
	{Name: "Word", Pattern: `[A-Za-z][A-Za-z0-9._/-]*`},
	{Name: "Comma", Pattern: `,`},
	{Name: "Space", Pattern: `\s+`},
})

var parser = participle.MustBuild[Saying](participle.Lexer(words), participle.Elide("Space"), participle.Unquote("String"), participle.UseLookahead(3))

// MaxSaying bounds a saying in bytes.
const MaxSaying = 64 << 10

// Parse reads a saying. What is wrong is told with its position and with what was
// expected there.
func Parse(s string) (*Saying, error) {
	if len(s) > MaxSaying {
		return nil, fmt.Errorf("longer than %d bytes", MaxSaying)
	}
	if strings.TrimSpace(s) == "" {
		return nil, fmt.Errorf("1:1: nothing was said; try: help")
	}
	x, err := parser.ParseString("", s)
	if err != nil {
		if p, ok := err.(participle.Error); ok {
			at := p.Position()
			return nil, fmt.Errorf("%d:%d: %s", at.Line, at.Column, plain(p))
		}
		return nil, err
	}
	return x, nil
}

// parts says what the grammar's parts begin with.
var parts = strings.NewReplacer("Put", `"service" or "binding"`, "Remove", `"service" or "binding"`, "Show", `"nodes", "targets", "services", "bindings", "core", "sheet", "change", "ledger" or "picture"`,
	"Why", `"target" or "call"`, "Drain", `"target" or "node"`, "Which", `<number> or "token"`, "Edit", `"put", "remove" or "roll back"`,
	"(<word> | <string>)", "<name>")

// plain says an error in words that can be typed.
func plain(p participle.Error) string {
	m := strings.ReplaceAll(p.Message(), `token "<EOF>"`, "end")
	i := strings.Index(m, " (expected ")
	if i < 0 {
		return m
	}
	want := m[i+len(" (expected ") : len(m)-1]
	switch {
	case p.Position().Offset == 0:
		want = "a query or a command; try: help"
	case strings.HasPrefix(want, "Edit"):
		// What may follow an edit is not what is missing here.
		want = "Edit"
	}
	return m[:i] + ", expected " + parts.Replace(want)
}

// Help lists what can be said.
const Help = `queries:
  show nodes | targets [of SERVICE] | services | bindings | core
  show sheet [at VERSION]
  show change VERSION | show change token TOKEN
  show ledger [last N]
  show picture
  why target SERVICE/ID | why call CALL
  history of binding NAME
  diff VERSION VERSION
  wait for VERSION
commands ("check" before an order only looks whether it may be made):
  [check] EDIT [and EDIT ...] [on VERSION] [token TOKEN] [by NAME] [note "..."]
    put service NAME [suspect 0.99] [about "..."]
    put binding NAME takes METHOD[,METHOD] PATH to SERVICE within N ms repeatable|once [body N] [about "..."]
    remove service NAME
    remove binding NAME
    roll back to VERSION
  drain target SERVICE/ID
  drain node ID | resume node ID
  swap disk ID for ID
  forget gateway ID
`
