package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alexflint/go-arg"

	"walkrudder/internal/statement"
)

// sayArgs are the arguments of `controller say`.
type sayArgs struct {
	At    string   `arg:"--at,required" help:"door of a controller, IP:port"`
	JSON  bool     `arg:"--json" help:"print the answer as JSON"`
	Words []string `arg:"positional" help:"the query or command; without one, lines are read from standard input, up to the first that fails"`
}

// Description returns the text at the head of the help.
func (sayArgs) Description() string {
	return "controller say speaks one query or command to a controller, or one a line. Say help to see what can be said."
}

// say sends statements to a controller and returns the exit code: 0 if all succeeded, 1 if one was
// rejected or the controller could not be reached, 2 for invalid arguments.
func say(args []string, in io.Reader, out, errw io.Writer) int {
	var a sayArgs
	p, err := arg.NewParser(arg.Config{Program: "controller say"}, &a)
	if err == nil {
		err = p.Parse(args)
	}
	if errors.Is(err, arg.ErrHelp) {
		p.WriteHelp(out)
		return 0
	}
	if err != nil {
		_, _ = fmt.Fprintln(errw, "controller say:", err)
		return 2
	}
	if len(a.Words) > 0 {
		return a.send(joinWords(a.Words), out, errw)
	}
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, statement.MaxBytes+1)
	for n := 1; scanner.Scan(); n++ {
		line := strings.TrimSpace(scanner.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		if code := a.send(line, out, errw); code != 0 {
			_, _ = fmt.Fprintf(errw, "controller say: stopped at line %d: %s\n", n, line)
			return code
		}
	}
	if err := scanner.Err(); err != nil {
		_, _ = fmt.Fprintln(errw, "controller say:", err)
		return 2
	}
	return 0
}

// joinWords joins the words that the shell has split; a word that contains blanks was
// quoted and is quoted again.
func joinWords(words []string) string {
	if len(words) == 1 {
		return words[0]
	}
	for i, w := range words {
		if strings.ContainsAny(w, " \t") {
			words[i] = `"` + w + `"`
		}
	}
	return strings.Join(words, " ")
}

var httpClient = &http.Client{Timeout: 15 * time.Second}

// send sends one statement, prints the response and returns the exit code.
func (a sayArgs) send(text string, out, errw io.Writer) int {
	response, err := httpClient.Post("http://"+a.At+"/v1/say", "text/plain", strings.NewReader(text))
	if err != nil {
		_, _ = fmt.Fprintln(errw, "controller say:", err)
		return 1
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, 256<<20))
	if err != nil {
		_, _ = fmt.Fprintln(errw, "controller say:", err)
		return 1
	}
	code := 0
	if response.StatusCode != 200 {
		code = 1
	}
	var failure struct{ Error string }
	if code != 0 && json.Unmarshal(raw, &failure) == nil && failure.Error != "" {
		_, _ = fmt.Fprintln(errw, "controller say:", failure.Error)
		return code
	}
	if a.JSON {
		_, _ = fmt.Fprintln(out, strings.TrimSpace(string(raw)))
		return code
	}
	var result struct{ Data json.RawMessage }
	if err := json.Unmarshal(raw, &result); err != nil {
		_, _ = fmt.Fprintln(errw, "controller say:", err)
		return 1
	}
	printTable(result.Data, out)
	return code
}

// printTable prints a list of objects as a table, a string as it is, and any other value as indented JSON.
func printTable(raw json.RawMessage, out io.Writer) {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		_, _ = fmt.Fprintln(out, strings.TrimRight(text, "\n"))
		return
	}
	var rows []map[string]any
	if json.Unmarshal(raw, &rows) != nil {
		var b bytes.Buffer
		_ = json.Indent(&b, raw, "", "  ")
		_, _ = fmt.Fprintln(out, b.String())
		return
	}
	if len(rows) == 0 {
		_, _ = fmt.Fprintln(out, "nothing")
		return
	}
	names := columns(raw)
	writer := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(writer, strings.ToUpper(strings.Join(names, "\t")))
	for _, r := range rows {
		for i, c := range names {
			if i > 0 {
				_, _ = fmt.Fprint(writer, "\t")
			}
			switch v := r[c].(type) {
			case nil:
				_, _ = fmt.Fprint(writer, "-")
			case float64:
				_, _ = fmt.Fprintf(writer, "%.10g", v)
			case string, bool:
				_, _ = fmt.Fprint(writer, v)
			default:
				b, _ := json.Marshal(v)
				_, _ = writer.Write(b)
			}
		}
		_, _ = fmt.Fprintln(writer)
	}
	_ = writer.Flush()
}

// columns returns the field names of the rows, in order of first appearance.
func columns(raw json.RawMessage) (out []string) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	depth, key := 0, false
	for {
		token, err := decoder.Token()
		if err != nil {
			return out
		}
		switch value := token.(type) {
		case json.Delim:
			if value == '{' || value == '[' {
				depth++
				key = value == '{' && depth == 2
			} else {
				depth--
				key = depth == 2
			}
			continue
		case string:
			if depth == 2 && key {
				if !slices.Contains(out, value) {
					out = append(out, value)
				}
				key = false
				continue
			}
		}
		if depth == 2 {
			key = true
		}
	}
}
