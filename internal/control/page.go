package control

import (
	"cmp"
	"slices"
)

const (
	// defaultRows is the number of rows of an answer when Most is 0.
	defaultRows = 200
	// maxAnswerBytes bounds the size of an answer; it is well below the message limit of a link.
	maxAnswerBytes = 1 << 20
)

// Page selects rows of a list: those with keys after After, and at most Most of them; 0 selects
// defaultRows.
type Page struct {
	After string `validate:"max=2048"`
	Most  int    `validate:"min=0,max=1000"`
}

// About describes the node that answers, and how current its data is.
type About struct {
	Node string `json:"node"`
	Zone string `json:"zone"`
	// Fresh reports that everything acknowledged until BehindMS ago is known here.
	Fresh    bool  `json:"fresh"`
	BehindMS int64 `json:"behind_ms"`
}

// Answer holds one page of rows.
type Answer[R any] struct {
	About
	Rows []R `json:"rows"`
	// Total is the number of rows on all pages. Next is the After of the next page; "" marks
	// the last page.
	Total int    `json:"total"`
	Next  string `json:"next,omitempty"`
}

// pageCollector collects the limit rows with the lowest keys after a given key, and one more. It
// does not keep the other rows, but counts them in total.
type pageCollector[T any] struct {
	after string
	limit int
	rows  []keyedRow[T]
	total int
}

// keyedRow is the value of a row before its conversion, with the key by which it is ordered.
type keyedRow[T any] struct {
	key   string
	value T
}

func newPageCollector[T any](p Page) *pageCollector[T] {
	return &pageCollector[T]{after: p.After, limit: cmp.Or(p.Most, defaultRows)}
}

// add adds a row; it replaces an earlier row with the same key.
func (p *pageCollector[T]) add(key string, value T) {
	p.total++
	if key <= p.after {
		return
	}
	if p.rows = append(p.rows, keyedRow[T]{key, value}); len(p.rows) > 4*(p.limit+1) {
		p.trim()
	}
}

// trim removes all rows but those of the page and one more, which shows whether there is a next
// page. Of several rows with one key it keeps the last.
func (p *pageCollector[T]) trim() {
	slices.SortStableFunc(p.rows, func(a, b keyedRow[T]) int { return cmp.Compare(a.key, b.key) })
	out := p.rows[:0]
	for _, r := range p.rows {
		if n := len(out); n > 0 && out[n-1].key == r.key {
			out[n-1] = r
			p.total--
			continue
		}
		out = append(out, r)
	}
	clear(p.rows[min(len(out), p.limit+1):])
	p.rows = out[:min(len(out), p.limit+1)]
}

// buildAnswer converts the rows of the page, as far as they fit into maxAnswerBytes, but at least
// one. The size that row returns is the approximate size of the variable parts of a row.
func buildAnswer[T, R any](a About, p *pageCollector[T], row func(key string, value T) (r R, size int)) Answer[R] {
	p.trim()
	out := Answer[R]{About: a, Rows: []R{}, Total: p.total}
	size := 0
	for i, r := range p.rows {
		x, n := row(r.key, r.value)
		if size += n + 64; i == p.limit || i > 0 && size > maxAnswerBytes {
			out.Next = p.rows[i-1].key
			break
		}
		out.Rows = append(out.Rows, x)
	}
	return out
}
