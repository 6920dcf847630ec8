package rig

import (
	"fmt"
	"runtime"
	"syscall"
	"unsafe"
)

// cpuSet is the kernel's set of processors: a bit for each.
type cpuSet [16]uint64

// onOneCore calls start with the present thread on one core, so that a process that it starts is on
// it too: the machines of the pages have one core.
func onOneCore(core int, start func() error) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var before cpuSet
	if err := affinity(syscall.SYS_SCHED_GETAFFINITY, &before); err != nil {
		return fmt.Errorf("read the thread's cores: %w", err)
	}
	var cores []int
	for i := range len(before) * 64 {
		if before[i/64]&(1<<(i%64)) != 0 {
			cores = append(cores, i)
		}
	}
	chosen := cores[core%len(cores)]
	var one cpuSet
	one[chosen/64] = 1 << (chosen % 64)
	if err := affinity(syscall.SYS_SCHED_SETAFFINITY, &one); err != nil {
		return fmt.Errorf("choose a core: %w", err)
	}
	defer func() { _ = affinity(syscall.SYS_SCHED_SETAFFINITY, &before) }()
	return start()
}

func affinity(call uintptr, set *cpuSet) error {
	_, _, errno := syscall.RawSyscall(call, 0, unsafe.Sizeof(*set), uintptr(unsafe.Pointer(set)))
	if errno != 0 {
		return errno
	}
	return nil
}
