package exper

import (
	"os"
	"testing"
	"time"
)

func TestTrial(t *testing.T) {
	if os.Getenv("TRIAL") == "" {
		t.Skip()
	}
	s, _ := NewStudy(os.Getenv("TRIAL"), 240*time.Second, 2)
	_ = WriteTable(os.Stdout, s.Run(4))
}
