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

// MaxFrameSize limits the size of a frame, so that no peer can make this process allocate
// memory without limit (design 3.2).
const MaxFrameSize = 8 << 20

const (
	// maxRetainedFrame is the size of the largest frame after which both ends keep their buffers and
	// their gob stream (design 3.3).
	maxRetainedFrame = 16 << 10
	// streamResetBit is set in the length of a frame after which a new gob stream starts.
	streamResetBit = 1 << 31
)

var (
	errFrameSize     = errors.New("frame larger than the limit")
	errTrailingBytes = errors.New("bytes left over after the value in a frame")
)

var registeredTypes sync.Map

// Register registers T with gob, once for each type.
func Register[T any]() {
	t := reflect.TypeFor[T]()
	if _, dup := registeredTypes.LoadOrStore(t, true); dup {
		return
	}
	gob.RegisterName(t.String(), reflect.New(t).Elem().Interface())
}

// envelope is the content of a frame: a request or a response.
type envelope struct {
	ID    uint64
	Reply bool
	Err   string
	Wait  int64 // requests only: time until the caller's deadline, in nanoseconds
	Body  any
}

// greeting is the first message of a connection, in each direction (design 3.1).
type greeting struct {
	Magic   string
	Version int
	ID      string
	Kind    string
}

const (
	protocolMagic   = "walkrudder"
	protocolVersion = 2
)

// framer writes and reads values as frames on a connection. All frames share one gob stream,
// so that each type is described only once. gob keeps buffers as large as the largest value
// for the lifetime of its stream, so both ends start a new stream after a large
// frame.
type framer struct {
	writer   io.Writer
	reader   io.Reader
	writeBuf bytes.Buffer
	readBuf  frameReader
	enc      *gob.Encoder
	dec      *gob.Decoder
}

func newFramer(r io.Reader, w io.Writer) *framer {
	f := &framer{reader: r, writer: w}
	f.enc = gob.NewEncoder(&f.writeBuf)
	f.dec = gob.NewDecoder(&f.readBuf)
	return f
}

// write sends one value. It must not be called concurrently.
func (f *framer) write(v any) error {
	f.writeBuf.Reset()
	f.writeBuf.Write([]byte{0, 0, 0, 0})
	if err := f.enc.Encode(v); err != nil {
		return err
	}
	frame := f.writeBuf.Bytes()
	if len(frame)-4 > MaxFrameSize {
		return errFrameSize
	}
	size := uint32(len(frame) - 4)
	reset := size > maxRetainedFrame
	if reset {
		size |= streamResetBit
	}
	binary.BigEndian.PutUint32(frame, size)
	_, err := f.writer.Write(frame)
	if reset {
		f.writeBuf = bytes.Buffer{}
		f.enc = gob.NewEncoder(&f.writeBuf)
	}
	return err
}

// read receives one value; it is an error if the frame holds less or more than that value.
func (f *framer) read(v any) error {
	var header [4]byte
	if _, err := io.ReadFull(f.reader, header[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(header[:])
	reset := size&streamResetBit > 0
	size &^= streamResetBit
	if size == 0 || size > MaxFrameSize {
		return errFrameSize
	}
	// The buffer grows with the data that arrives, whatever length the header claims.
	f.readBuf.Reset()
	if copied, err := io.CopyN(&f.readBuf.Buffer, f.reader, int64(size)); err != nil || copied != int64(size) {
		return io.ErrUnexpectedEOF
	}
	if err := f.dec.Decode(v); err != nil {
		return err
	}
	if f.readBuf.Len() != 0 {
		return errTrailingBytes
	}
	if reset {
		f.readBuf = frameReader{}
		f.dec = gob.NewDecoder(&f.readBuf)
	}
	return nil
}

// frameReader reads to the end of a frame. It is an io.ByteReader, so that gob does not add
// a buffer that reads ahead.
type frameReader struct{ bytes.Buffer }

// RegisterPair registers a request type and its response type with gob. Each package does so for
// all its types at start-up, since a process also sends requests that it has no handler for.
func RegisterPair[A, R any]() {
	Register[A]()
	Register[R]()
}
