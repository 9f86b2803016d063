package front

import (
	"strconv"
	"sync/atomic"

	"github.com/google/uuid"
)

// identities makes identities that no other process or start of this one makes.
type identities struct {
	prefix string
	count  atomic.Uint64
}

func newIdentities() *identities {
	return &identities{prefix: uuid.NewString() + "-"}
}

func (i *identities) next() string {
	return i.prefix + strconv.FormatUint(i.count.Add(1), 36)
}
