package relay

import "sync"

// statusStart is where the status code starts in the first line of an answer: "HTTP/1.1 200 OK".
const statusStart = len("HTTP/1.1 ")

// scanner counts the bytes of an answer behind its headers; it is safe for concurrent use.
type scanner struct {
	mu sync.Mutex
	// line is the bytes of the header line so far, without its end; first says that it is the first one.
	line    int
	started bool
	interim bool
	inBody  bool
	body    int64
}

// observe takes the next bytes of the connection.
func (s *scanner) observe(b []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, c := range b {
		if s.inBody {
			s.body += int64(len(b) - i)
			return
		}
		s.header(c)
	}
}

// header takes one byte of the headers; an interim answer (1xx) is followed by another one.
func (s *scanner) header(c byte) {
	switch {
	case c == '\r':
	case c != '\n':
		if !s.started && s.line == statusStart {
			s.interim = c == '1'
		}
		s.line++
	case s.line > 0:
		s.line, s.started = 0, true
	case s.started && s.interim:
		s.started, s.interim = false, false
	case s.started:
		s.inBody = true
	}
}

// bodyBytes returns how many bytes came behind the headers.
func (s *scanner) bodyBytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.body
}
