package admission

// smoothing is the weight of the newest sample in a running mean.
const smoothing = 1.0 / 8

// smooth updates an exponentially weighted moving mean with the newest sample.
func smooth(mean *float64, newest, weight float64) { *mean += (newest - *mean) * weight }
