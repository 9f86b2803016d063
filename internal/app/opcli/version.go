package opcli

import (
	"fmt"
	"runtime"

	"github.com/cockroachdb/errors"

	"cowslipstack/internal/base/build"
	"cowslipstack/internal/base/conf"
	"cowslipstack/schema"
)

// VersionCommand prints the version of the build.
type VersionCommand struct{}

// ReferenceCommand prints the reference page of the environment document.
type ReferenceCommand struct{}

func (c *cli) version() error {
	_, err := fmt.Fprintf(c.out, "cowslip %s %s\n", build.Version(), runtime.Version())
	return errors.Wrap(err, "write version")
}

func (c *cli) reference() error {
	page, err := conf.Reference(schema.Environment)
	if err != nil {
		return err
	}
	_, err = fmt.Fprint(c.out, page)
	return errors.Wrap(err, "write page")
}
