// Package configuration provides the duty that maintains the configuration in
// force. The root supervisor starts it below `entry/configuration`. It folds the
// stream `configuration`, sends new versions to its subscribers, appends
// snapshots to the stream and exchanges states with peers while the log is
// unavailable. When it fails it restarts from the log or from a peer;
// subscribers keep their version and never receive an older one.
package configuration

import (
	"context"
	"hash/fnv"
	"time"

	"lacewingfork.example/lacewingfork/decision/configuration"
	"lacewingfork.example/lacewingfork/entry/message"
	"lacewingfork.example/lacewingfork/fleet"
	records "lacewingfork.example/lacewingfork/records/configuration"
	"lacewingfork.example/lacewingfork/supervise"
)

const (
	// logRingCapacity is the capacity, in batches, of the ring from the log
	// reader; the rings to other folds have the same.
	logRingCapacity = 64
	// requestRingCapacity is enough for a request of every peer of a region.
	requestRingCapacity = 16
	// offerRingCapacity equals requestRingCapacity: each peer answers a request
	// once.
	offerRingCapacity = 16
	// resendRingCapacity is enough for a message of every subscriber of an
	// instance.
	resendRingCapacity = 64
)

// Settings configures the duty.
type Settings struct {
	Instance fleet.InstanceID
	// PeerRequestInterval is the pause between requests to peers while the
	// instance has no version, misses entries or has read nothing from the
	// log for LogTimeout.
	PeerRequestInterval time.Duration
	LogTimeout          time.Duration
	// A new snapshot is appended to the log SnapshotInterval after the newest one
	// or after SnapshotPublications publications, whichever comes first.
	// SnapshotInterval has to be well below the log's retention.
	SnapshotInterval     time.Duration
	SnapshotPublications int
	// SnapshotStagger is the time over which the instances' appends of a due
	// snapshot are spread, so that in most cases only one instance appends.
	SnapshotStagger time.Duration
	// Metrics may be nil.
	Metrics *Metrics
}

// DefaultSettings returns settings for a log that retains records for at least
// an hour. LogTimeout allows for a batch from the log reader at least every
// 500 ms while the log answers, and for a call timeout of 2 s.
func DefaultSettings(instance fleet.InstanceID) Settings {
	return Settings{
		Instance:            instance,
		PeerRequestInterval: time.Second, LogTimeout: 4 * time.Second,
		SnapshotInterval: 10 * time.Minute, SnapshotPublications: 64,
		SnapshotStagger: 30 * time.Second,
	}
}

// Rings connects the duty with other duties. Log, Requests, Offers and Resends
// are its inputs.
type Rings struct {
	Log      *supervise.Ring[message.LogRecords]
	Requests *supervise.Ring[message.ConfigurationRequest]
	Offers   *message.ConfigurationOfferRing
	Resends  *supervise.Ring[message.ResendConfiguration]

	// Subscribers receive each new version in force.
	Subscribers []*message.ConfigurationRing
	// PeerRequests leads to the links towards every peer.
	PeerRequests *supervise.Ring[message.ConfigurationRequest]
	// Appends leads to the log writer.
	Appends *supervise.Ring[message.Append]
	// Rewinds leads to the log reader; the duty requests the whole stream when it
	// starts.
	Rewinds *message.RewindRing
}

// NewRings returns the input rings; the caller sets the other fields.
func NewRings() Rings {
	return Rings{
		Log:      supervise.NewRing[message.LogRecords]("configuration.log", logRingCapacity, supervise.Wait),
		Requests: supervise.NewRing[message.ConfigurationRequest]("configuration.requests", requestRingCapacity, supervise.DropOldest),
		Offers:   supervise.NewRing[message.ConfigurationOffer]("configuration.offers", offerRingCapacity, supervise.DropOldest),
		Resends:  supervise.NewRing[message.ResendConfiguration]("configuration.wanted", resendRingCapacity, supervise.Wait),
	}
}

// New returns the duty.
func New(settings Settings, rings Rings) supervise.Duty {
	// Kept across restarts, so that subscribers never receive an older version.
	var published message.ConfigurationInForce
	return supervise.Duty{
		Name:  "configuration",
		Rings: []supervise.AnyRing{rings.Log, rings.Requests, rings.Offers, rings.Resends},
		Run: func(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
			d := &duty{settings: settings, rings: rings, fold: configuration.NewFold(), published: &published}
			return d.run(ctx, dumps)
		},
	}
}

type duty struct {
	settings  Settings
	rings     Rings
	fold      configuration.Fold
	published *message.ConfigurationInForce
	// caughtUp is set once the whole stream has been read.
	caughtUp bool
	// next is the offset after the last applied batch.
	next fleet.Offset
	// lastBatchAt is when the last batch arrived from the log, lastSnapshotAt
	// when the last snapshot was read.
	lastBatchAt, lastSnapshotAt time.Time
	// appendSnapshotAt is when this instance appends a due snapshot; zero when
	// none is due.
	appendSnapshotAt          time.Time
	malformed, droppedBatches int
	lastError                 string
	offersAdopted             int
}

func (d *duty) run(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
	d.lastBatchAt, d.lastSnapshotAt = time.Now(), time.Now()
	if d.rings.Rewinds != nil {
		_ = d.rings.Rewinds.Put(ctx, message.Rewind{From: 0})
	}
	ticker := time.NewTicker(d.settings.PeerRequestInterval)
	defer ticker.Stop()
	d.requestFromPeers(ctx)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case batch := <-d.rings.Log.Items():
			d.applyBatch(ctx, batch)
		case offer := <-d.rings.Offers.Items():
			d.adoptOffer(ctx, offer)
		case request := <-d.rings.Requests.Items():
			d.answerRequest(ctx, request)
		case r := <-d.rings.Resends.Items():
			d.resend(ctx, r.Ring)
		case <-ticker.C:
			d.requestFromPeers(ctx)
			d.writeSnapshotIfDue(ctx)
		case request := <-dumps:
			request.Answer(d.dump())
		}
	}
}

// applyBatch applies a batch of log records. It drops a batch that leaves a gap
// after the previous one: it was read for an earlier run of this duty, and the
// stream is delivered again after the rewind.
func (d *duty) applyBatch(ctx context.Context, batch message.LogRecords) {
	d.lastBatchAt = time.Now()
	if batch.From > d.next && !batch.Truncated {
		d.droppedBatches++
		return
	}
	if batch.Truncated {
		d.fold = d.fold.MarkTruncated(batch.From)
	}
	d.next = max(d.next, batch.Next)
	for _, entry := range batch.Records {
		d.applyEntry(entry)
	}
	d.caughtUp = d.caughtUp || batch.CaughtUp
	if d.caughtUp {
		d.publish(ctx)
	}
	d.writeSnapshotIfDue(ctx)
}

func (d *duty) applyEntry(entry message.LogEntry) {
	at := configuration.Position{Offset: entry.Offset, Index: entry.Index}
	fold, applied, err := records.Apply(d.fold, at, entry.Data)
	d.fold = fold
	if err != nil {
		d.malformed++
		d.lastError = err.Error()
	}
	if applied.Snapshot {
		d.lastSnapshotAt = time.Now()
	}
}

// publish sends the version in force to the subscribers if it is newer than the
// one published last.
func (d *duty) publish(ctx context.Context) {
	state := d.fold.State
	if state.Version <= d.published.Version {
		return
	}
	*d.published = message.ConfigurationInForce{Version: state.Version, Value: state.InForce.Value}
	d.settings.Metrics.setVersion(state.Version)
	for _, subscriber := range d.rings.Subscribers {
		_ = subscriber.Put(ctx, *d.published)
	}
}

// resend sends the version in force to a subscriber that has restarted.
func (d *duty) resend(ctx context.Context, subscriber *message.ConfigurationRing) {
	if d.published.Version > 0 && subscriber != nil {
		_ = subscriber.Put(ctx, *d.published)
	}
}

// adoptOffer adopts a peer's state if it is newer. The instance is ready from
// then on, even if the log is unavailable.
func (d *duty) adoptOffer(ctx context.Context, offer message.ConfigurationOffer) {
	decoded, err := records.DecodeEntry(offer.Snapshot)
	if err != nil || decoded.Snapshot == nil {
		d.malformed++
		d.lastError = "configuration offer of a peer contains no valid snapshot"
		return
	}
	before := d.fold.State.Through
	d.fold = d.fold.Adopt(*decoded.Snapshot)
	if d.fold.State.Through != before {
		d.offersAdopted++
	}
	d.publish(ctx)
}

// answerRequest offers the state to a peer whose state is older.
func (d *duty) answerRequest(ctx context.Context, request message.ConfigurationRequest) {
	state := d.fold.State
	if state.Version == 0 || state.Through.Offset <= request.Offset || request.Reply == nil {
		return
	}
	snapshot, err := records.EncodeSnapshot(state)
	if err != nil {
		d.lastError = err.Error()
		return
	}
	_ = request.Reply.Put(ctx, message.ConfigurationOffer{
		Version: state.Version, Offset: state.Through.Offset, Snapshot: snapshot,
	})
}

// needsPeers reports whether the duty has no version, misses entries or has read
// nothing from the log for LogTimeout.
func (d *duty) needsPeers() bool {
	return d.fold.State.Version == 0 || d.fold.Missing || time.Since(d.lastBatchAt) >= d.settings.LogTimeout
}

func (d *duty) requestFromPeers(ctx context.Context) {
	if d.rings.PeerRequests == nil || !d.needsPeers() {
		return
	}
	_ = d.rings.PeerRequests.Put(ctx, message.ConfigurationRequest{
		Version: d.fold.State.Version, Offset: d.fold.State.Through.Offset,
	})
}

// writeSnapshotIfDue appends a snapshot unless the log has a recent one. The
// result of the append is not checked: after a failure the snapshot is still
// due and is appended again, and a duplicate snapshot has no effect.
func (d *duty) writeSnapshotIfDue(ctx context.Context) {
	now := time.Now()
	if !d.snapshotDue(now) {
		d.appendSnapshotAt = time.Time{}
		return
	}
	if d.appendSnapshotAt.IsZero() {
		d.appendSnapshotAt = now.Add(d.stagger())
	}
	if now.Before(d.appendSnapshotAt) {
		return
	}
	d.appendSnapshotAt = now.Add(d.settings.SnapshotStagger + d.stagger())
	data, err := records.EncodeSnapshot(d.fold.State)
	if err == nil {
		id := "snapshot-" + string(d.settings.Instance)
		err = d.rings.Appends.Put(ctx, message.Append{Stream: records.Stream, ID: id, Data: data})
	}
	if err != nil {
		d.lastError = err.Error()
	}
}

func (d *duty) snapshotDue(now time.Time) bool {
	if d.rings.Appends == nil || d.fold.State.Version == 0 || d.fold.Missing || !d.caughtUp {
		return false
	}
	return d.fold.SinceSnapshot >= d.settings.SnapshotPublications ||
		now.Sub(d.lastSnapshotAt) >= d.settings.SnapshotInterval
}

// stagger returns this instance's delay within SnapshotStagger.
func (d *duty) stagger() time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(d.settings.Instance))
	return d.settings.SnapshotStagger * time.Duration(h.Sum32()%1024) / 1024
}
