// Package standin is what the app server meets in tests and in `thistlequay try`: an interpreter whose cores are shared
// by what runs, an index, a directory, routers, and the load that they send. All speak the published protocols and
// do what a script has them do. Nothing here decides for the app server.
package emulator

import "math"

// Cores are shared alike by what runs on them. Times are seconds from any beginning.
type Cores struct {
	Count       float64 // how many there are
	Slowdown    float64 // part of their speed that is lost for each job beyond two a core
	now         float64
	jobs        []*Job
	CoreSeconds float64 // core seconds given
}

// Job is work under way.
type Job struct {
	ID        string
	Remaining float64 // core seconds
	StartedAt float64
	suspended bool
}

func (c *Cores) runnable() (n float64) {
	for _, j := range c.jobs {
		if !j.suspended {
			n++
		}
	}
	return n
}

// speedPerJob is how much of a core each job has.
func (c *Cores) speedPerJob() float64 {
	n := c.runnable()
	if n == 0 {
		return 0
	}
	return min(1, c.Count/n) / (1 + c.Slowdown*max(0, n-2*c.Count))
}

// AdvanceTo moves the time on. It must not pass Next.
func (c *Cores) AdvanceTo(now float64) {
	done := max(0, now-c.now) * c.speedPerJob()
	for _, j := range c.jobs {
		if !j.suspended {
			j.Remaining -= done
			c.CoreSeconds += done
		}
	}
	c.now = max(c.now, now)
}

// NextCompletion is when the next job ends; infinite where none will.
func (c *Cores) NextCompletion() float64 {
	least, speed := math.Inf(1), c.speedPerJob()
	for _, j := range c.jobs {
		if !j.suspended {
			least = min(least, max(0, j.Remaining)/speed)
		}
	}
	return c.now + least
}

// Start begins a job.
func (c *Cores) Start(id string, work float64) *Job {
	j := &Job{ID: id, Remaining: work, StartedAt: c.now}
	c.jobs = append(c.jobs, j)
	return j
}

// PopCompleted gives a job that has no work left and forgets it; nil where there is none.
func (c *Cores) PopCompleted() *Job {
	for _, j := range c.jobs {
		if !j.suspended && j.Remaining <= 1e-9 {
			c.Abort(j)
			return j
		}
	}
	return nil
}

// Abort ends a job as it is.
func (c *Cores) Abort(of *Job) {
	for i, j := range c.jobs {
		if j == of {
			c.jobs = append(c.jobs[:i], c.jobs[i+1:]...)
			return
		}
	}
}

// Suspend takes a job off the cores, at a call; Back has it go on.
func (c *Cores) Suspend(j *Job) { j.suspended = true }
func (c *Cores) Resume(j *Job)  { j.suspended = false }

// Gauges are the share of the cores that is busy and how much wants one.
func (c *Cores) Gauges() (use, wants float64) {
	n := c.runnable()
	return min(1, n/c.Count), n
}
