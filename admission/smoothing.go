package admission

// smoothing is the weight of the newest sample in a running mean; a ratio of our own.
const smoothing = 1.0 / 8

// smooth moves an exponentially weighted moving mean towards the newest sample.
func smooth(mean *float64, newest, weight float64) { *mean += (newest - *mean) * weight }
