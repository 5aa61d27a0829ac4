package cwsoak_test

import (
	"math/rand/v2"
	"os"
	"regexp"
	"strconv"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

const (
	// maxInstanceMemory is the memory limit of the smallest instance.
	maxInstanceMemory = 144 << 20
	// endlessPeriod is the time in which workers begin endless responses, endlessInterval that
	// between two of them, and endlessRest how long the last ones have at least.
	endlessPeriod   = 500 * time.Millisecond
	endlessInterval = 60 * time.Millisecond
	endlessRest     = 1500 * time.Millisecond
)

var peakMemoryPattern = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)

// runEndlessBytes lets workers send responses without end, in a head or a body, and checks
// the memory of the instances.
func (s *soakRun) runEndlessBytes(rng *rand.Rand) {
	before := s.peakMemory()
	kinds := int(cwstandin.FaultEndlessEvent - cwstandin.FaultEndlessLine + 1)
	for n := range int(endlessPeriod / endlessInterval) {
		fault := cwstandin.FaultEndlessLine + cwstandin.WorkerFault(n%kinds)
		s.workers[rng.IntN(len(s.workers))].QueueFaults(fault)
		<-time.After(endlessInterval)
	}
	<-time.After(endlessRest)
	s.t.Logf("peak memory of the instances in MB: %v before endless responses", before)
	s.checkPeakMemory("endless responses")
}

// checkPeakMemory checks the peak memory of the instances after what could fill it.
func (s *soakRun) checkPeakMemory(cause string) {
	peaks := s.peakMemory()
	s.t.Logf("peak memory of the instances in MB: %v after %s", peaks, cause)
	for n, megabytes := range peaks {
		if megabytes > maxInstanceMemory>>20 {
			s.t.Errorf("%s used %d MB of memory beside %s, want at most %d MB", s.instances[n].ip, megabytes, cause, maxInstanceMemory>>20)
		}
	}
}

// peakMemory returns the peak of the resident memory of each instance in MB.
func (s *soakRun) peakMemory() []int {
	var peaks []int
	for _, p := range s.instances {
		p.mu.Lock()
		pid := p.cmd.Process.Pid
		p.mu.Unlock()
		status, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
		m := peakMemoryPattern.FindSubmatch(status)
		if err != nil || m == nil {
			s.t.Errorf("read peak memory of %s: %v", p.ip, err)
			return nil
		}
		kilobytes, _ := strconv.Atoi(string(m[1]))
		peaks = append(peaks, kilobytes>>10)
	}
	return peaks
}
