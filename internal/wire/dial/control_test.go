package dial_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"cowslipstack/internal/model/record"
	"cowslipstack/internal/wire/dial"
)

// TestEndedContextIsNoResult checks that a call whose context has ended before it was made fails.
func TestEndedContextIsNoResult(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	c := dial.NewControl(http.DefaultClient, []dial.Target{{Name: "entry-1", Address: "127.0.0.1:1"}})
	_, err := c.Submit(ctx, record.Command{})
	is.True(errors.Is(err, context.Canceled))
}
