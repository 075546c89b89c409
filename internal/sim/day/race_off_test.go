//go:build !race

package day

const raceEnabled = false
