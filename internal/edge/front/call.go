package front

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"cowslipstack/internal/base/hist"
	"cowslipstack/internal/edge/claim"
	"cowslipstack/internal/edge/queue"
	"cowslipstack/internal/edge/route"
	"cowslipstack/internal/model/docs"
	"cowslipstack/internal/model/fleet"
)

const (
	maxRequestIDBytes = 128
	// maxKeyBytes is the longest idempotency key.
	maxKeyBytes = 256
	// otherLabel replaces unknown teams and classes in metric labels.
	otherLabel = "other"
)

// call is one caller's request and what is known of it so far.
type call struct {
	w         http.ResponseWriter
	r         *http.Request
	control   *http.ResponseController
	started   time.Time
	requestID string

	service  string
	settings docs.Service
	labels   hist.Labels
	deadline time.Time

	// key, issued and firstSending are set for a request with an idempotency key.
	key    string
	issued time.Time
	// firstSending means that the caller asserts that it sends the key for the first time.
	firstSending bool
	// claimChecked means that the claims were consulted: only then is it known that no other copy ran.
	claimChecked bool

	// body is the whole body; if it is too long to keep, stream is the body instead.
	body   []byte
	stream io.Reader
	length int64

	// keepResponse asks for a copy of the response, which kept holds if hasKept is set.
	keepResponse bool
	kept         claim.Answer
	hasKept      bool
	outcome      fleet.Outcome
	code         string
	endpointTime time.Duration
	retries      int
	// sendCount is the number of attempts of which a byte may have reached an endpoint.
	sendCount int
	// mayHaveRun means that some attempt ended with another outcome than not_run.
	mayHaveRun bool
	aborted    bool
}

// setLabels sets the metric labels. Unknown teams and classes share one label, so that callers can't create time
// series.
func (c *call) setLabels(view *route.View) {
	c.labels.Service = c.service
	team, class := c.r.Header.Get(HeaderTeam), c.r.Header.Get(HeaderClass)
	if c.labels.Team = team; team != "" && view.Teams[team] == 0 {
		c.labels.Team = otherLabel
	}
	c.labels.Class = otherLabel
	if known, ok := queue.ParseClass(class); ok {
		c.labels.Class = known.String()
	}
}

// readKey reads the idempotency key; the caller must also send its time of issue.
func (c *call) readKey() *refusal {
	c.key = c.r.Header.Get(HeaderKey)
	if c.key == "" {
		return nil
	}
	c.firstSending = c.r.Header.Get(HeaderSending) == "1"
	issued, err := parseIssued(c.r.Header.Get(HeaderKeyIssued))
	if err != nil || len(c.key) > maxKeyBytes {
		return &refusal{
			status: http.StatusBadRequest, outcome: fleet.OutcomeNotRun, code: codeBadKey,
			message: "a key of at most 256 bytes needs its time of issue, " + HeaderKeyIssued + ", as RFC 3339 or Unix milliseconds",
		}
	}
	c.issued = issued
	return nil
}

// idempotent reports whether the request may safely run more than once.
func (c *call) idempotent() bool {
	return c.settings.Idempotent || isIdempotentMethod(c.r.Method)
}

func isIdempotentMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	default:
		return false
	}
}

func parseIssued(text string) (time.Time, error) {
	if ms, err := strconv.ParseInt(text, 10, 64); err == nil {
		return time.UnixMilli(ms).UTC(), nil
	}
	t, err := time.Parse(time.RFC3339Nano, text)
	return t.UTC(), err
}
