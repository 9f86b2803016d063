package front

import (
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"cowslipstack/internal/edge/route"
	"cowslipstack/internal/model/fleet"
)

// refusal is an answer of the entry's own.
type refusal struct {
	status  int
	outcome fleet.Outcome
	code    string
	message string
	retry   bool
}

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Outcome   string `json:"outcome"`
	Code      string `json:"code"`
	Message   string `json:"message"`
	SafeRetry bool   `json:"safe_retry"`
}

// notAdmitted returns the refusal of a request that the dispatcher did not admit.
func notAdmitted(err error) *refusal {
	r := refusal{status: http.StatusServiceUnavailable, outcome: fleet.OutcomeNotRun, retry: true}
	var refused *route.Refusal
	if errors.As(err, &refused) {
		r.code, r.message = refused.Reason.String(), refused.Message
	} else {
		r.code, r.message = route.ReasonTooLate.String(), err.Error()
	}
	return &r
}

func (f *Front) refuse(w http.ResponseWriter, r refusal) {
	header := w.Header()
	header.Set(HeaderOutcome, r.outcome.String())
	header.Set("Content-Type", "application/json")
	w.WriteHeader(r.status)
	body := refusalBody{Outcome: r.outcome.String(), Code: r.code, Message: r.message, SafeRetry: r.retry}
	if err := json.NewEncoder(w).Encode(body); err != nil {
		f.options.Logger.Debug("refusal_not_written", zap.Error(err))
	}
}
