package rig

import (
	"fmt"
	"os"
	"time"
)

// Names that the clients of all cases use.
const (
	HostName = "cards.example"
	APIKey   = "xd9dnn2ctnfzs989anu6"
	TenantID = "huka270"
)

// Zones are those of a small deployment, one host in each.
var Zones = []string{"austin-a", "austin-b", "waco"}

// _readyTime is how long hosts have to become ready.
const _readyTime = 15 * time.Second

// Pool is a number of workers of one service.
type Pool struct {
	Count    int
	Settings WorkerSettings
}

// Site is a small deployment: a store, workers and entry hosts.
type Site struct {
	Store   *Store
	Workers []*Worker
	Fleet   *Fleet

	folder string
}

// NewSite starts a deployment and waits until its hosts are ready.
func NewSite(configuration *Configuration, memoryMB int, pools ...Pool) (*Site, error) {
	s := &Site{}
	if err := s.start(configuration, memoryMB, pools); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Site) start(configuration *Configuration, memoryMB int, pools []Pool) (err error) {
	if s.folder, err = os.MkdirTemp("", "review-"); err != nil {
		return fmt.Errorf("make a folder: %w", err)
	}
	if s.Store, err = NewStore(); err != nil {
		return err
	}
	if _, err = s.Store.PutConfiguration(configuration); err != nil {
		return err
	}
	for n, pool := range pools {
		for i := range pool.Count {
			settings := pool.Settings
			settings.Store, settings.Zone = s.Store, Zones[i%len(Zones)]
			w, startErr := StartWorker(fmt.Sprintf("w%d%c", i, 'a'+n), settings)
			if startErr != nil {
				return startErr
			}
			s.Workers = append(s.Workers, w)
		}
	}
	if s.Fleet, err = NewFleet(HostSettings{Folder: s.folder, Store: s.Store, MemoryMB: memoryMB}, Zones); err != nil {
		return err
	}
	for _, h := range s.Fleet.Hosts {
		register(h)
	}
	if err := s.Fleet.Start(); err != nil {
		return err
	}
	return s.Fleet.AwaitReady(_readyTime)
}

// Close ends all processes and stand-ins, and removes the folder. It keeps the hosts' logs where KEEP_LOGS
// names a folder.
func (s *Site) Close() {
	if s.Fleet != nil {
		s.Fleet.Kill()
	}
	for _, w := range s.Workers {
		w.Close()
	}
	if s.Store != nil {
		s.Store.Close()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(s.folder))
	}
	_ = os.RemoveAll(s.folder)
}

// Tenants are the tenants of the configurations of all cases.
func Tenants() []Tenant { return []Tenant{{Name: TenantID, APIKeys: []string{APIKey}}} }

// DeskService is a plain service like that of the site files.
func DeskService() Service {
	return Service{Name: "card-desk", HealthPath: "/health", MaxConns: 110, Protocol: "h1"}
}

// ScribeService is a service of engines like that of the site files.
func ScribeService() Service {
	return Service{Name: "scribe", HealthPath: "/health", MaxConns: 282, Protocol: "h1",
		Engine: &Engine{Slots: 24, KvCapacity: 34424, KvTokenBytes: 18432, LinkMbps: 2700, Stride: 4}}
}

// Main plays a case with its record and returns the exit code.
func Main(record string, play func(r *Record) (code int, err error)) int {
	r, err := NewRecord(record)
	if err != nil {
		fmt.Println(err)
		return NotRun
	}
	defer r.Close()
	endOnSignal()
	code, err := play(r)
	if err != nil {
		r.Conclude("the case could not run: %v", err)
		return NotRun
	}
	return code
}
