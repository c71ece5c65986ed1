package control

import (
	"context"
	"errors"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/codec"
	"slateway.example/slateway/internal/control/controlapi"
	"slateway.example/slateway/internal/crash"
	"slateway.example/slateway/internal/wal"
)

// partStore keeps what gates have found out about parts of prompts that crash replicas, in memory
// and on disk, for gates that start. It judges nothing. It is safe for concurrent use.
type partStore struct {
	path string
	log  *zap.Logger

	mu      sync.Mutex // guards the fields below
	ledgers map[string]*crash.Ledger
	hash    uint64 // of lasting; 0: there is nothing
	writing bool
	dirty   bool // changed since the write in progress began
}

// partsFile is the name of the file in the data folder.
const partsFile = "parts"

// maxPartServices bounds the services for which parts are kept.
const maxPartServices = 1024

func newPartStore(folder string, log *zap.Logger) *partStore {
	s := &partStore{path: filepath.Join(folder, partsFile), log: log, ledgers: make(map[string]*crash.Ledger)}
	for _, service := range s.load() {
		s.merge(service.Service, service.Records)
	}
	return s
}

// load reads the file. The time for which this VM was down does not count.
func (s *partStore) load() (content []controlapi.ServiceParts) {
	data, err := os.ReadFile(s.path)
	if err == nil {
		err = codec.Unmarshal(data, &content)
	}
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		s.log.Warn("cannot read the file of parts of prompts that crash replicas, gates find them out again", zap.Error(err))
		return nil
	}
	return content
}

// merge adds records and writes the file if something has changed.
func (s *partStore) merge(service string, records []crash.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ledger := s.ledgers[service]
	if ledger == nil {
		if len(s.ledgers) >= maxPartServices {
			return
		}
		ledger = crash.NewLedger(func(crash.Evidence) bool { return false })
		s.ledgers[service] = ledger
	}
	now := time.Now()
	ledger.Merge(now, records)
	ledger.TakeChanges(now)
	s.update()
}

// expire forgets what has become too old.
func (s *partStore) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, ledger := range s.ledgers {
		ledger.Expire(now)
		ledger.TakeChanges(now)
	}
	s.update()
}

// update updates the hash and writes the file if it has changed. The caller holds the mutex.
func (s *partStore) update() {
	hashes := make(map[string]uint64, len(s.ledgers))
	for service, ledger := range s.ledgers {
		hashes[service] = ledger.Hash()
	}
	if hash := crash.HashOf(hashes); hash != s.hash {
		s.hash = hash
		s.requestWrite()
	}
}

// lasting returns what a VM needs that does not have the given hash, and the hash.
func (s *partStore) lasting(known uint64) ([]controlapi.ServiceParts, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known == s.hash {
		return nil, s.hash
	}
	return s.all(), s.hash
}

// all returns everything that lasts. The caller holds the mutex.
func (s *partStore) all() (content []controlapi.ServiceParts) {
	now := time.Now()
	for _, service := range slices.Sorted(maps.Keys(s.ledgers)) {
		if records := s.ledgers[service].Lasting(now); len(records) > 0 {
			content = append(content, controlapi.ServiceParts{Service: service, Records: records})
		}
	}
	return content
}

// requestWrite begins a write of the file, or lets the one in progress be followed by another.
// The caller holds the mutex.
func (s *partStore) requestWrite() {
	s.dirty = true
	if !s.writing {
		s.writing = true
		go s.write()
	}
}

func (s *partStore) write() {
	for {
		s.mu.Lock()
		if !s.dirty {
			s.writing = false
			s.mu.Unlock()
			return
		}
		s.dirty = false
		data := codec.MustMarshal(s.all())
		s.mu.Unlock()
		if err := wal.ReplaceFile(s.path, data); err != nil {
			s.log.Warn("cannot write the file of parts of prompts that crash replicas", zap.Error(err))
		}
	}
}

// reportParts adds what a gate has found out.
func (s *Service) reportParts(_ context.Context, request *controlapi.PartsRequest) (*controlapi.PartsResponse, error) {
	s.options.Metrics.Add("parts.records", int64(len(request.Records)))
	s.parts.merge(request.Service, request.Records)
	return &controlapi.PartsResponse{}, nil
}

// addParts adds the parts of prompts that crash replicas, unless the gate has them already.
func (s *Service) addParts(response *controlapi.FollowResponse, request *controlapi.FollowRequest) {
	if request.PartsHash != nil {
		response.Parts, response.PartsHash = s.parts.lasting(*request.PartsHash)
	}
}
