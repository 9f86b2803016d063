package store

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/cockroachdb/errors"
)

const (
	// formatVersion is the format version of all files.
	formatVersion = 1
	// fileHeaderBytes is the size of the file header: kind, format version and checksum.
	fileHeaderBytes = 12
	// frameHeaderBytes is the size of the frame header: marker, length and checksum.
	frameHeaderBytes = 12
	// maxFrameBytes bounds a frame's payload; a larger length is treated as damage.
	maxFrameBytes = 256 << 20
)

// ErrDamaged means that the data folder is corrupt in a way that a crash can't cause.
var ErrDamaged = errors.New("data folder is damaged: move it away, start with an empty one, and run: cowslip replica replace NAME")

// ErrVersion means that the data folder has another format version.
var ErrVersion = errors.New("data folder is of another format version; use the program that wrote it, or a newer one")

var (
	castagnoli  = crc32.MakeTable(crc32.Castagnoli)
	frameMarker = []byte{0xc0, 0x51, 0x1f, 0xf5}
)

// fileKind is the magic number in the first four bytes of a file.
type fileKind string

const (
	kindLog      fileKind = "cowl"
	kindSnapshot fileKind = "cows"
	kindIdentity fileKind = "cowi"
)

func fileHeader(kind fileKind) []byte {
	header := binary.LittleEndian.AppendUint32([]byte(kind), formatVersion)
	return binary.LittleEndian.AppendUint32(header, crc32.Checksum(header, castagnoli))
}

// checkHeader verifies a file's header and returns the content after it.
func checkHeader(kind fileKind, name string, content []byte) ([]byte, error) {
	if len(content) < fileHeaderBytes || string(content[:4]) != string(kind) ||
		crc32.Checksum(content[:8], castagnoli) != binary.LittleEndian.Uint32(content[8:]) {
		return nil, errors.Wrapf(ErrDamaged, "%s: no header of kind %s", name, kind)
	}
	if v := binary.LittleEndian.Uint32(content[4:]); v != formatVersion {
		return nil, errors.Wrapf(ErrVersion, "%s: format version %d; this program reads version %d", name, v, formatVersion)
	}
	return content[fileHeaderBytes:], nil
}

// appendFrame appends a frame with the payload to buffer.
func appendFrame(buffer, payload []byte) []byte {
	var length [4]byte
	binary.LittleEndian.PutUint32(length[:], uint32(len(payload)))
	sum := crc32.Update(crc32.Checksum(length[:], castagnoli), castagnoli, payload)
	buffer = append(buffer, frameMarker...)
	buffer = append(buffer, length[:]...)
	buffer = binary.LittleEndian.AppendUint32(buffer, sum)
	return append(buffer, payload...)
}

// readFrame returns the payload and size of the frame at the start of content, or false if there is no whole frame.
func readFrame(content []byte) ([]byte, int, bool) {
	if len(content) < frameHeaderBytes || !bytes.Equal(content[:4], frameMarker) {
		return nil, 0, false
	}
	size := int(binary.LittleEndian.Uint32(content[4:]))
	if size > maxFrameBytes || size > len(content)-frameHeaderBytes {
		return nil, 0, false
	}
	payload := content[frameHeaderBytes : frameHeaderBytes+size]
	sum := crc32.Update(crc32.Checksum(content[4:8], castagnoli), castagnoli, payload)
	return payload, frameHeaderBytes + size, sum == binary.LittleEndian.Uint32(content[8:])
}

// containsFrame reports whether there is a whole frame anywhere in content.
func containsFrame(content []byte) bool {
	for {
		at := bytes.Index(content, frameMarker)
		if at < 0 {
			return false
		}
		if _, _, ok := readFrame(content[at:]); ok {
			return true
		}
		content = content[at+1:]
	}
}
