// Package corrector guesses which known word a misspelt one means.
package corrector

import "strings"

// FindNearest returns the candidate that a misspelt word most probably means, or nothing when none is near.
func FindNearest(word string, candidates []string) string {
	// A third of the letters may be wrong, and at least two: more finds words that have nothing in common.
	best, limit := "", max(2, len(word)/3)
	for _, c := range candidates {
		if abs(len(c)-len(word)) > limit {
			continue
		}
		distance := editDistance(strings.ToLower(word), strings.ToLower(c))
		if distance <= limit && distance < len(c) {
			best, limit = c, distance-1
		}
		if limit < 0 {
			break
		}
	}
	return best
}

// editDistance counts the letters to insert, delete, replace or swap with their neighbour to get from a to b.
func editDistance(a, b string) int {
	older, old := make([]int, len(b)+1), make([]int, len(b)+1)
	for j := range old {
		old[j] = j
	}
	for i := range len(a) {
		row := make([]int, len(b)+1)
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			row[j+1] = min(row[j]+1, old[j+1]+1, old[j]+cost)
			if i > 0 && j > 0 && a[i] == b[j-1] && a[i-1] == b[j] {
				row[j+1] = min(row[j+1], older[j-1]+1)
			}
		}
		older, old = old, row
	}
	return old[len(b)]
}

func abs(number int) int {
	if number < 0 {
		return -number
	}
	return number
}
