// Package prooftest holds the tests that bring about failures in whole fleets
// and check the recorded histories against the system's guarantees. Each test
// draws its faults from a printed seed; BAOBAB_SEED repeats a run.
package prooftest
