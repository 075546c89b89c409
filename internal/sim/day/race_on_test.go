//go:build race

package day

// raceEnabled reports that the race detector is on, under which a day costs five times as much.
const raceEnabled = true
