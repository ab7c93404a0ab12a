package command

import "strings"

// difference returns the lines that lead from one text to another: those only
// in the first after "-", those only in the second after "+", the others after
// a space. It is empty if the texts are equal.
func difference(from, to string) string {
	if from == to {
		return ""
	}
	a, b := lines(from), lines(to)
	common := commonLines(a, b)
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

func lines(text string) []string { return strings.Split(strings.TrimSuffix(text, "\n"), "\n") }

// commonLines returns for each pair of suffixes the length of their longest
// common subsequence.
func commonLines(a, b []string) [][]int {
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
