package queue

// Class is the priority class of a request; the zero value is not valid.
type Class int

const (
	// ClassUrgent has the largest weight.
	ClassUrgent Class = iota + 1 // urgent
	// ClassNormal is the class of requests that name no class.
	ClassNormal // normal
	// ClassBatch has the smallest weight: under load it waits longest, but it is never starved.
	ClassBatch // batch
)

// classCount is the number of classes.
const classCount = 3

// classWeights are the fair queueing weights of the classes that have requests waiting, ClassUrgent first.
var classWeights = [classCount]int64{16, 4, 1}

// ParseClass returns the class with the given name, ClassNormal for an empty name, and false for an unknown name.
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
