package faultrun

import (
	"os"
	"testing"

	"github.com/sirupsen/logrus"
)

func TestDebug(t *testing.T) {
	if *soakSeeds == 0 {
		t.Skip()
	}
	l := logrus.New()
	f, _ := os.Create("/tmp/debug.log")
	l.SetOutput(f)
	checkReport(t, *soakFirst, runSeed(t, Options{Seed: *soakFirst, Logger: l}))
}
