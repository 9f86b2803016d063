package logs

import (
	"strings"
	"sync"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// maxLinesPerS bounds the log lines of one event name in a second. It does not apply to warnings and errors.
const maxLinesPerS = 1000

// eventCount counts the lines of one event name: those written in the current second, and those left out since the last
// one that was written.
type eventCount struct {
	second  int64
	written int
	leftOut int
}

// eventCounts holds the counts by event name. A logger shares it with the loggers derived from it.
type eventCounts struct {
	mu      sync.Mutex
	byEvent map[string]*eventCount
}

// limitedCore bounds the rate of each event name. The first line after some were left out has their number in the field
// left_out. Errors are written as their text alone, and long texts are cut.
type limitedCore struct {
	zapcore.Core
	counts *eventCounts
}

func newLimitedCore(c zapcore.Core) zapcore.Core {
	return limitedCore{Core: c, counts: &eventCounts{byEvent: map[string]*eventCount{}}}
}

// With returns a core that adds fields to each entry and shares the bounds of this one.
func (l limitedCore) With(fields []zapcore.Field) zapcore.Core {
	return limitedCore{Core: l.Core.With(boundedTexts(fields)), counts: l.counts}
}

// Check adds this core if the entry's level is enabled.
func (l limitedCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if l.Enabled(entry.Level) {
		return checked.AddCore(entry, l)
	}
	return checked
}

// Write writes an entry, or leaves it out if there were too many of its event name in this second.
func (l limitedCore) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	fields = boundedTexts(fields)
	if entry.Level < zapcore.WarnLevel {
		leftOut, ok := l.counts.allow(entry.Message, entry.Time.Unix())
		if !ok {
			linesSuppressed.Inc()
			return nil
		}
		if leftOut > 0 {
			fields = append(fields, zap.Int("left_out", leftOut))
		}
	}
	return l.Core.Write(entry, fields)
}

// allow reports whether a line of an event may be written in a second, and how many were left out since the last one
// that was written.
func (c *eventCounts) allow(event string, second int64) (leftOut int, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := c.byEvent[event]
	if count == nil {
		count = &eventCount{}
		c.byEvent[event] = count
	}
	if count.second != second {
		count.second, count.written = second, 0
	}
	if count.written >= maxLinesPerS {
		count.leftOut++
		return 0, false
	}
	count.written++
	leftOut, count.leftOut = count.leftOut, 0
	return leftOut, true
}

// maxTextBytes bounds a text in a log line; a stack trace fits.
const maxTextBytes = 8 << 10

// boundedTexts replaces errors in fields by their text, since a stack trace for each error would fill the log, and cuts
// long texts at the end of a character.
func boundedTexts(fields []zapcore.Field) []zapcore.Field {
	for i := range fields {
		f := &fields[i]
		if err, ok := f.Interface.(error); ok && f.Type == zapcore.ErrorType {
			*f = zap.String(f.Key, err.Error())
		}
		if f.Type == zapcore.StringType && len(f.String) > maxTextBytes {
			f.String = strings.ToValidUTF8(f.String[:maxTextBytes], "")
		}
	}
	return fields
}
