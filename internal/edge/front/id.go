package front

import (
	"strconv"
	"sync/atomic"

	"github.com/google/uuid"
)

// idGenerator generates IDs that are unique across processes and restarts.
type idGenerator struct {
	prefix string
	count  atomic.Uint64
}

func newIDGenerator() *idGenerator {
	return &idGenerator{prefix: uuid.NewString() + "-"}
}

func (i *idGenerator) next() string {
	return i.prefix + strconv.FormatUint(i.count.Add(1), 36)
}
