package emulator

import "math"

// workEpsilon is the number of core seconds below which a job counts as complete, since rounding leaves small
// remainders.
const workEpsilon = 1e-9

// freeJobsPerCore is the number of runnable jobs a core up to which switching between them costs nothing.
const freeJobsPerCore = 2

// Cores emulates processor sharing: every runnable job has an equal part of the cores, and at most one core. Times are
// seconds since an origin that the caller chooses. The zero value with Count set is ready to use. Cores is not safe for
// concurrent use.
type Cores struct {
	// Count is the number of cores.
	Count float64
	// Slowdown is the loss of speed by switching between jobs: speed is divided by 1 + Slowdown*excess, where excess is
	// the number of runnable jobs beyond two per core. 0 for none.
	Slowdown float64
	// CoreSeconds is the work done so far, in seconds of one core.
	CoreSeconds float64

	now  float64
	jobs []*Job
}

// Job is a run on the cores.
type Job struct {
	// ID is the ID given to Cores.Start.
	ID string
	// Remaining is the work left, in seconds of one core.
	Remaining float64
	// StartedAt is the time of Cores.Start, in seconds.
	StartedAt float64

	suspended bool
}

// runnable returns the number of jobs that are not suspended.
func (c *Cores) runnable() float64 {
	count := 0
	for _, job := range c.jobs {
		if !job.suspended {
			count++
		}
	}
	return float64(count)
}

// speedPerJob returns the part of a core that each runnable job has.
func (c *Cores) speedPerJob() float64 {
	runnable := c.runnable()
	if runnable == 0 {
		return 0
	}
	excess := max(0, runnable-freeJobsPerCore*c.Count)
	return min(1, c.Count/runnable) / (1 + c.Slowdown*excess)
}

// AdvanceTo moves the time on to now, in seconds, and does the work of that time. It must not pass NextCompletion,
// because speeds change there. A time in the past does nothing.
func (c *Cores) AdvanceTo(now float64) {
	done := max(0, now-c.now) * c.speedPerJob()
	for _, job := range c.jobs {
		if !job.suspended {
			job.Remaining -= done
			c.CoreSeconds += done
		}
	}
	c.now = max(c.now, now)
}

// NextCompletion returns the time at which the next job has no work left, in seconds; infinite where none is runnable.
func (c *Cores) NextCompletion() float64 {
	earliest := math.Inf(1)
	speed := c.speedPerJob()
	for _, job := range c.jobs {
		if !job.suspended {
			earliest = min(earliest, max(0, job.Remaining)/speed)
		}
	}
	return c.now + earliest
}

// Start adds a runnable job of so many core seconds and returns it. IDs need not be unique.
func (c *Cores) Start(id string, coreSeconds float64) *Job {
	job := &Job{ID: id, Remaining: coreSeconds, StartedAt: c.now}
	c.jobs = append(c.jobs, job)
	return job
}

// PopCompleted removes a runnable job that has no work left and returns it; nil where there is none.
func (c *Cores) PopCompleted() *Job {
	for _, job := range c.jobs {
		if !job.suspended && job.Remaining <= workEpsilon {
			c.Abort(job)
			return job
		}
	}
	return nil
}

// Abort removes a job, whatever work it has left. It does nothing for a job that was removed before.
func (c *Cores) Abort(job *Job) {
	for i, j := range c.jobs {
		if j == job {
			c.jobs = append(c.jobs[:i], c.jobs[i+1:]...)
			return
		}
	}
}

// Suspend takes a job off the cores while it waits for a call.
func (c *Cores) Suspend(job *Job) { job.suspended = true }

// Resume puts a suspended job back on the cores.
func (c *Cores) Resume(job *Job) { job.suspended = false }

// Gauges returns the fraction of the cores that is busy, 0 to 1, and the number of runnable jobs.
func (c *Cores) Gauges() (utilization, runnable float64) {
	runnable = c.runnable()
	return min(1, runnable/c.Count), runnable
}
