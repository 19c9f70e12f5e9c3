package main

// diff returns the lines that are not in the longest common subsequence of two texts, those of a after "- " and those of b
// after "+ ".
func diff(a, b []string) (out []string) {
	// length[i][j] is the length of the longest common subsequence of a[i:] and b[j:].
	length := make([][]int, len(a)+1)
	for i := range length {
		length[i] = make([]int, len(b)+1)
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
	for i, j := 0, 0; i < len(a) || j < len(b); {
		switch {
		case i < len(a) && j < len(b) && a[i] == b[j]:
			i, j = i+1, j+1
		case j == len(b) || i < len(a) && length[i+1][j] >= length[i][j+1]:
			out = append(out, "- "+a[i])
			i++
		default:
			out = append(out, "+ "+b[j])
			j++
		}
	}
	return out
}
