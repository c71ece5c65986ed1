package main

import (
	"fmt"
	"math"
	"runtime"
	"strings"
	"syscall"
	"time"
)

// series holds the values of one measured quantity at several sizes.
type series struct {
	name   string
	sizes  []float64
	values []float64
}

// line is a least-squares fit: value = base + slope*size.
type line struct {
	base, slope float64
	deviation   float64 // standard deviation of the residuals
	r2          float64
}

func (s *series) add(size int, value float64) {
	s.sizes = append(s.sizes, float64(size))
	s.values = append(s.values, value)
}

func (s *series) fit() line {
	n := float64(len(s.sizes))
	meanX, meanY := mean(s.sizes), mean(s.values)
	var xx, xy, yy float64
	for i, x := range s.sizes {
		xx += (x - meanX) * (x - meanX)
		xy += (x - meanX) * (s.values[i] - meanY)
		yy += (s.values[i] - meanY) * (s.values[i] - meanY)
	}
	fitted := line{slope: xy / xx}
	fitted.base = meanY - fitted.slope*meanX
	var residuals float64
	for i, x := range s.sizes {
		difference := s.values[i] - fitted.base - fitted.slope*x
		residuals += difference * difference
	}
	fitted.deviation = math.Sqrt(residuals / max(1, n-2))
	fitted.r2 = 1
	if yy > 0 {
		fitted.r2 = 1 - residuals/yy
	}
	return fitted
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

// printTable writes the series as a Markdown table with the fits below it.
func printTable(size string, table []*series) {
	header := []string{size}
	rule := []string{"---"}
	for _, s := range table {
		header = append(header, s.name)
		rule = append(rule, "---")
	}
	fmt.Printf("| %s |\n|%s|\n", strings.Join(header, " | "), strings.Join(rule, "|"))
	for i := range table[0].sizes {
		row := []string{fmt.Sprint(table[0].sizes[i])}
		for _, s := range table {
			row = append(row, fmt.Sprintf("%.4g", s.values[i]))
		}
		fmt.Printf("| %s |\n", strings.Join(row, " | "))
	}
	fmt.Println()
	for _, s := range table {
		f := s.fit()
		fmt.Printf("%s = %.4g + %.4g x %s (standard deviation %.2g, R2 %.3f)\n\n", s.name, f.base, f.slope, size, f.deviation, f.r2)
	}
}

// processorTime returns the user and system CPU time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err) // cannot fail: the arguments are constant
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heapBytes returns the size of the live heap after a full collection.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC() // frees objects that the first collection left to finalizers
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
