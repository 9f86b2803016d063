package relay

import (
	"io"
	"net/http"
)

// unknownLength is the length of a body whose length is not declared.
const unknownLength = -1

// body is a response body whose Read fails if more bytes arrive than the response declared.
type body struct {
	io.ReadCloser
	scan *scanner
	// declared is the body's length in bytes, or unknownLength.
	declared int64
	conn     *conn
}

// Read reads the body. If more bytes than declared have arrived, it closes the connection and returns ErrTooLong.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.declared != unknownLength && b.scan.bodyBytes() > b.declared {
		_ = b.conn.Close()
		return 0, ErrTooLong
	}
	return n, err
}

// declaredLength returns the number of bytes that follow a response's headers, or unknownLength.
func declaredLength(method string, r *http.Response) int64 {
	if method == http.MethodHead || r.StatusCode == http.StatusNoContent || r.StatusCode == http.StatusNotModified {
		return 0
	}
	return r.ContentLength
}

// isUnbounded reports whether only the end of the connection marks the end of the response.
func isUnbounded(declared int64, r *http.Response) bool {
	return declared == unknownLength && len(r.TransferEncoding) == 0
}
