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
	requestIDBytes = 128
	// keyBytes is the longest idempotency key.
	keyBytes = 256
	// otherLabel stands for teams and classes that are not known.
	otherLabel = "other"
)

// call is one caller's request on its way through the front.
type call struct {
	w       http.ResponseWriter
	r       *http.Request
	control *http.ResponseController
	start   time.Time
	request string

	service  string
	settings docs.Service
	labels   hist.Labels
	deadline time.Time

	// key, issued and first are set where the request carries an idempotency key.
	key    string
	issued time.Time
	// first says that the caller vouches that it sends the key for the first time.
	first bool
	// consulted says that the claims were asked: only then is it known that no other copy ran.
	consulted bool

	// body is the whole body, or stream the rest of one that is too long to keep.
	body   []byte
	stream io.Reader
	length int64

	// keep asks for a copy of the answer, kept is it.
	keep     bool
	kept     claim.Answer
	isKept   bool
	outcome  fleet.Outcome
	code     string
	endpoint time.Duration
	retries  int
	// sendings counts the attempts of which a byte may have reached an endpoint.
	sendings int
	// mayHaveRun says that an attempt ended otherwise than as not run.
	mayHaveRun bool
	aborted    bool
}

// takeLabels sets the labels of metrics; names that callers make up don't become series.
func (c *call) takeLabels(view *route.View) {
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

// takeKey reads the idempotency key; the caller must say when it made it.
func (c *call) takeKey() *refusal {
	c.key = c.r.Header.Get(HeaderKey)
	if c.key == "" {
		return nil
	}
	c.first = c.r.Header.Get(HeaderSending) == "1"
	issued, err := parseIssued(c.r.Header.Get(HeaderKeyIssued))
	if err != nil || len(c.key) > keyBytes {
		return &refusal{
			status: http.StatusBadRequest, outcome: fleet.OutcomeNotRun, code: codeBadKey,
			message: "a key of at most 256 bytes needs its time of issue, " + HeaderKeyIssued + ", as RFC 3339 or Unix milliseconds",
		}
	}
	c.issued = issued
	return nil
}

// idempotent says whether the request may run more than once.
func (c *call) idempotent() bool {
	return c.settings.Idempotent || isIdempotent(c.r.Method)
}

func isIdempotent(method string) bool {
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
