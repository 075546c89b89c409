package day

// Fault is what is wrong with a target for a while. Shares are of its requests.
type Fault struct {
	Silent   float64 // runs, and never answers
	Resets   float64 // runs, and resets the connection instead of an answer
	Grey     float64 // resets before it runs
	Garbles  float64 // hands out wrong bytes
	Garble   Garble
	Factor   float64 // of its work time; 0 is 1
	Full     bool    // turns all away
	FullHard bool    // and does so by a reset
	Unwell   bool    // its health answer says 503, though it serves
	Mute     bool    // its health answer says 200, though it answers nothing else
	Forgets  bool    // closes idle connections against its word
}

// Garble is a way to spoil an answer.
type Garble int

// Ways to spoil an answer.
const (
	WrongBytes Garble = iota // that are no answer
	Extra                    // more behind a whole answer, at once or late
	Short                    // breaks off
	OtherID                  // names another request
	Surplus                  // the answer before once more, in front of the one that is due
	Unsealed                 // a success that is not the target's own
	Unframed                 // its end is that of the connection, and comes early
	Promise                  // says 503 though it ran, without the word that it did not
	garbles
)
