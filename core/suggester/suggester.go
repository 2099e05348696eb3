// Package suggester suggests the allowed word that is closest to a misspelt one.
package suggester

import "strings"

// FindNearest returns the candidate with the smallest edit distance to the word, ignoring case, or the empty string if
// none is within the limit.
func FindNearest(word string, candidates []string) string {
	// Up to a third of the letters, and at least two, may be wrong; a higher limit matches unrelated words.
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

// editDistance returns the optimal string alignment distance: the number of insertions, deletions, replacements and
// swaps of adjacent letters that turn a into b.
func editDistance(a, b string) int {
	beforePrevious, previous := make([]int, len(b)+1), make([]int, len(b)+1)
	for j := range previous {
		previous[j] = j
	}
	for i := range len(a) {
		row := make([]int, len(b)+1)
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			row[j+1] = min(row[j]+1, previous[j+1]+1, previous[j]+cost)
			if i > 0 && j > 0 && a[i] == b[j-1] && a[i-1] == b[j] {
				row[j+1] = min(row[j+1], beforePrevious[j-1]+1)
			}
		}
		beforePrevious, previous = previous, row
	}
	return previous[len(b)]
}

func abs(number int) int {
	if number < 0 {
		return -number
	}
	return number
}
