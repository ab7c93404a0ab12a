package command

import "strings"

// lineDiff returns a line-by-line diff of two texts. Lines only in the first text
// are marked "-", lines only in the second "+", common lines begin with spaces. The
// diff is empty if the texts are equal.
func lineDiff(from, to string) string {
	if from == to {
		return ""
	}
	a, b := splitLines(from), splitLines(to)
	lcs := lcsLengths(a, b)
	var out strings.Builder
	i, j := 0, 0
	for i < len(a) || j < len(b) {
		switch {
		case i < len(a) && j < len(b) && a[i] == b[j]:
			out.WriteString("  " + a[i] + "\n")
			i, j = i+1, j+1
		case j == len(b) || (i < len(a) && lcs[i+1][j] >= lcs[i][j+1]):
			out.WriteString("- " + a[i] + "\n")
			i++
		default:
			out.WriteString("+ " + b[j] + "\n")
			j++
		}
	}
	return out.String()
}

func splitLines(text string) []string { return strings.Split(strings.TrimSuffix(text, "\n"), "\n") }

// lcsLengths returns for each i and j the length of the longest common subsequence
// of a[i:] and b[j:].
func lcsLengths(a, b []string) [][]int {
	lcs := make([][]int, len(a)+1)
	for i := range lcs {
		lcs[i] = make([]int, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				lcs[i][j] = lcs[i+1][j+1] + 1
				continue
			}
			lcs[i][j] = max(lcs[i+1][j], lcs[i][j+1])
		}
	}
	return lcs
}
