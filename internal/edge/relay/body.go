package relay

import (
	"io"
	"net/http"
)

// unknownLength says that an answer comes in chunks.
const unknownLength = -1

// body is an answer's body; it fails where more came than was declared.
type body struct {
	io.ReadCloser
	scan *scanner
	// declared is the body's length, or unknownLength.
	declared int64
	conn     *conn
}

// Read reads the body; at its declared end it checks that no more has come.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.declared != unknownLength && b.scan.bodyBytes() > b.declared {
		_ = b.conn.Close()
		return 0, ErrTooLong
	}
	return n, err
}

// declaredLength returns the bytes that follow an answer's headers, or unknownLength.
func declaredLength(method string, r *http.Response) int64 {
	if method == http.MethodHead || r.StatusCode == http.StatusNoContent || r.StatusCode == http.StatusNotModified {
		return 0
	}
	return r.ContentLength
}

// isUnbounded says whether the answer's end is the end of the connection.
func isUnbounded(declared int64, r *http.Response) bool {
	return declared == unknownLength && len(r.TransferEncoding) == 0
}
