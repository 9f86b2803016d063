package relay

import "sync"

// statusStart is the offset of the status code in the first line of a response: "HTTP/1.1 200 OK".
const statusStart = len("HTTP/1.1 ")

// scanner counts the bytes of a response's headers and of what follows them; it is safe for concurrent use.
type scanner struct {
	mu sync.Mutex
	// header is the number of bytes of the headers so far, with those of interim responses.
	header int
	// lineBytes is the number of bytes of the current header line so far, without the line break.
	lineBytes int
	// started means that the status line has ended.
	started bool
	// interim means that the status is 1xx, so that another response follows.
	interim bool
	// inBody means that the headers of the final response have ended.
	inBody bool
	// body is the number of bytes after the headers.
	body int64
}

// observe scans the next bytes that were read from the connection.
func (s *scanner) observe(b []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, c := range b {
		if s.inBody {
			s.body += int64(len(b) - i)
			return
		}
		s.observeHeader(c)
	}
}

// observeHeader scans one byte of the headers; an interim response (1xx) is followed by another one.
func (s *scanner) observeHeader(c byte) {
	s.header++
	switch {
	case c == '\r':
	case c != '\n':
		if !s.started && s.lineBytes == statusStart {
			s.interim = c == '1'
		}
		s.lineBytes++
	case s.lineBytes > 0:
		s.lineBytes, s.started = 0, true
	case s.started && s.interim:
		s.started, s.interim = false, false
	case s.started:
		s.inBody = true
	}
}

// bodyBytes returns the number of bytes after the headers.
func (s *scanner) bodyBytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.body
}

// unfinishedHeaderBytes returns the number of bytes of the headers, or 0 if they have ended.
func (s *scanner) unfinishedHeaderBytes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inBody {
		return 0
	}
	return s.header
}
