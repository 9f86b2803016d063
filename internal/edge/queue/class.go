package queue

// Class says how urgent a request is; the zero value is not valid.
type Class int

const (
	// ClassUrgent goes first.
	ClassUrgent Class = iota + 1 // urgent
	// ClassNormal is the class of requests that name none.
	ClassNormal // normal
	// ClassBatch gets what the others leave, and a small share at all times.
	ClassBatch // batch
)

// classCount is the number of classes.
const classCount = 3

// classWeights are the shares of the classes while each of them has requests waiting.
var classWeights = [classCount]int64{16, 4, 1}

// ParseClass returns the class of a name, ClassNormal for an empty name, and false for any other.
func ParseClass(name string) (Class, bool) {
	if name == "" {
		return ClassNormal, true
	}
	for c := ClassUrgent; c <= ClassBatch; c++ {
		if c.String() == name {
			return c, true
		}
	}
	return 0, false
}
