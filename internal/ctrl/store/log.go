package store

import (
	"bufio"
	"encoding/binary"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/cockroachdb/errors"

	"cowslipstack/internal/ctrl/quorum"
)

const (
	logName     = "log"
	lockName    = "lock"
	headerBytes = 8
	// maxRecordBytes bounds what a damaged length can make the reader allocate.
	maxRecordBytes = 64 << 20
)

// ErrInUse says that another process holds the data folder.
var ErrInUse = errors.New("data folder is in use by another process")

// ErrDamaged says that a record before the end of the log is damaged.
var ErrDamaged = errors.New("log is damaged before its end; replace this replica")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Codec turns log entries into bytes and back.
type Codec interface {
	// EncodeEntry returns an entry's bytes.
	EncodeEntry(quorum.Entry) ([]byte, error)
	// DecodeEntry returns the entry that the bytes hold.
	DecodeEntry([]byte) (quorum.Entry, error)
}

// Log is the write-ahead log of one replica; only one goroutine may use it.
type Log struct {
	codec Codec
	lock  *os.File
	file  *os.File
}

// Open takes the data folder, makes it where it is missing, and returns the log with the entries that it holds.
func Open(folder string, codec Codec) (*Log, []quorum.Entry, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, nil, errors.Wrap(err, "make data folder")
	}
	lock, err := takeLock(filepath.Join(folder, lockName))
	if err != nil {
		return nil, nil, errors.Wrapf(err, "data folder %s", folder)
	}
	l := &Log{codec: codec, lock: lock}
	entries, err := l.recover(filepath.Join(folder, logName))
	if err != nil {
		return nil, nil, errors.CombineErrors(err, l.Close())
	}
	return l, entries, nil
}

// Append writes entries and returns once they are synced.
func (l *Log) Append(entries []quorum.Entry) error {
	var buffer []byte
	for _, e := range entries {
		data, err := l.codec.EncodeEntry(e)
		if err != nil {
			return errors.Wrap(err, "encode log entry")
		}
		buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(data)))
		buffer = binary.LittleEndian.AppendUint32(buffer, crc32.Checksum(data, castagnoli))
		buffer = append(buffer, data...)
	}
	if _, err := l.file.Write(buffer); err != nil {
		return errors.Wrap(err, "write log")
	}
	return errors.Wrap(l.file.Sync(), "sync log")
}

// Close releases the data folder.
func (l *Log) Close() error {
	var err error
	if l.file != nil {
		err = l.file.Close()
	}
	return errors.CombineErrors(err, l.lock.Close())
}

func takeLock(path string) (*os.File, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open lock")
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.CombineErrors(ErrInUse, f.Close())
	}
	return f, nil
}

// recover reads the log, cuts a torn last record, and leaves the file ready for appending.
func (l *Log) recover(path string) ([]quorum.Entry, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open log")
	}
	l.file = f
	entries, end, err := l.readAll(bufio.NewReader(f))
	if err != nil {
		return nil, err
	}
	if err := f.Truncate(end); err != nil {
		return nil, errors.Wrap(err, "cut torn record")
	}
	_, err = f.Seek(end, io.SeekStart)
	return entries, errors.Wrap(err, "seek log")
}

// readAll returns the entries and the offset at which the last whole one ends.
func (l *Log) readAll(r *bufio.Reader) ([]quorum.Entry, int64, error) {
	var entries []quorum.Entry
	var end int64
	for {
		data, whole := readRecord(r)
		if !whole {
			if _, err := r.Peek(1); err == nil {
				return nil, 0, errors.Wrapf(ErrDamaged, "record at byte %d", end)
			}
			return entries, end, nil
		}
		e, err := l.codec.DecodeEntry(data)
		if err != nil {
			return nil, 0, errors.CombineErrors(ErrDamaged, err)
		}
		entries = append(entries, e)
		end += headerBytes + int64(len(data))
	}
}

func readRecord(r *bufio.Reader) ([]byte, bool) {
	header := make([]byte, headerBytes)
	if _, err := io.ReadFull(r, header); err != nil {
		return nil, false
	}
	size := binary.LittleEndian.Uint32(header)
	if size > maxRecordBytes {
		return nil, false
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(r, data); err != nil {
		return nil, false
	}
	return data, crc32.Checksum(data, castagnoli) == binary.LittleEndian.Uint32(header[4:])
}
