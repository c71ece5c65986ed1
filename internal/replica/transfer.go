package replica

import (
	"context"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"slateway.example/slateway/internal/quorum"
	"slateway.example/slateway/internal/rpc"
	"slateway.example/slateway/internal/wal"
)

const (
	chunkSize    = 256 << 10
	chunkTimeout = 10 * time.Second
	// transferRetry is the pause after a failed transfer.
	transferRetry = 500 * time.Millisecond
)

// chunk is a piece of a snapshot on its way to another member. The pieces of a
// transfer come in order, one call at a time.
type chunk struct {
	Group    uint32 `cbor:"1,keyasint"`
	Transfer string `cbor:"2,keyasint"`
	Begin    bool   `cbor:"3,keyasint,omitempty"` // first piece of the transfer
	Name     string `cbor:"4,keyasint,omitempty"` // file in the staging folder
	Offset   int64  `cbor:"5,keyasint,omitempty"`
	Data     []byte `cbor:"6,keyasint,omitempty"`
	Checksum uint32 `cbor:"7,keyasint,omitempty"` // CRC-32C of Data
	// Final ends the transfer: all files are whole.
	Final   *quorum.Message `cbor:"8,keyasint,omitempty"`
	From    quorum.ID       `cbor:"9,keyasint"`
	Address string          `cbor:"10,keyasint"`
}

// pacer bounds the bytes a second that snapshots take, so that a repair does
// not slow the changes that go on beside it.
type pacer struct{ limiter *rate.Limiter }

func newPacer(bytesPerSecond int64) *pacer {
	return &pacer{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), chunkSize)}
}

// startTransfer sends the newest snapshot to a member. The mutex is held.
func (g *group) startTransfer(to quorum.ID) {
	if _, running := g.sending[to]; running {
		return
	}
	address := g.host.transport.addressOf(g.node.Membership(), to)
	term := g.node.Term()
	base := g.node.SnapshotMeta()
	g.sending[to] = base.Index
	g.host.spawn(func() {
		index, err := g.transfer(address, to, term, base)
		g.host.config.Metrics.Count(metricTransfers)
		if err != nil {
			g.host.config.Metrics.Count(metricTransferFails)
			g.host.logger.Warn("snapshot transfer", zap.Uint32("group", g.id), zap.String("to", address), zap.Error(err))
			sleep(g.host.ctx, transferRetry)
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.sending, to)
		g.node.ReportSnapshot(to, index)
		g.flush()
	})
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// outgoing is one transfer on the sending side.
type outgoing struct {
	group   *group
	address string
	id      string
	begun   bool
}

// transfer sends the snapshot on disk and gives its index. base stands in for
// a group that has taken no snapshot since it began.
func (g *group) transfer(address string, to quorum.ID, term uint64, base quorum.SnapshotMeta) (uint64, error) {
	stored, err := g.store.load()
	if err != nil {
		return 0, err
	}
	if stored.Meta.Index == 0 {
		stored.Meta = base
	}
	encoded, err := stored.encode()
	if err != nil {
		return 0, err
	}
	o := &outgoing{group: g, address: address, id: uuid.NewString()}
	if err := o.sendBytes(snapshotFile, encoded); err != nil {
		return 0, err
	}
	for _, file := range stored.Files {
		if err := o.sendFile(file); err != nil {
			return 0, err
		}
	}
	final := quorum.Message{
		Type: quorum.MsgSnapshot, From: g.host.self.ID, To: to, Term: term, Snapshot: &stored.Meta,
	}
	return stored.Meta.Index, o.call(chunk{Final: &final})
}

func (o *outgoing) sendBytes(name string, data []byte) error {
	for offset := 0; ; offset += chunkSize {
		end := min(offset+chunkSize, len(data))
		if err := o.call(chunk{Name: name, Offset: int64(offset), Data: data[offset:end]}); err != nil {
			return err
		}
		if end == len(data) {
			return nil
		}
	}
}

func (o *outgoing) sendFile(file File) error {
	opened, err := os.Open(o.group.store.path(filesFolder, file.Name))
	if err != nil {
		return fmt.Errorf("open a snapshot's file: %w", err)
	}
	defer opened.Close()
	buffer := make([]byte, chunkSize)
	for offset := int64(0); ; {
		part := buffer[:min(chunkSize, file.Length-offset)]
		if _, err := io.ReadFull(opened, part); err != nil {
			return fmt.Errorf("read a snapshot's file: %w", err)
		}
		if err := o.call(chunk{Name: file.Name + fileSuffix, Offset: offset, Data: part}); err != nil {
			return err
		}
		offset += int64(len(part))
		if offset == file.Length {
			return nil
		}
	}
}

func (o *outgoing) call(c chunk) error {
	h := o.group.host
	if err := h.pacer.limiter.WaitN(h.ctx, len(c.Data)); err != nil {
		return err
	}
	c.Group, c.Transfer, c.Begin = o.group.id, o.id, !o.begun
	c.Checksum = crc32.Checksum(c.Data, castagnoli)
	c.From, c.Address = h.self.ID, h.self.Address
	o.begun = true
	ctx, cancel := context.WithTimeout(h.ctx, chunkTimeout)
	defer cancel()
	_, err := rpc.Call(ctx, h.transport.client, o.address, procedureChunk, &c)
	return err
}

// staging is the receiving side of a group's transfers: one at a time, into a
// folder that counts for nothing until it is whole.
type staging struct {
	folder string

	mu       sync.Mutex
	transfer string
	whole    bool // handed to the decision, not installed yet
}

var errStagingBusy = errors.New("another snapshot is being installed")

func (s *staging) write(c *chunk) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.whole {
		return errStagingBusy
	}
	if c.Begin {
		if err := errors.Join(os.RemoveAll(s.folder), os.MkdirAll(s.folder, 0o700)); err != nil {
			return err
		}
		s.transfer = c.Transfer
	}
	if c.Transfer != s.transfer {
		return fmt.Errorf("transfer %s was replaced by %s", c.Transfer, s.transfer)
	}
	if c.Final != nil {
		return nil
	}
	if !validName(c.Name) || crc32.Checksum(c.Data, castagnoli) != c.Checksum {
		return fmt.Errorf("chunk of %q at %d is damaged", c.Name, c.Offset)
	}
	file, err := os.OpenFile(filepath.Join(s.folder, c.Name), os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = file.WriteAt(c.Data, c.Offset)
	return errors.Join(err, file.Close())
}

// seal checks that the files are whole and syncs them.
func (s *staging) seal(meta quorum.SnapshotMeta) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	path := filepath.Join(s.folder, snapshotFile)
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	stored, err := decodeSnapshot(path, data)
	if err != nil {
		return err
	}
	if stored.Meta.Index != meta.Index || stored.Meta.Term != meta.Term {
		return fmt.Errorf("snapshot at %d arrived where %d was announced", stored.Meta.Index, meta.Index)
	}
	if err := syncPath(path); err != nil {
		return err
	}
	for _, file := range stored.Files {
		if err := sealFile(filepath.Join(s.folder, file.Name+fileSuffix), file); err != nil {
			return err
		}
	}
	s.whole = true
	return wal.SyncFolder(s.folder)
}

func sealFile(path string, file File) error {
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	if !validName(file.Name) || info.Size() != file.Length {
		return fmt.Errorf("file %q arrived with %d of %d bytes", file.Name, info.Size(), file.Length)
	}
	return syncPath(path)
}

func syncPath(path string) error {
	file, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		return err
	}
	return errors.Join(file.Sync(), file.Close())
}

// discard lets the next transfer begin.
func (s *staging) discard() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.whole = false
	s.transfer = ""
}

// handOver moves the whole snapshot to where the store installs it from.
func (s *staging) handOver(install string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := os.Rename(s.folder, install); err != nil {
		return fmt.Errorf("hand over a snapshot: %w", err)
	}
	s.whole = false
	s.transfer = ""
	return wal.SyncFolder(filepath.Dir(install))
}

func (h *Host) serveChunk(_ context.Context, c *chunk) (*ack, error) {
	if err := h.stopped(); err != nil {
		return nil, err
	}
	if c.Group >= uint32(len(h.groups)) {
		return nil, fmt.Errorf("no group %d", c.Group)
	}
	h.transport.hear(c.From, c.Address)
	g := h.groups[c.Group]
	if err := g.staging.write(c); err != nil {
		return nil, err
	}
	if c.Final == nil {
		return &ack{}, nil
	}
	if c.Final.Snapshot == nil {
		return nil, fmt.Errorf("the final chunk names no snapshot")
	}
	if err := g.staging.seal(*c.Final.Snapshot); err != nil {
		return nil, err
	}
	g.acceptSnapshot(*c.Final)
	return &ack{}, nil
}

// acceptSnapshot lets the decision take the staged snapshot or refuse it.
func (g *group) acceptSnapshot(m quorum.Message) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.node.Step(m)
	if !g.node.Installing() {
		g.staging.discard()
	}
	g.flush()
}
