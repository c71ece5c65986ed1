package replica

import (
	"context"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"slateway.example/slateway/internal/quorum"
	"slateway.example/slateway/internal/rpc"
)

const (
	chunkSize    = 256 << 10
	chunkTimeout = 10 * time.Second
	// transferRetry is the pause after a failed transfer.
	transferRetry = 500 * time.Millisecond
)

// chunk is a part of a snapshot that is sent to another member. The chunks of a
// transfer are sent in order, one call at a time.
type chunk struct {
	Group    uint32 `cbor:"1,keyasint"`
	Transfer string `cbor:"2,keyasint"`
	Begin    bool   `cbor:"3,keyasint,omitempty"` // first chunk of the transfer
	Name     string `cbor:"4,keyasint,omitempty"` // file in the staging folder
	Offset   int64  `cbor:"5,keyasint,omitempty"`
	Data     []byte `cbor:"6,keyasint,omitempty"`
	Checksum uint32 `cbor:"7,keyasint,omitempty"` // CRC-32C of Data
	// Final ends the transfer: all files have been sent.
	Final   *quorum.Message `cbor:"8,keyasint,omitempty"`
	From    quorum.ID       `cbor:"9,keyasint"`
	Address string          `cbor:"10,keyasint"`
}

// transferLimiter limits the bytes per second of snapshot transfers, so that a repair
// does not slow down concurrent changes.
type transferLimiter struct{ limiter *rate.Limiter }

func newTransferLimiter(bytesPerSecond int64) *transferLimiter {
	return &transferLimiter{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), chunkSize)}
}

// startTransfer sends the newest snapshot to a member, unless a transfer to it is
// running. The caller holds the mutex.
func (g *group) startTransfer(to quorum.ID) {
	if _, running := g.outgoingSnapshots[to]; running {
		return
	}
	address := g.host.transport.addressOf(g.node.Membership(), to)
	term := g.node.Term()
	base := g.node.SnapshotMeta()
	g.outgoingSnapshots[to] = base.Index
	g.host.spawn(func() {
		index, err := g.sendSnapshot(address, to, term, base)
		g.host.config.Metrics.Count(metricTransfers)
		if err != nil {
			g.host.config.Metrics.Count(metricTransferFails)
			g.host.logger.Warn("snapshot transfer failed", zap.Uint32("group", g.id), zap.String("to", address), zap.Error(err))
			sleepContext(g.host.ctx, transferRetry)
		} else {
			g.host.logger.Info("snapshot sent", zap.Uint32("group", g.id), zap.Stringer("member", to), zap.String("to", address),
				zap.Uint64("index", index))
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.outgoingSnapshots, to)
		g.node.ReportSnapshot(to, index)
		g.flush()
	})
}

// sleepContext sleeps for d or until ctx ends.
func sleepContext(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// outgoingTransfer is the sending side of a snapshot transfer.
type outgoingTransfer struct {
	group   *group
	address string
	id      string
	started bool
}

// sendSnapshot sends the snapshot on disk and returns its index. base is the metadata
// to send for a group that has taken no snapshot yet.
func (g *group) sendSnapshot(address string, to quorum.ID, term uint64, base quorum.SnapshotMeta) (uint64, error) {
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
	o := &outgoingTransfer{group: g, address: address, id: uuid.NewString()}
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
	return stored.Meta.Index, o.sendChunk(chunk{Final: &final})
}

func (o *outgoingTransfer) sendBytes(name string, data []byte) error {
	for offset := 0; ; offset += chunkSize {
		end := min(offset+chunkSize, len(data))
		if err := o.sendChunk(chunk{Name: name, Offset: int64(offset), Data: data[offset:end]}); err != nil {
			return err
		}
		if end == len(data) {
			return nil
		}
	}
}

func (o *outgoingTransfer) sendFile(file File) error {
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
		if err := o.sendChunk(chunk{Name: file.Name + fileSuffix, Offset: offset, Data: part}); err != nil {
			return err
		}
		offset += int64(len(part))
		if offset == file.Length {
			return nil
		}
	}
}

func (o *outgoingTransfer) sendChunk(c chunk) error {
	h := o.group.host
	if err := h.transferLimiter.limiter.WaitN(h.ctx, len(c.Data)); err != nil {
		return err
	}
	c.Group, c.Transfer, c.Begin = o.group.id, o.id, !o.started
	c.Checksum = crc32.Checksum(c.Data, castagnoli)
	c.From, c.Address = h.self.ID, h.self.Address
	o.started = true
	ctx, cancel := context.WithTimeout(h.ctx, chunkTimeout)
	defer cancel()
	_, err := rpc.Call(ctx, h.transport.client, o.address, procedureChunk, &c)
	return err
}

func (h *Host) serveChunk(_ context.Context, c *chunk) (*ack, error) {
	if err := h.stopped(); err != nil {
		return nil, err
	}
	if c.Group >= uint32(len(h.groups)) {
		return nil, fmt.Errorf("group %d does not exist", c.Group)
	}
	h.transport.recordAddress(c.From, c.Address)
	g := h.groups[c.Group]
	if err := g.staging.writeChunk(c); err != nil {
		return nil, err
	}
	if c.Final == nil {
		return &ack{}, nil
	}
	if c.Final.Snapshot == nil {
		return nil, fmt.Errorf("the final chunk of a transfer contains no snapshot metadata")
	}
	if err := g.staging.seal(*c.Final.Snapshot); err != nil {
		return nil, err
	}
	g.acceptSnapshot(*c.Final)
	return &ack{}, nil
}

// acceptSnapshot passes the staged snapshot to the consensus node, which accepts or
// rejects it.
func (g *group) acceptSnapshot(m quorum.Message) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.node.Step(m)
	if !g.node.InstallingSnapshot() {
		g.staging.reset()
	}
	g.flush()
}
