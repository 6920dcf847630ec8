package entry

import (
	"expvar"
	"sync"
	"time"

	"apricotproxy/core/procs/know"
)

// _pulls counts the pulls of documents from other hosts, and the bytes received by them.
var _pulls = expvar.NewMap("apricotproxy.Routed.Pulls")

// _notices counts what endpoints said of themselves in answers.
var _notices = expvar.NewMap("apricotproxy.Routed.EndpointNotices")

// documentGauges are the metrics of the published documents as this process knows them.
type documentGauges struct {
	version, epoch, revision, age *expvar.Int
}

var _documentGauges = sync.OnceValue(func() documentGauges {
	g := documentGauges{version: new(expvar.Int), epoch: new(expvar.Int), revision: new(expvar.Int), age: new(expvar.Int)}
	documents := expvar.NewMap("apricotproxy.Routed.Documents")
	documents.Set("Version", g.version)
	documents.Set("Epoch", g.epoch)
	documents.Set("Revision", g.revision)
	documents.Set("AgeMilliseconds", g.age)
	return g
})

func (g documentGauges) set(now time.Time, version uint64, status know.SyncStatus) {
	g.version.Set(int64(version))
	g.epoch.Set(int64(status.Epoch))
	g.revision.Set(int64(status.AsOf))
	g.age.Set(status.Age(now).Milliseconds())
}
