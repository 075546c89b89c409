//go:build race

package control

// defaultSeeds is smaller under the race detector, which makes a run about ten times
// as long.
const defaultSeeds = 4
