//go:build !race

package sim

// raced says that the race detector is on.
const raced = false
