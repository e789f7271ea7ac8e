package emulator

import "math"

// workEpsilon is the remaining work, in core seconds, at or below which a job counts as complete. Rounding errors keep
// the remaining work from reaching exactly 0.
const workEpsilon = 1e-9

// jobsPerCoreWithoutSlowdown is the number of runnable jobs per core up to which switching between jobs costs no speed.
const jobsPerCoreWithoutSlowdown = 2

// Cores emulates processor sharing: every runnable job gets an equal share of the cores, at most one core. Times are in
// seconds since an origin that the caller chooses. A Cores value is ready to use once Count is set. It is not safe for
// concurrent use.
type Cores struct {
	// Count is the number of cores.
	Count float64
	// Slowdown is the cost of switching between jobs: the speed of each job is divided by 1 + Slowdown*excess, where
	// excess is the number of runnable jobs beyond two per core. 0 means that switching costs nothing.
	Slowdown float64
	// CoreSeconds is the work done so far, in core seconds.
	CoreSeconds float64

	now  float64
	jobs []*Job
}

// Job is a unit of work that runs on the cores.
type Job struct {
	// ID is the ID passed to Cores.Start.
	ID string
	// Remaining is the work left, in core seconds.
	Remaining float64
	// StartedAt is the time at which Cores.Start added the job, in seconds.
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

// speedPerJob returns the speed of each runnable job in core seconds per second, or 0 if no job is runnable.
func (c *Cores) speedPerJob() float64 {
	runnable := c.runnable()
	if runnable == 0 {
		return 0
	}
	excess := max(0, runnable-jobsPerCoreWithoutSlowdown*c.Count)
	return min(1, c.Count/runnable) / (1 + c.Slowdown*excess)
}

// AdvanceTo advances the time to now, in seconds, and performs the work of the time that has passed. The caller must
// not advance beyond NextCompletion, because the speed of the remaining jobs changes at that time. A time in the past
// has no effect.
func (c *Cores) AdvanceTo(now float64) {
	workPerJob := max(0, now-c.now) * c.speedPerJob()
	for _, job := range c.jobs {
		if !job.suspended {
			job.Remaining -= workPerJob
			c.CoreSeconds += workPerJob
		}
	}
	c.now = max(c.now, now)
}

// NextCompletion returns the time at which the next job completes, in seconds, or infinity if no job is runnable.
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

// Start adds a runnable job with the given work, in core seconds, and returns it. IDs need not be unique.
func (c *Cores) Start(id string, coreSeconds float64) *Job {
	job := &Job{ID: id, Remaining: coreSeconds, StartedAt: c.now}
	c.jobs = append(c.jobs, job)
	return job
}

// PopCompleted removes a runnable job that has no work left and returns it, or returns nil if there is none.
func (c *Cores) PopCompleted() *Job {
	for _, job := range c.jobs {
		if !job.suspended && job.Remaining <= workEpsilon {
			c.Abort(job)
			return job
		}
	}
	return nil
}

// Abort removes a job regardless of the work it has left. It does nothing if the job has already been removed.
func (c *Cores) Abort(job *Job) {
	for i, j := range c.jobs {
		if j == job {
			c.jobs = append(c.jobs[:i], c.jobs[i+1:]...)
			return
		}
	}
}

// Suspend stops the work on a job, for example while it waits for a call, until Resume.
func (c *Cores) Suspend(job *Job) { job.suspended = true }

// Resume makes a suspended job runnable again.
func (c *Cores) Resume(job *Job) { job.suspended = false }

// Gauges returns the fraction of the cores that is busy, from 0 to 1, and the number of runnable jobs.
func (c *Cores) Gauges() (utilization, runnable float64) {
	runnable = c.runnable()
	return min(1, runnable/c.Count), runnable
}
