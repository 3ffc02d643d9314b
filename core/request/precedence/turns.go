package precedence

const (
	// floorShare is the part of all starts that the waiting classes below the first one share.
	floorShare = 0.1
	// maxOwed bounds the starts that a class is owed, so that one that could not start for a while
	// does not hold up the others afterwards.
	maxOwed = 2
)

// Turns decides which class starts next. The zero value is ready to use.
type Turns struct {
	// owed is how many starts each class is owed of its floor.
	owed [MaxClasses]float64
}

// Turn is a start of a request of Class. Of is the class whose room it takes: that of the first
// class that waits, which one that is owed a start is served in place of.
type Turn struct {
	Class, Of int
}

// Next returns the turn that is next among the first n classes, given which of them wait and which
// of those may start, or false if none may: that of a class below the first that is owed a start,
// or else that of the first.
func (t *Turns) Next(n int, waits, may func(class int) bool) (Turn, bool) {
	first, behind := -1, -1
	for c := range min(n, MaxClasses) {
		switch {
		case !waits(c):
			t.owed[c] = 0
		case !may(c):
		case first < 0:
			first = c
		case t.owed[c] >= 1 && (behind < 0 || t.owed[c] > t.owed[behind]):
			behind = c
		}
	}
	if behind >= 0 {
		return Turn{Class: behind, Of: first}, true
	}
	return Turn{Class: first, Of: first}, first >= 0
}

// Started records that a request of a class has started while the given classes wait. Each
// waiting class behind it is owed its part of the floor.
func (t *Turns) Started(class, n int, waits func(class int) bool) {
	t.owed[class] = max(0, t.owed[class]-1)
	behind := 0
	for c := class + 1; c < min(n, MaxClasses); c++ {
		if waits(c) {
			behind++
		}
	}
	for c := class + 1; c < min(n, MaxClasses); c++ {
		if waits(c) {
			t.owed[c] = min(t.owed[c]+floorShare/float64(behind), maxOwed)
		}
	}
}
