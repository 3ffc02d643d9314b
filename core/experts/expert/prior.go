package expert

import "math"

// maxPriorDifference is the difference between earlier loads and the demand up to which a map made
// from them brings over half of the balance that one made from the demand itself would. A change
// by a worse estimate only delays the one by counts, for which callers wait in long passes.
const maxPriorDifference = 0.15

// Difference returns the mean difference of the loads of all layers at two times: 0 for the same
// proportions, 1 for no expert in common. Layers that do not match, or without load, differ by 1.
func Difference(a, b [][]float64) float64 {
	if len(a) != len(b) || len(a) == 0 {
		return 1
	}
	total := 0.0
	for l := range a {
		total += difference(a[l], b[l])
	}
	return total / float64(len(a))
}

// difference is Difference for one layer.
func difference(a, b []float64) float64 {
	sumA, sumB := sum(a), sum(b)
	if len(a) != len(b) || sumA <= 0 || sumB <= 0 {
		return 1
	}
	total := 0.0
	for e := range a {
		total += math.Abs(a[e]/sumA - b[e]/sumB)
	}
	return total / 2
}

// Steady reports whether loads that differed by that much from those measured some time before
// are likely to fit the demand as long after they were measured.
func Steady(difference float64) bool { return difference <= maxPriorDifference }

// unlike reports whether counts of choices show another demand than an estimate, beyond what the
// randomness of few choices explains.
func unlike(estimate, chosen []float64) bool {
	return difference(estimate, chosen)-math.Sqrt(float64(len(chosen))/(2*math.Pi*sum(chosen))) > maxPriorDifference
}
