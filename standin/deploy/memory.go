package deploy

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// ResetPeakMemory makes the kernel forget the peak of the memory that a process has taken.
func ResetPeakMemory(pid int) error {
	return os.WriteFile(fmt.Sprintf("/proc/%d/clear_refs", pid), []byte("5"), 0)
}

// PeakMemory returns the peak of the memory that a process has taken, in bytes.
func PeakMemory(pid int) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(text), "VmHWM:")
	number, _, _ := strings.Cut(strings.TrimSpace(rest), " ")
	kilobytes, err := strconv.ParseInt(number, 10, 64)
	return kilobytes << 10, err
}
