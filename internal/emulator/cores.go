// Package standin is what the app server meets in tests and in `thistlequay try`: an interpreter whose cores are shared
// by what runs, an index, a directory, routers, and the load that they send. All speak the published protocols and
// do what a script has them do. Nothing here decides for the app server.
package emulator

import "math"

// Cores are shared alike by what runs on them. Times are seconds from any beginning.
type Cores struct {
	N    float64 // how many there are
	Drag float64 // part of their speed that is lost for each job beyond two a core
	now  float64
	jobs []*Job
	Done float64 // core seconds given
}

// Job is work under way.
type Job struct {
	ID    string
	Left  float64 // core seconds
	Began float64
	away  bool
}

func (c *Cores) on() (n float64) {
	for _, j := range c.jobs {
		if !j.away {
			n++
		}
	}
	return n
}

// speed is how much of a core each job has.
func (c *Cores) speed() float64 {
	n := c.on()
	if n == 0 {
		return 0
	}
	return min(1, c.N/n) / (1 + c.Drag*max(0, n-2*c.N))
}

// To moves the time on. It must not pass Next.
func (c *Cores) To(now float64) {
	done := max(0, now-c.now) * c.speed()
	for _, j := range c.jobs {
		if !j.away {
			j.Left -= done
			c.Done += done
		}
	}
	c.now = max(c.now, now)
}

// Next is when the next job ends; infinite where none will.
func (c *Cores) Next() float64 {
	least, speed := math.Inf(1), c.speed()
	for _, j := range c.jobs {
		if !j.away {
			least = min(least, max(0, j.Left)/speed)
		}
	}
	return c.now + least
}

// Add begins a job.
func (c *Cores) Add(id string, work float64) *Job {
	j := &Job{ID: id, Left: work, Began: c.now}
	c.jobs = append(c.jobs, j)
	return j
}

// Ended gives a job that has no work left and forgets it; nil where there is none.
func (c *Cores) Ended() *Job {
	for _, j := range c.jobs {
		if !j.away && j.Left <= 1e-9 {
			c.Drop(j)
			return j
		}
	}
	return nil
}

// Drop ends a job as it is.
func (c *Cores) Drop(of *Job) {
	for i, j := range c.jobs {
		if j == of {
			c.jobs = append(c.jobs[:i], c.jobs[i+1:]...)
			return
		}
	}
}

// Away takes a job off the cores, at a call; Back has it go on.
func (c *Cores) Away(j *Job) { j.away = true }
func (c *Cores) Back(j *Job) { j.away = false }

// Gauges are the share of the cores that is busy and how much wants one.
func (c *Cores) Gauges() (use, wants float64) {
	n := c.on()
	return min(1, n/c.N), n
}
