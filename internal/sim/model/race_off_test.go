//go:build !race

package model

// raced says that the race detector is on, under which a schedule costs ten times as much.
const raced = false
