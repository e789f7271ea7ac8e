//go:build race

package virtualtime

const raceDetectorEnabled = true
