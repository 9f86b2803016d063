package serve_test

import (
	"context"
	"encoding/base64"
	"encoding/hex"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"google.golang.org/protobuf/encoding/protojson"

	"cowslipstack/internal/model/batch"
	"cowslipstack/internal/wire/peer"
	"cowslipstack/internal/wire/serve"
)

// fakeLeader answers the calls of a check, by topic; the zero topic stands for the active configuration.
type fakeLeader map[batch.Topic]batch.Reply

func (l fakeLeader) Do(_ context.Context, c *batch.Call) batch.Reply {
	if c.ReadConfiguration {
		return l[0]
	}
	if c.Inspect == nil {
		panic("a check made a call that may change something")
	}
	return l[c.Inspect.Topic]
}

// newLeader returns a leader with the active configuration "old" that knows of a VM and of an account's job.
func newLeader() fakeLeader {
	ok := func(i batch.Inspection) batch.Reply { return batch.Reply{Code: batch.CodeOK, Inspection: &i} }
	return fakeLeader{
		0:                   {Code: batch.CodeOK, Text: []byte("old")},
		batch.TopicOverview: ok(batch.Inspection{Overview: &batch.Overview{Version: 4}}),
		batch.TopicVMs:      ok(batch.Inspection{VMs: []batch.VMView{{Name: "m", Pool: "p"}}}),
		batch.TopicAccounts: ok(batch.Inspection{Accounts: []batch.AccountView{{Name: "a", Jobs: 1, LargestNeed: batch.Resources{CPUMilli: 500}}}}),
	}
}

const newKey, oldKey = "sesame-street", "barley-bread"

// decode stands in for the platform's decoder: it knows the texts "old" and "new".
func decode(text []byte) (*batch.Configuration, error) {
	c := &batch.Configuration{
		Version: 4, Queues: []batch.Queue{{Host: "h", Prefix: "/q/", Pool: "p", TimeoutMs: 1}}, Pools: []batch.Pool{{Name: "p"}},
		RequiresKeys: true, Text: text,
		Accounts: []batch.Account{{Name: "a", Weight: 1, Limit: batch.Resources{CPUMilli: 1000}, Keys: []batch.KeyDigest{batch.DigestOf(oldKey)}}},
	}
	switch string(text) {
	case "old":
		return c, nil
	case "new":
		c.Version, c.Accounts[0].Keys = 5, []batch.KeyDigest{batch.DigestOf(newKey)}
		return c, nil
	case "tight":
		c.Version, c.Accounts[0].Limit.CPUMilli = 5, 499
		return c, nil
	default:
		return nil, &batch.TextError{Line: 7, Column: 9, Problem: "unexpected character"}
	}
}

// check checks a text, and returns the response and the log as text.
func check(l fakeLeader, text string) (*peer.CheckConfigurationResponse, string, error) {
	core, logged := observer.New(zapcore.InfoLevel)
	s := &serve.Batch{Proxy: l, Decode: decode, Logger: zap.New(core)}
	r, err := s.CheckConfiguration(context.Background(), connect.NewRequest(&peer.CheckConfigurationRequest{Text: []byte(text)}))
	if err != nil {
		return nil, "", err
	}
	lines := ""
	for _, e := range logged.All() {
		line, _ := zapcore.NewJSONEncoder(zapcore.EncoderConfig{MessageKey: "event"}).EncodeEntry(e.Entry, e.Context)
		lines += line.String()
	}
	return r.Msg, lines, nil
}

// TestCheckDisclosesNoKey guards against a key, or the digest of one, in the response or the log of a check.
func TestCheckDisclosesNoKey(t *testing.T) {
	is := is.New(t)
	r, lines, err := check(newLeader(), "new")
	is.NoErr(err)
	text, err := protojson.Marshal(r)
	is.NoErr(err)
	is.True(strings.Contains(string(text), "keys added: 1, keys removed: 1"))
	is.True(strings.Contains(lines, `"version":5,"held":4,"errors":0,"warnings":0,"notes":1`))
	for _, key := range []string{newKey, oldKey} {
		digest := batch.DigestOf(key)
		for _, form := range []string{key, hex.EncodeToString(digest[:]), base64.StdEncoding.EncodeToString(digest[:])} {
			if strings.Contains(string(text)+lines, form) {
				t.Errorf("the check discloses %s", form)
			}
		}
	}
}

// TestCheckUsesWhatIsKnown guards against a check that ignores the leader's state, or that hides what it could not learn.
func TestCheckUsesWhatIsKnown(t *testing.T) {
	for _, test := range []struct {
		name, text, want         string
		change                   func(l fakeLeader)
		errors, warnings, active int64
	}{
		{"limit below a job's need", "tight", "its limit of 499", func(fakeLeader) {}, 0, 1, 4},
		{"no active configuration", "new", "there is nothing to compare with", func(l fakeLeader) {
			l[batch.TopicOverview] = batch.Reply{Code: batch.CodeOK, Inspection: &batch.Inspection{Overview: &batch.Overview{}}}
			l[0] = batch.Reply{Code: batch.CodeNotRun, Detail: "no configuration was accepted yet"}
		}, 0, 0, 0},
		{"leader of an earlier version", "tight", "not checked: the accounts' limits", func(l fakeLeader) {
			l[batch.TopicAccounts] = batch.Reply{Code: batch.CodeInvalid, Detail: "this version doesn't know the topic"}
		}, 0, 0, 4},
		{"no list of VMs", "new", "not checked: whether the pools have VMs", func(l fakeLeader) {
			l[batch.TopicVMs] = batch.Reply{Code: batch.CodeOK, Inspection: &batch.Inspection{}}
		}, 0, 0, 4},
		{"pool without VMs", "new", "has no VMs at present", func(l fakeLeader) {
			l[batch.TopicVMs] = batch.Reply{Code: batch.CodeOK, Inspection: &batch.Inspection{VMs: []batch.VMView{{Name: "m", Pool: "other"}}}}
		}, 0, 1, 4},
		{"text that can't be decoded", "{", `"line":"7"`, func(l fakeLeader) { clear(l) }, 1, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			l := newLeader()
			test.change(l)
			r, _, err := check(l, test.text)
			is.NoErr(err)
			text, err := protojson.Marshal(r)
			is.NoErr(err)
			if !strings.Contains(strings.ReplaceAll(string(text), `": "`, `":"`), test.want) {
				t.Errorf("%q is missing in %s", test.want, text)
			}
			is.Equal(r.GetErrors(), test.errors)
			is.Equal(r.GetWarnings(), test.warnings)
			is.Equal(int64(r.GetActiveVersion()), test.active)
		})
	}
}

// TestCheckFailsWithoutLeader guards against a report that looks complete although one of the calls failed.
func TestCheckFailsWithoutLeader(t *testing.T) {
	for _, topic := range []batch.Topic{0, batch.TopicOverview, batch.TopicVMs, batch.TopicAccounts} {
		is := is.New(t)
		l := newLeader()
		l[topic] = batch.Reply{Code: batch.CodeNotRun, Detail: "no leader is known"}
		_, _, err := check(l, "new")
		is.Equal(connect.CodeOf(err), connect.CodeUnavailable)
	}
	is := is.New(t)
	l := newLeader()
	l[0] = batch.Reply{Code: batch.CodeOK, Text: []byte("text of another version")}
	_, _, err := check(l, "new")
	is.Equal(connect.CodeOf(err), connect.CodeInternal)
	is.True(!errors.As(err, new(*batch.TextError)))
}
