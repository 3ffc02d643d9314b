package precedence

// floorShare is the part of all starts that the waiting classes below the first one share.
const floorShare = 0.1

// Turns decides which class starts next. The zero value is ready to use.
type Turns struct {
	// owed is how many starts each class is owed of its floor.
	owed [MaxClasses]float64
}

// Next returns the class that starts next among the first n, given which of them wait, or false
// if none does: a class below the first that is owed a start, or else the first that waits.
func (t *Turns) Next(n int, waits func(class int) bool) (class int, ok bool) {
	first, behind := -1, -1
	for c := range min(n, MaxClasses) {
		switch {
		case !waits(c):
			t.owed[c] = 0
		case first < 0:
			first = c
		case t.owed[c] >= 1 && (behind < 0 || t.owed[c] > t.owed[behind]):
			behind = c
		}
	}
	if behind >= 0 {
		return behind, true
	}
	return first, first >= 0
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
			t.owed[c] += floorShare / float64(behind)
		}
	}
}
