package relay

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"slices"
	"testing"
)

// FuzzScanner checks that for any response which net/http accepts, the scanner counts as many bytes after the
// headers as net/http leaves unread, however the response is split into reads.
func FuzzScanner(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\nContent-Length: 2\n\nok and more",
		"HTTP/1.1 204 No Content\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
	} {
		f.Add([]byte(seed), 3)
	}
	f.Fuzz(func(t *testing.T, raw []byte, size int) {
		reader := bufio.NewReaderSize(bytes.NewReader(raw), 1<<16)
		response, err := http.ReadResponse(reader, nil)
		if err != nil || response.StatusCode < 200 || len(raw) > 1<<15 || response.Proto != "HTTP/1.1" {
			t.Skip()
		}
		rest, err := io.ReadAll(reader)
		if err != nil || response.ContentLength > 0 && response.Body.Close() != nil {
			t.Skip()
		}
		var s scanner
		size = max(1, size)
		for part := range slices.Chunk(raw, size) {
			s.observe(part)
		}
		if s.bodyBytes() != int64(len(rest)) {
			t.Fatalf("%d bytes counted after the headers, want %d", s.bodyBytes(), len(rest))
		}
	})
}
