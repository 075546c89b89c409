package control

import (
	"cmp"
	"slices"
)

const (
	// usualRows is how many rows an answer has where nothing else is asked for.
	usualRows = 200
	// mostBytes bounds an answer: well below what a link carries.
	mostBytes = 1 << 20
)

// Page says which rows of a list are wanted: those past the key After, at most Most; 0 is
// usualRows.
type Page struct {
	After string `validate:"max=2048"`
	Most  int    `validate:"min=0,max=1000"`
}

// About says who answers, and how far it can be believed.
type About struct {
	Node string `json:"node"`
	Zone string `json:"zone"`
	// Fresh says that everything acknowledged until BehindMS ago is known here.
	Fresh    bool  `json:"fresh"`
	BehindMS int64 `json:"behind_ms"`
}

// Answer holds one page of rows.
type Answer[R any] struct {
	About
	Rows []R `json:"rows"`
	// Total is how many rows there are in all. Next is the After of the next page; ""
	// says that this is the last.
	Total int    `json:"total"`
	Next  string `json:"next,omitempty"`
}

// page gathers the rows with the lowest keys past one, without keeping all of them.
type page[T any] struct {
	after string
	most  int
	rows  []keyed[T]
	total int
}

type keyed[T any] struct {
	key string
	of  T
}

func newPage[T any](p Page) *page[T] {
	return &page[T]{after: p.After, most: cmp.Or(p.Most, usualRows)}
}

// add takes in one row; of two with one key the later stands.
func (p *page[T]) add(key string, of T) {
	p.total++
	if key <= p.after {
		return
	}
	if p.rows = append(p.rows, keyed[T]{key, of}); len(p.rows) > 4*(p.most+1) {
		p.trim()
	}
}

// trim keeps what is on the page, and one more to tell that there is more.
func (p *page[T]) trim() {
	slices.SortStableFunc(p.rows, func(a, b keyed[T]) int { return cmp.Compare(a.key, b.key) })
	out := p.rows[:0]
	for _, r := range p.rows {
		if n := len(out); n > 0 && out[n-1].key == r.key {
			out[n-1] = r
			p.total--
			continue
		}
		out = append(out, r)
	}
	clear(p.rows[min(len(out), p.most+1):])
	p.rows = out[:min(len(out), p.most+1)]
}

// pageOf makes rows of what is on the page, as far as they fit. size is about what a row
// takes besides its fixed parts.
func pageOf[T, R any](a About, p *page[T], row func(key string, of T) (r R, size int)) Answer[R] {
	p.trim()
	out := Answer[R]{About: a, Rows: []R{}, Total: p.total}
	size := 0
	for i, r := range p.rows {
		x, n := row(r.key, r.of)
		if size += n + 64; i == p.most || i > 0 && size > mostBytes {
			out.Next = p.rows[i-1].key
			break
		}
		out.Rows = append(out.Rows, x)
	}
	return out
}
