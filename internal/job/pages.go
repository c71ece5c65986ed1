package job

import (
	"encoding/binary"

	"slateway.example/slateway/internal/apierr"
)

// pageItems is the number of consecutive items whose result references share a
// page. A page is in memory only from its first result to its last; then it is
// written to the storage as one record. A job of 800,000 items thus needs only
// 782 references in memory.
const pageItems = 1024

// page holds the references to the results of pageItems consecutive items.
type page struct {
	flushed Ref   // record of the written page; zero until then
	refs    []Ref // by item, zero without a result; nil before the first result
	done    int   // number of results in refs
}

func newPages(items uint32) []page {
	return make([]page, (items+pageItems-1)/pageItems)
}

// pageLength returns the number of items of page p.
func (j *entry) pageLength(p int) int {
	return min(pageItems, int(j.items)-p*pageItems)
}

// done reports whether an item of a running job has its result.
func (j *entry) done(item uint32) bool {
	p := &j.pages[item/pageItems]
	if p.flushed != (Ref{}) {
		return true
	}
	return p.refs != nil && p.refs[item%pageItems] != Ref{}
}

func (t *Table) setResult(job *entry, item uint32, ref Ref) {
	number := int(item / pageItems)
	p := &job.pages[number]
	if p.refs == nil {
		p.refs = make([]Ref, job.pageLength(number))
	}
	p.refs[item%pageItems] = ref
	p.done++
	if p.done == len(p.refs) {
		t.flushPage(job, number)
	}
}

// flushPage writes a page with results to the storage and frees its memory.
func (t *Table) flushPage(job *entry, number int) {
	p := &job.pages[number]
	if p.refs == nil {
		return
	}
	p.flushed = t.storage.AppendResult(encodePage(p.refs))
	t.useResult(job, p.flushed)
	p.refs = nil
}

const refBytes = 16

func encodePage(refs []Ref) []byte {
	data := make([]byte, 0, refBytes*len(refs))
	for _, ref := range refs {
		data = binary.BigEndian.AppendUint32(data, ref.Segment)
		data = binary.BigEndian.AppendUint32(data, ref.Length)
		data = binary.BigEndian.AppendUint64(data, ref.Offset)
	}
	return data
}

func decodePage(data []byte) []Ref {
	refs := make([]Ref, len(data)/refBytes)
	for i := range refs {
		record := data[i*refBytes:]
		refs[i] = Ref{
			Segment: binary.BigEndian.Uint32(record),
			Length:  binary.BigEndian.Uint32(record[4:]),
			Offset:  binary.BigEndian.Uint64(record[8:]),
		}
	}
	return refs
}

// segmentUse counts the records in use by segment. A segment without records in
// use can be deleted.
type segmentUse map[uint32]uint64

func (u segmentUse) add(ref Ref) { u[ref.Segment]++ }

func (u segmentUse) remove(ref Ref) { u.subtract(ref.Segment, 1) }

func (u segmentUse) subtract(segment uint32, count uint64) {
	u[segment] -= min(u[segment], count)
	if u[segment] == 0 {
		delete(u, segment)
	}
}

func (t *Table) useResult(job *entry, ref Ref) {
	job.resultSegments.add(ref)
	t.resultSegments.add(ref)
}

// PartSegmentInUse reports whether a segment holds parts of jobs that have not
// ended.
func (t *Table) PartSegmentInUse(segment uint32) bool { return t.partSegments[segment] > 0 }

// ResultSegmentInUse reports whether a segment holds results of jobs that have
// not expired.
func (t *Table) ResultSegmentInUse(segment uint32) bool { return t.resultSegments[segment] > 0 }

// ItemListing is a range of a job's results in item order.
type ItemListing struct {
	Refs []Ref
	Next uint32 // item to continue from
	End  bool   // no more results will follow
}

// ListByItem returns at most limit results of a job in item order, starting at an
// item. For a running job it stops at the first item without a result, so that
// Next never skips an item whose result is still to come.
func (t *Table) ListByItem(id ID, from uint32, limit int) (ItemListing, error) {
	job, refusal := t.find(id)
	if refusal != nil {
		return ItemListing{}, refusal
	}
	listing := ItemListing{Next: from}
	reader := pageReader{storage: t.storage, number: -1}
	for listing.Next < job.items && len(listing.Refs) < limit && job.pages != nil {
		ref, err := reader.ref(job, listing.Next)
		if err != nil {
			return ItemListing{}, err
		}
		if ref == (Ref{}) && !job.state.Ended() {
			return listing, nil
		}
		if ref != (Ref{}) {
			listing.Refs = append(listing.Refs, ref)
		}
		listing.Next++
	}
	listing.End = job.state.Ended() && (listing.Next >= job.items || job.pages == nil)
	return listing, nil
}

// pageReader looks up result references and caches the last flushed page.
type pageReader struct {
	storage Storage
	number  int
	refs    []Ref
}

func (r *pageReader) ref(job *entry, item uint32) (Ref, error) {
	number := int(item / pageItems)
	p := &job.pages[number]
	if p.flushed == (Ref{}) {
		if p.refs == nil {
			return Ref{}, nil
		}
		return p.refs[item%pageItems], nil
	}
	if r.number != number {
		data, err := r.storage.ReadResult(p.flushed)
		if err != nil {
			return Ref{}, err
		}
		r.number, r.refs = number, decodePage(data)
	}
	if int(item%pageItems) >= len(r.refs) {
		return Ref{}, apierr.New(apierr.Internal, "corrupt_page", "replace this keeper's disk", "a result page of job %s is too short", job.id)
	}
	return r.refs[item%pageItems], nil
}
