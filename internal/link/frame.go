package link

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"errors"
	"io"
	"reflect"
	"sync"
)

// MaxFrame bounds one frame, so that no peer can make this process allocate
// without limit (design 3.2).
const MaxFrame = 8 << 20

const (
	// keepFrame is the largest frame after which both ends keep their buffers and their
	// gob stream (design 3.3).
	keepFrame = 16 << 10
	// anewBit in a frame's length says that the gob stream begins anew behind it.
	anewBit = 1 << 31
)

var (
	errFrameSize = errors.New("frame larger than the limit")
	errFrameTail = errors.New("bytes left over after the value in a frame")
)

var known sync.Map

// Register makes T known to gob; each type once.
func Register[T any]() {
	t := reflect.TypeFor[T]()
	if _, dup := known.LoadOrStore(t, true); dup {
		return
	}
	gob.RegisterName(t.String(), reflect.New(t).Elem().Interface())
}

// envelope is what travels in a frame: a question, or the answer to one.
type envelope struct {
	ID    uint64
	Reply bool
	Err   string
	Wait  int64 // the asker's patience in nanoseconds, for questions
	Body  any
}

// greeting opens every link, in both directions (design 3.1).
type greeting struct {
	Magic   string
	Version int
	ID      string
	Kind    string
}

const (
	magic   = "walkrudder"
	version = 2
)

// framer writes and reads values as frames over one stream. One gob stream runs
// through the frames, so that type descriptions travel once. gob keeps buffers of the
// size of the largest value for as long as its stream lives, so behind a large frame it
// begins anew, at both ends.
type framer struct {
	w   io.Writer
	r   io.Reader
	out bytes.Buffer
	in  frameReader
	enc *gob.Encoder
	dec *gob.Decoder
}

func newFramer(r io.Reader, w io.Writer) *framer {
	f := &framer{r: r, w: w}
	f.enc = gob.NewEncoder(&f.out)
	f.dec = gob.NewDecoder(&f.in)
	return f
}

// write sends one value; the caller serialises.
func (f *framer) write(v any) error {
	f.out.Reset()
	f.out.Write([]byte{0, 0, 0, 0})
	if err := f.enc.Encode(v); err != nil {
		return err
	}
	b := f.out.Bytes()
	if len(b)-4 > MaxFrame {
		return errFrameSize
	}
	n := uint32(len(b) - 4)
	anew := n > keepFrame
	if anew {
		n |= anewBit
	}
	binary.BigEndian.PutUint32(b, n)
	_, err := f.w.Write(b)
	if anew {
		f.out = bytes.Buffer{}
		f.enc = gob.NewEncoder(&f.out)
	}
	return err
}

// read takes one value; a frame that holds less or more than it is an error.
func (f *framer) read(v any) error {
	var h [4]byte
	if _, err := io.ReadFull(f.r, h[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(h[:])
	anew := n&anewBit > 0
	n &^= anewBit
	if n == 0 || n > MaxFrame {
		return errFrameSize
	}
	// Grow with what really arrives, not with what the header claims.
	f.in.Reset()
	if m, err := io.CopyN(&f.in.Buffer, f.r, int64(n)); err != nil || m != int64(n) {
		return io.ErrUnexpectedEOF
	}
	if err := f.dec.Decode(v); err != nil {
		return err
	}
	if f.in.Len() != 0 {
		return errFrameTail
	}
	if anew {
		f.in = frameReader{}
		f.dec = gob.NewDecoder(&f.in)
	}
	return nil
}

// frameReader ends at the frame's end, and offers bytes singly so that gob adds
// no read-ahead of its own.
type frameReader struct{ bytes.Buffer }

// Pair makes a question and its answer known to gob. Every package does so for
// all of its own at start, for a process asks what it never answers.
func Pair[A, R any]() {
	Register[A]()
	Register[R]()
}
