package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Kind tells what a report is about.
type Kind string

// The kinds of report.
const (
	KindLoad    Kind = "load"
	KindDemand  Kind = "demand"
	KindSummary Kind = "summary"
)

// MaxAge is how old a report may be; older ones are dropped, so that a node
// that comes back spreads nothing stale.
const MaxAge = 30 * time.Second

// Key names a report within its origin.
type Key struct {
	Kind    Kind
	Subject Subject
}

// Item is one report.
type Report struct {
	Key      Key
	Sequence uint64
	Data     []byte
	// Observed is when it was observed, by the clock of the node that holds it.
	Observed time.Time
}

// Part is a stretch of one origin's reports: those after From up to To.
type Delta struct {
	IncarnationID IncarnationID
	Node          Node
	From, To      uint64
	Revision      fleet.Revision
	// Beat counts the origin's heartbeats; it holds even if items were cut.
	Heartbeat uint64
	Reports   []Report
}

// Origin is what is held of one life of a node.
type Origin struct {
	Node     Node
	Revision fleet.Revision
	// Sequence is the highest number up to which all reports are held.
	Sequence uint64
	// Beat counts its heartbeats, Heard is when that last grew.
	Heartbeat uint64
	LastSeen  time.Time

	items map[Key]Report
}

// Reports holds the reports of all origins. The zero value is empty. It is not
// safe for concurrent use.
type Reports struct {
	origins map[fleet.NodeName]*Origin
	names   map[IncarnationID]fleet.NodeName
}

// Origin returns what is held of a node's newest life.
func (r *Reports) Origin(name fleet.NodeName) (o Origin, ok bool) {
	p := r.origins[name]
	if p == nil {
		return o, false
	}
	return *p, true
}

// Name returns the name of the node whose newest life is known by its compact
// name.
func (r *Reports) NodeName(l IncarnationID) (name fleet.NodeName, ok bool) {
	name, ok = r.names[l]
	return name, ok
}

// Origins returns all origins in order of name.
func (r *Reports) Origins() []Origin {
	list := make([]Origin, 0, len(r.origins))
	for _, o := range r.origins {
		list = append(list, *o)
	}
	slices.SortFunc(list, func(a, b Origin) int { return cmp.Compare(a.Node.Ref.Name, b.Node.Ref.Name) })
	return list
}

// Item returns a report of the origin.
func (o Origin) Report(k Key) (Report, bool) {
	i, ok := o.items[k]
	return i, ok
}

// Each calls yield for every report of the origin.
func (o Origin) Each(yield func(Report)) {
	for _, i := range o.items {
		yield(i)
	}
}

// Beat advances a node's own sequence and reports what has changed.
func (r *Reports) Publish(n Node, revision fleet.Revision, now time.Time, changed ...Report) {
	o := r.life(n)
	if o == nil {
		return
	}
	for _, i := range changed {
		o.Sequence++
		i.Sequence = o.Sequence
		o.items[i.Key] = i
	}
	o.Sequence++
	o.Heartbeat++
	o.Revision = max(o.Revision, revision)
	o.LastSeen = now
}

// life returns the origin of a life, in place of an older life of the same
// name; nil if the life is older than the one held.
func (r *Reports) life(n Node) *Origin {
	o := r.origins[n.Ref.Name]
	if o != nil && o.Node.Ref.Incarnation > n.Ref.Incarnation {
		return nil
	}
	if o != nil && o.Node.Ref.Incarnation == n.Ref.Incarnation {
		return o
	}
	if r.origins == nil {
		r.origins = make(map[fleet.NodeName]*Origin)
		r.names = make(map[IncarnationID]fleet.NodeName)
	}
	if o != nil {
		delete(r.names, IncarnationIDOf(o.Node.Ref))
	}
	o = &Origin{Node: n, items: make(map[Key]Report)}
	r.origins[n.Ref.Name] = o
	r.names[IncarnationIDOf(n.Ref)] = n.Ref.Name
	return o
}

// Merge takes a part in and returns the reports that were news. A part of a
// life that is not known and not described, or of an older life, is ignored.
func (r *Reports) Merge(p Delta, now time.Time) (news []Report) {
	o := r.find(p)
	if o == nil {
		return nil
	}
	for _, i := range p.Reports {
		if i.Sequence <= o.items[i.Key].Sequence || now.Sub(i.Observed) > MaxAge {
			continue
		}
		o.items[i.Key] = i
		news = append(news, i)
	}
	o.Revision = max(o.Revision, p.Revision)
	if p.Heartbeat > o.Heartbeat {
		o.Heartbeat = p.Heartbeat
		o.LastSeen = now
	}
	if p.From <= o.Sequence && p.To > o.Sequence {
		o.Sequence = p.To
	}
	return news
}

func (r *Reports) find(p Delta) *Origin {
	if name, ok := r.names[p.IncarnationID]; ok {
		return r.origins[name]
	}
	if p.Node.Ref.Name == "" || IncarnationIDOf(p.Node.Ref) != p.IncarnationID {
		return nil
	}
	return r.life(p.Node)
}

// Digest says up to where each life's reports are held.
type Digest map[IncarnationID]uint64

// Digest returns the digest of what is held.
func (r *Reports) Digest() Digest {
	d := make(Digest, len(r.origins))
	for _, o := range r.origins {
		d[IncarnationIDOf(o.Node.Ref)] = o.Sequence
	}
	return d
}

// Missing returns the parts that the holder of a digest lacks, with reports
// not older than MaxAge and without empty parts.
func (r *Reports) Missing(d Digest, now time.Time) (parts []Delta) {
	for _, o := range r.Origins() {
		life := IncarnationIDOf(o.Node.Ref)
		from, known := d[life]
		if known && from >= o.Sequence {
			continue
		}
		p := Delta{IncarnationID: life, From: from, To: o.Sequence, Revision: o.Revision, Heartbeat: o.Heartbeat}
		if !known {
			p.Node = o.Node
		}
		p.Reports = o.after(from, now)
		parts = append(parts, p)
	}
	return parts
}

// after returns the origin's reports after a sequence number, in order.
func (o Origin) after(from uint64, now time.Time) (list []Report) {
	for _, i := range o.items {
		if i.Sequence > from && now.Sub(i.Observed) <= MaxAge {
			list = append(list, i)
		}
	}
	slices.SortFunc(list, func(a, b Report) int { return cmp.Compare(a.Sequence, b.Sequence) })
	return list
}

// Cut shortens a part to its first items.
func (p Delta) Truncate(items int) Delta {
	if items >= len(p.Reports) {
		return p
	}
	p.Reports = p.Reports[:items]
	p.To = p.From
	if items > 0 {
		p.To = p.Reports[items-1].Sequence
	}
	return p
}

// Expire forgets the origins not heard since a time, except one.
func (r *Reports) Expire(since time.Time, except fleet.NodeName) {
	for name, o := range r.origins {
		if name != except && o.LastSeen.Before(since) {
			delete(r.names, IncarnationIDOf(o.Node.Ref))
			delete(r.origins, name)
		}
	}
}
