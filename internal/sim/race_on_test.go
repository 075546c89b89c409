//go:build race

package sim

// raceEnabled is whether the race detector is on.
const raceEnabled = true
