package front

import (
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"cowslipstack/internal/model/fleet"
)

// copy passes the answer on; where it is cut, the caller's connection ends visibly.
func (f *Front) copy(w http.ResponseWriter, response *http.Response) {
	header := w.Header()
	for name, values := range response.Header {
		if !isHop(name) {
			header[name] = values
		}
	}
	header.Set(HeaderOutcome, fleet.OutcomeAnswered.String())
	if response.ContentLength >= 0 {
		header.Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	w.WriteHeader(response.StatusCode)
	_, err := io.Copy(w, response.Body)
	if err = errors.CombineErrors(err, response.Body.Close()); err != nil {
		f.options.Logger.Info("answer_cut", zap.Error(err))
		panic(http.ErrAbortHandler)
	}
}
