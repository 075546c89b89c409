//go:build !race

package control

// defaultSeeds is how many seeds the randomized tests run by default.
const defaultSeeds = 12
