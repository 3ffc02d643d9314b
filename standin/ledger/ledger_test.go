package ledger_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"verbenashift/standin/ledger"
)

// A target is killed with SIGKILL during a run and while it writes a line. After
// a restart the ledger must still show the run that never ended, and must append
// behind the truncated line without losing the next run.
func TestLedgerOutlivesKill(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "ledger")
	l, err := ledger.Open(path)
	is.NoErr(err)
	n, err := l.Start(ledger.Run{RequestID: "ended"})
	is.NoErr(err)
	is.NoErr(l.End(n, ledger.Result{Tokens: 3}))
	_, err = l.Start(ledger.Run{RequestID: "killed"})
	is.NoErr(err)
	f, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0)
	is.NoErr(err)
	_, err = f.WriteString(`{"number":3,"request-`)
	is.NoErr(err)
	is.NoErr(f.Close())

	l, err = ledger.Open(path)
	is.NoErr(err)
	_, err = l.Start(ledger.Run{RequestID: "next"})
	is.NoErr(err)
	l, err = ledger.Open(path)
	is.NoErr(err)
	runs := l.Report().Runs
	is.Equal(len(runs), 3)
	is.Equal([]string{runs[0].RequestID, runs[1].RequestID, runs[2].RequestID}, []string{"ended", "killed", "next"})
	is.Equal(runs[0].Tokens, 3)
	is.True(!runs[0].Ended.IsZero() && runs[1].Ended.IsZero())
}
