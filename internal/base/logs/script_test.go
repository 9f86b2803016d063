package logs_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"cowslipstack/internal/base/logs"
)

// TestScripts logs texts of the lengths in testdata and prints the lengths that were written.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			size, err := strconv.Atoi(d.CmdArgs[0].Key)
			if err != nil {
				t.Fatal(err)
			}
			text := strings.Repeat(strings.TrimSpace(d.Input), size)
			switch d.Cmd {
			case "text":
				return written(t, zap.String("text", text))
			case "error":
				return written(t, zap.Error(errors.New(text)))
			case "list":
				return written(t, zap.Strings("list", []string{text}))
			default:
				t.Fatalf("%s: unknown command %s", d.Pos, d.Cmd)
				return ""
			}
		})
	})
}

// written logs a field as the writer ends, and returns the length of its text in the line that is written.
func written(t *testing.T, field zap.Field) string {
	t.Helper()
	var out bytes.Buffer
	logger, writer, err := logs.NewAsync("info", &out)
	if err != nil {
		t.Fatal(err)
	}
	logger.Info("started", field)
	ctx, stop := context.WithCancel(t.Context())
	stop()
	if err := writer.Run(ctx); err != nil {
		t.Fatal(err)
	}
	if out.Len() == 0 {
		return "dropped\n"
	}
	if lines := bytes.Count(out.Bytes(), []byte("\n")); lines != 1 {
		return fmt.Sprintf("%d lines\n", lines)
	}
	var line struct {
		Text, Error string
		List        []string
	}
	if err := json.Unmarshal(out.Bytes(), &line); err != nil {
		return err.Error() + "\n"
	}
	text := line.Text + line.Error + strings.Join(line.List, "")
	return fmt.Sprintf("%d bytes, ends with %q\n", len(text), lastRunes(text))
}

// lastRunes returns the last two runes of a text.
func lastRunes(text string) string {
	runes := []rune(text)
	return string(runes[max(0, len(runes)-2):])
}
