package admission

// smoothingFactor is the weight of the newest sample in a running mean.
const smoothingFactor = 1.0 / 8

// updateMean updates an exponentially weighted moving mean with the newest sample.
func updateMean(mean *float64, newest, weight float64) { *mean += (newest - *mean) * weight }
