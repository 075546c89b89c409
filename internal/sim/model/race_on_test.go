//go:build race

package model

// raceEnabled reports whether the race detector is on, which makes a schedule ten times as slow.
const raceEnabled = true
