package clustertest_test

import (
	"testing"

	"thistlequay/internal/servertest"
)

func TestMain(m *testing.M) { servertest.Main(m) }
