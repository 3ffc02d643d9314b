package quarantine

import "math"

// tail returns the probability that at least k of n independent events occur, each with probability q.
func tail(k, n int, q float64) float64 {
	if k <= 0 || q >= 1 {
		return 1
	}
	sum, logN := 0.0, logFactorial(n)
	for i := k; i <= n; i++ {
		sum += math.Exp(logN - logFactorial(i) - logFactorial(n-i) + float64(i)*math.Log(q) + float64(n-i)*math.Log1p(-q))
	}
	return min(sum, 1)
}

// logFactorial returns the natural logarithm of n!.
func logFactorial(n int) float64 {
	log, _ := math.Lgamma(float64(n + 1))
	return log
}
