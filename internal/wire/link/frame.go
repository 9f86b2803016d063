package link

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"cowslipstack/internal/wire/guard"
	"cowslipstack/internal/wire/peer"
)

const (
	// maxFrameBytes bounds one frame. The largest frames hold a chunk of a snapshot or a configuration.
	maxFrameBytes = 8 << 20
	// headerBytes is the size of the length prefix, a big-endian uint32.
	headerBytes = 4
)

// appendFrame appends a frame with its length prefix to buf. It fails if the frame exceeds maxFrameBytes.
func appendFrame(buf []byte, f *peer.Link) ([]byte, error) {
	start := len(buf)
	buf = append(buf, 0, 0, 0, 0)
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, f)
	if err != nil {
		return nil, errors.Wrap(err, "encode frame")
	}
	size := len(buf) - start - headerBytes
	if size > maxFrameBytes {
		return nil, errors.Newf("frame of %d bytes is too large", size)
	}
	binary.BigEndian.PutUint32(buf[start:], uint32(size))
	return buf, nil
}

// minFrameCost is what a frame counts for beside its bytes: the goroutine that answers it.
const minFrameCost = 8 << 10

// readGuarded reads one frame of a client that isn't controlled. The bytes of the frame are counted until release is called,
// which must be done if there is no error.
func readGuarded(g *guard.Guard, conn net.Conn, r *bufio.Reader) (f *peer.Link, release func(), err error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, nil, errors.Wrap(err, "read frame")
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > maxFrameBytes {
		return nil, nil, errors.Newf("frame length of %d bytes is too large", size)
	}
	release = func() {}
	if own, ok := conn.(*guard.Conn); ok {
		own.Begin()
		release = own.End
	}
	body := g.OpenFrame(conn, r, int64(size))
	endRequest := release
	release = func() {
		body.Release()
		endRequest()
	}
	f, err = decodeGuarded(body, int(size))
	if err != nil {
		release()
		return nil, nil, err
	}
	return f, release, nil
}

// decodeGuarded reads and decodes a frame of so many bytes.
func decodeGuarded(body *guard.Body, size int) (*peer.Link, error) {
	if err := body.Reserve(minFrameCost); err != nil {
		return nil, errors.Wrap(err, "read frame")
	}
	data, err := io.ReadAll(body)
	if err != nil {
		return nil, errors.Wrap(err, "read frame")
	}
	if len(data) < size {
		return nil, errors.Wrap(io.ErrUnexpectedEOF, "read frame")
	}
	f := &peer.Link{}
	return f, errors.Wrap(proto.Unmarshal(data, f), "decode frame")
}

// readFrame reads one frame. It fails if the length prefix exceeds maxFrameBytes.
func readFrame(r *bufio.Reader) (*peer.Link, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, errors.Wrap(err, "read frame")
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > maxFrameBytes {
		return nil, errors.Newf("frame length of %d bytes is too large", size)
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(r, data); err != nil {
		return nil, errors.Wrap(err, "read frame")
	}
	f := &peer.Link{}
	return f, errors.Wrap(proto.Unmarshal(data, f), "decode frame")
}
