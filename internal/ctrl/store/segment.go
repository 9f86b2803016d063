package store

import (
	"github.com/cockroachdb/errors"

	"cowslipstack/internal/ctrl/quorum"
)

// errFolderSync marks a failed sync of the data folder: it is unknown which names are on disk.
var errFolderSync = errors.New("a sync of the data folder failed")

// reopen opens the last segment for appending, removes a partial frame at its end, and syncs it.
func (l *Log) reopen(s Segment, torn int) error {
	var err error
	if l.file, err = l.folder.Append(s.Name()); err != nil {
		return errors.Wrap(err, "open log")
	}
	if torn == 0 {
		return errors.Wrap(l.file.Sync(), "sync log")
	}
	return l.truncateFile(s.Bytes)
}

// truncateFile truncates the file to size bytes, to remove a partial frame, and syncs it.
func (l *Log) truncateFile(size int) error {
	if err := l.file.Truncate(int64(size)); err != nil {
		return errors.Wrap(err, "cut torn record")
	}
	return errors.Wrap(l.file.Sync(), "sync log")
}

// prepareFile prepares the file for a frame: it removes a partial frame of a failed write or sync, and rotates if the segment
// is full or could not be created.
func (l *Log) prepareFile() error {
	if l.file == nil || l.segments[len(l.segments)-1].Bytes >= l.segmentBytes {
		return l.rotate()
	}
	return l.truncateTornWrite()
}

// truncateTornWrite removes a partial frame that a failed write or sync may have left at the end of the file.
func (l *Log) truncateTornWrite() error {
	if !l.torn {
		return nil
	}
	if err := l.truncateFile(l.segments[len(l.segments)-1].Bytes); err != nil {
		return err
	}
	l.torn = false
	return nil
}

// createSegment creates a segment. It starts with the hard state, so that older segments can be removed.
func (l *Log) createSegment(number uint64) error {
	hard := l.hard
	payload, err := l.codec.EncodeWrites([]quorum.Write{{Hard: &hard}})
	if err != nil {
		return err
	}
	s := Segment{Number: number}
	file, err := l.folder.Create(s.Name())
	if err != nil {
		return errors.Wrap(err, "create log segment")
	}
	content := appendFrame(fileHeader(kindLog), payload)
	if _, err = file.Write(content); err == nil {
		err = file.Sync()
	}
	if err != nil {
		return errors.Wrap(closeAndRemove(l.folder, file, s.Name(), err), "make log segment")
	}
	s.Bytes = len(content)
	l.file = file
	l.segments = append(l.segments, s)
	return errors.Mark(errors.Wrap(l.folder.Sync(), "sync data folder"), errFolderSync)
}

func (l *Log) rotate() error {
	if l.file != nil {
		if err := l.truncateTornWrite(); err != nil {
			return err
		}
		err := l.file.Close()
		l.file = nil
		if err != nil {
			return errors.Wrap(err, "close log segment")
		}
	}
	return l.createSegment(l.segments[len(l.segments)-1].Number + 1)
}
