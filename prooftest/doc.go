// Package prooftest holds the tests that inject failures into whole fleets, and check
// the recorded histories with package history against the system's guarantees. A test
// with random faults draws them from a seed, which it logs; the environment variable
// BAOBAB_SEED sets the seed to repeat a run.
package prooftest
