package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Kind is the kind of a report.
type Kind string

// The kinds of report: the load of an instance, the demand of an account at the
// origin, and the summary of another data centre.
const (
	KindLoad    Kind = "load"
	KindDemand  Kind = "demand"
	KindSummary Kind = "summary"
)

// MaxAge is the maximum age of a report. Older ones are dropped, so that a node
// that was partitioned does not spread stale reports when it reconnects.
const MaxAge = 30 * time.Second

// Key identifies a report within its origin.
type Key struct {
	Kind    Kind
	Subject Subject
}

// Report is the state of a subject as its origin, a node, reports it. A report
// replaces those with the same key and a lower sequence number.
type Report struct {
	Key      Key
	Sequence uint64
	Data     []byte
	// Observed is the time of the observation, by the clock of the local node.
	Observed time.Time
}

// Delta is the reports of one origin with sequence numbers after From and up to
// To.
type Delta struct {
	IncarnationID IncarnationID
	// Node describes the origin. It is empty if the receiver knows the
	// incarnation.
	Node     Node
	From, To uint64
	Revision fleet.Revision
	// Heartbeat counts the origin's heartbeats. It is valid even if Reports was
	// truncated.
	Heartbeat uint64
	Reports   []Report
}

// Origin is the known state of one incarnation of a node.
type Origin struct {
	Node     Node
	Revision fleet.Revision
	// Sequence is the highest sequence number up to which no report is missing.
	Sequence uint64
	// Heartbeat counts its heartbeats, LastSeen is when the count last grew.
	Heartbeat uint64
	LastSeen  time.Time

	reports map[Key]Report
}

// Reports holds the reports of all origins. The zero value is empty. It is not
// safe for concurrent use.
type Reports struct {
	origins map[fleet.NodeName]*Origin
	names   map[IncarnationID]fleet.NodeName
}

// Origin returns the state of a node's newest incarnation.
func (r *Reports) Origin(name fleet.NodeName) (o Origin, ok bool) {
	origin := r.origins[name]
	if origin == nil {
		return o, false
	}
	return *origin, true
}

// NodeName returns the name of the node whose newest incarnation has the given
// ID.
func (r *Reports) NodeName(id IncarnationID) (name fleet.NodeName, ok bool) {
	name, ok = r.names[id]
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

// Report returns the origin's report with a key.
func (o Origin) Report(k Key) (Report, bool) {
	report, ok := o.reports[k]
	return report, ok
}

// Each calls yield for every report of the origin.
func (o Origin) Each(yield func(Report)) {
	for _, report := range o.reports {
		yield(report)
	}
}

// Publish advances the heartbeat of the local node and adds its changed
// reports. The heartbeat uses a sequence number too, so that Missing returns a
// delta even if no report has changed.
func (r *Reports) Publish(n Node, revision fleet.Revision, now time.Time, changed ...Report) {
	o := r.ensureOrigin(n)
	if o == nil {
		return
	}
	for _, report := range changed {
		o.Sequence++
		report.Sequence = o.Sequence
		o.reports[report.Key] = report
	}
	o.Sequence++
	o.Heartbeat++
	o.Revision = max(o.Revision, revision)
	o.LastSeen = now
}

// ensureOrigin returns the origin of a node's incarnation. It creates a missing
// one, which replaces an older incarnation of the node. It returns nil if a
// newer incarnation is known.
func (r *Reports) ensureOrigin(n Node) *Origin {
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
	o = &Origin{Node: n, reports: make(map[Key]Report)}
	r.origins[n.Ref.Name] = o
	r.names[IncarnationIDOf(n.Ref)] = n.Ref.Name
	return o
}

// Merge applies a delta and returns the reports that were new. It ignores a
// delta of an older incarnation, and one of an unknown incarnation that does
// not describe its node.
func (r *Reports) Merge(d Delta, now time.Time) (added []Report) {
	o := r.findOrigin(d)
	if o == nil {
		return nil
	}
	for _, report := range d.Reports {
		if report.Sequence <= o.reports[report.Key].Sequence || now.Sub(report.Observed) > MaxAge {
			continue
		}
		o.reports[report.Key] = report
		added = append(added, report)
	}
	o.Revision = max(o.Revision, d.Revision)
	if d.Heartbeat > o.Heartbeat {
		o.Heartbeat = d.Heartbeat
		o.LastSeen = now
	}
	if d.From <= o.Sequence && d.To > o.Sequence {
		o.Sequence = d.To
	}
	return added
}

func (r *Reports) findOrigin(d Delta) *Origin {
	if name, ok := r.names[d.IncarnationID]; ok {
		return r.origins[name]
	}
	if d.Node.Ref.Name == "" || IncarnationIDOf(d.Node.Ref) != d.IncarnationID {
		return nil
	}
	return r.ensureOrigin(d.Node)
}

// Digest maps each incarnation to the sequence number up to which its reports
// are known.
type Digest map[IncarnationID]uint64

// Digest returns the digest of the reports.
func (r *Reports) Digest() Digest {
	d := make(Digest, len(r.origins))
	for _, o := range r.origins {
		d[IncarnationIDOf(o.Node.Ref)] = o.Sequence
	}
	return d
}

// Missing returns the deltas that the sender of a digest lacks, with reports
// not older than MaxAge. An origin that has not advanced has no delta.
func (r *Reports) Missing(d Digest, now time.Time) (deltas []Delta) {
	for _, o := range r.Origins() {
		id := IncarnationIDOf(o.Node.Ref)
		from, known := d[id]
		if known && from >= o.Sequence {
			continue
		}
		delta := Delta{IncarnationID: id, From: from, To: o.Sequence, Revision: o.Revision, Heartbeat: o.Heartbeat}
		if !known {
			delta.Node = o.Node
		}
		delta.Reports = o.reportsSince(from, now)
		deltas = append(deltas, delta)
	}
	return deltas
}

// reportsSince returns the origin's reports after a sequence number, in order.
func (o Origin) reportsSince(sequence uint64, now time.Time) (reports []Report) {
	for _, report := range o.reports {
		if report.Sequence > sequence && now.Sub(report.Observed) <= MaxAge {
			reports = append(reports, report)
		}
	}
	slices.SortFunc(reports, func(a, b Report) int { return cmp.Compare(a.Sequence, b.Sequence) })
	return reports
}

// Truncate limits a delta to its first reports and lowers To accordingly.
func (d Delta) Truncate(count int) Delta {
	if count >= len(d.Reports) {
		return d
	}
	d.Reports = d.Reports[:count]
	d.To = d.From
	if count > 0 {
		d.To = d.Reports[count-1].Sequence
	}
	return d
}

// Expire removes the origins whose heartbeat has not grown since a time, except
// one.
func (r *Reports) Expire(since time.Time, except fleet.NodeName) {
	for name, o := range r.origins {
		if name != except && o.LastSeen.Before(since) {
			delete(r.names, IncarnationIDOf(o.Node.Ref))
			delete(r.origins, name)
		}
	}
}
