package console

import "strings"

// diffLine is one line of a difference: Mark is "+", "-" or " ".
type diffLine struct {
	Mark string
	Text string
}

const (
	// diffContext is the number of unchanged lines shown around a change.
	diffContext = 2
	// maxDiffCells bounds the table of the comparison; larger changes are shown
	// as all lines removed and all added.
	maxDiffCells = 16 << 20
)

// diff compares two texts by lines.
func diff(before, after string) []diffLine {
	a, b := strings.Split(before, "\n"), strings.Split(after, "\n")
	head := 0
	for head < len(a) && head < len(b) && a[head] == b[head] {
		head++
	}
	tail := 0
	for tail < len(a)-head && tail < len(b)-head && a[len(a)-1-tail] == b[len(b)-1-tail] {
		tail++
	}
	var lines []diffLine
	lines = appendMarked(lines, " ", a[max(0, head-diffContext):head])
	lines = append(lines, diffMiddle(a[head:len(a)-tail], b[head:len(b)-tail])...)
	return appendMarked(lines, " ", a[len(a)-tail:min(len(a), len(a)-tail+diffContext)])
}

func appendMarked(lines []diffLine, mark string, texts []string) []diffLine {
	for _, t := range texts {
		lines = append(lines, diffLine{mark, t})
	}
	return lines
}

// diffMiddle compares by the longest common subsequence.
func diffMiddle(a, b []string) []diffLine {
	if (len(a)+1)*(len(b)+1) > maxDiffCells {
		return appendMarked(appendMarked(nil, "-", a), "+", b)
	}
	length := commonLengths(a, b)
	var lines []diffLine
	i, j := 0, 0
	for i < len(a) || j < len(b) {
		switch {
		case i < len(a) && j < len(b) && a[i] == b[j]:
			lines = append(lines, diffLine{" ", a[i]})
			i++
			j++
		case j == len(b) || i < len(a) && length[i+1][j] >= length[i][j+1]:
			lines = append(lines, diffLine{"-", a[i]})
			i++
		default:
			lines = append(lines, diffLine{"+", b[j]})
			j++
		}
	}
	return lines
}

// commonLengths returns the lengths of the longest common subsequences of the
// suffixes of a and b.
func commonLengths(a, b []string) [][]int32 {
	length := make([][]int32, len(a)+1)
	for i := range length {
		length[i] = make([]int32, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				length[i][j] = length[i+1][j+1] + 1
			} else {
				length[i][j] = max(length[i+1][j], length[i][j+1])
			}
		}
	}
	return length
}
