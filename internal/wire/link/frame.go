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
	// maxFrameBytes bounds one frame; the largest hold a piece of a snapshot or a configuration.
	maxFrameBytes = 8 << 20
	headBytes     = 4
)

// appendFrame adds a frame, its length first.
func appendFrame(to []byte, f *peer.Link) ([]byte, error) {
	at := len(to)
	to = append(to, 0, 0, 0, 0)
	to, err := proto.MarshalOptions{}.MarshalAppend(to, f)
	if err != nil {
		return nil, errors.Wrap(err, "encode frame")
	}
	size := len(to) - at - headBytes
	if size > maxFrameBytes {
		return nil, errors.Newf("a frame of %d bytes is too large", size)
	}
	binary.BigEndian.PutUint32(to[at:], uint32(size))
	return to, nil
}

// readFrame reads one frame.
func readFrame(from *bufio.Reader) (*peer.Link, error) {
	var head [headBytes]byte
	if _, err := io.ReadFull(from, head[:]); err != nil {
		return nil, errors.Wrap(err, "read frame")
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > maxFrameBytes {
		return nil, errors.Newf("a frame announces %d bytes", size)
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(from, data); err != nil {
		return nil, errors.Wrap(err, "read frame")
	}
	f := &peer.Link{}
	return f, errors.Wrap(proto.Unmarshal(data, f), "decode frame")
}
