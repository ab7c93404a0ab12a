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
	common := commonSuffixLengths(a, b)
	var out strings.Builder
	i, j := 0, 0
	for i < len(a) || j < len(b) {
		switch {
		case i < len(a) && j < len(b) && a[i] == b[j]:
			out.WriteString("  " + a[i] + "\n")
			i, j = i+1, j+1
		case j == len(b) || (i < len(a) && common[i+1][j] >= common[i][j+1]):
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

// commonSuffixLengths returns the length of the longest common subsequence for
// each pair of suffixes of a and b.
func commonSuffixLengths(a, b []string) [][]int {
	common := make([][]int, len(a)+1)
	for i := range common {
		common[i] = make([]int, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				common[i][j] = common[i+1][j+1] + 1
				continue
			}
			common[i][j] = max(common[i+1][j], common[i][j+1])
		}
	}
	return common
}
