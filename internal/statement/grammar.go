// Package statement implements the small language of queries and commands that operators
// send over HTTP or with `controller say` (design 16).
//
// The parser names the struct types of the grammar in its error messages; describe
// replaces some of these by the words that are expected.
package statement

import (
	"fmt"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// Statement is a query or command.
type Statement struct {
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

// Show is a query that lists objects.
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

// Targets selects the targets of one service, or all.
type Targets struct {
	Service string `parser:"('of' @(Word|String))?"`
}

// Ledger limits the number of decisions shown.
type Ledger struct {
	Last int `parser:"('last' @Number)?"`
}

// Which identifies a change by version or token.
type Which struct {
	Version uint64 `parser:"@Number"`
	Token   string `parser:"| 'token' @(Word|String)"`
}

// Version selects an earlier version of the sheet; 0 is the latest.
type Version struct {
	Number uint64 `parser:"('at' @Number)?"`
}

// Why asks for an explanation of a target's state or of a call.
type Why struct {
	Target *Target `parser:"'target' @@"`
	Call   *string `parser:"| 'call' @(Word|String)"`
}

// Drain names the target or node that is to get no new requests.
type Drain struct {
	Target *Target `parser:"'target' @@"`
	Node   *string `parser:"| 'node' @(Word|String)"`
}

// Swap names the voter that gives up its seat and the disk node that takes it.
type Swap struct {
	Out string `parser:"@(Word|String)"`
	In  string `parser:"'for' @(Word|String)"`
}

// Target identifies a target as service/id.
type Target struct {
	Name string `parser:"@(Word|String)"`
}

// Diff names the two versions to compare.
type Diff struct {
	From uint64 `parser:"@Number"`
	To   uint64 `parser:"@Number"`
}

// Order is a change of the route sheet; with "check" it is only validated.
type Order struct {
	Check bool    `parser:"@'check'?"`
	Edits []*Edit `parser:"@@ ('and' @@)*"`
	Base  *uint64 `parser:"('on' @Number)?"`
	Token string  `parser:"('token' @(Word|String))?"`
	By    string  `parser:"('by' @(Word|String))?"`
	Note  string  `parser:"('note' @String)?"`
}

// Edit is one edit of an order.
type Edit struct {
	Put      *Put    `parser:"'put' @@"`
	Remove   *Remove `parser:"| 'remove' @@"`
	RollBack *uint64 `parser:"| 'roll' 'back' 'to' @Number"`
}

// Put adds or replaces a service or binding.
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

// Remove removes a service or binding.
type Remove struct {
	Service *string `parser:"'service' @(Word|String)"`
	Binding *string `parser:"| 'binding' @(Word|String)"`
}

// tokens are the lexical rules of the language.
var tokens = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "String", Pattern: `"[^"]*"`},
	{Name: "Number", Pattern: `[0-9]+(\.[0-9]+)?\b`},
	{Name: "Path", Pattern: `/[^\s,"]*`},
	{Name: "Word", Pattern: `[A-Za-z][A-Za-z0-9._/-]*`},
	{Name: "Comma", Pattern: `,`},
	{Name: "Space", Pattern: `\s+`},
})

var parser = participle.MustBuild[Statement](participle.Lexer(tokens), participle.Elide("Space"), participle.Unquote("String"), participle.UseLookahead(3))

// MaxBytes bounds the size of a statement.
const MaxBytes = 64 << 10

// Parse parses a statement. Errors give the position and what was expected there.
func Parse(s string) (*Statement, error) {
	if len(s) > MaxBytes {
		return nil, fmt.Errorf("longer than %d bytes", MaxBytes)
	}
	if strings.TrimSpace(s) == "" {
		return nil, fmt.Errorf("1:1: nothing was said; try: help")
	}
	x, err := parser.ParseString("", s)
	if err != nil {
		if p, ok := err.(participle.Error); ok {
			at := p.Position()
			return nil, fmt.Errorf("%d:%d: %s", at.Line, at.Column, describe(p))
		}
		return nil, err
	}
	return x, nil
}

// expectations maps grammar type names to the keywords that such a part starts with.
var expectations = strings.NewReplacer("Put", `"service" or "binding"`, "Remove", `"service" or "binding"`, "Show", `"nodes", "targets", "services", "bindings", "core", "sheet", "change", "ledger" or "picture"`,
	"Why", `"target" or "call"`, "Drain", `"target" or "node"`, "Which", `<number> or "token"`, "Edit", `"put", "remove" or "roll back"`,
	"(<word> | <string>)", "<name>")

// describe rewrites a parser error in terms of what the operator can type.
func describe(p participle.Error) string {
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
		// The parser also lists what may follow an edit; only the missing edit matters.
		want = "Edit"
	}
	return m[:i] + ", expected " + expectations.Replace(want)
}

// Help lists the statements.
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
