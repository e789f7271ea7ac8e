// Package review_test names the cases of the review, so that KNOWN-RED.txt can list them. They run only on demand.
package review_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// runCase runs the script of a case, which must have been built with review/build.sh. By default it skips the case.
func runCase(t *testing.T, number string) {
	t.Helper()
	if os.Getenv("REVIEW_CASES") == "" {
		t.Skip("runs with REVIEW_CASES=1 only, after the build of the deploy file and review/build.sh")
	}
	output, err := exec.Command(filepath.Join(number, "run.sh")).CombinedOutput()
	require.NoError(t, err, string(output))
}

// TestReviewCase1 guards against a run that gets the reply to its call before.
func TestReviewCase1(t *testing.T) { runCase(t, "1") }

// TestReviewCase2 guards against a server that ends by the verdict of a plug-in.
func TestReviewCase2(t *testing.T) { runCase(t, "2") }

// TestReviewCase3 guards against a restored result that is served for another body.
func TestReviewCase3(t *testing.T) { runCase(t, "3") }
