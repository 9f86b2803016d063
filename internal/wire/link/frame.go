package link

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

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
