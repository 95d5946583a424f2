// Package configuration is the duty that owns the configuration in force. The
// root supervisor starts it below `entry/configuration`. It folds the stream
// `configuration`, hands new versions to its subscribers, keeps snapshots in
// the stream and exchanges states with peers while the log is out. When it
// fails it starts again from the log or a peer; subscribers keep the version
// that they have, and none of them ever sees an older one.
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
	// logRingCapacity is that of every ring from a log reader to a fold.
	logRingCapacity = 64 // batches
	// requestRingCapacity has room for every peer of a region at once.
	requestRingCapacity = 16
	// offerRingCapacity is the same: each peer answers a request once.
	offerRingCapacity = 16
	// wantedRingCapacity has room for every subscriber of an instance at once.
	wantedRingCapacity = 64
)

// Settings configure the duty.
type Settings struct {
	Instance fleet.InstanceID
	// PeerRequestInterval is the pause between requests to peers while the
	// instance has no version, misses entries or has read nothing from the
	// log for LogTimeout.
	PeerRequestInterval time.Duration
	LogTimeout          time.Duration
	// SnapshotInterval and SnapshotPublications say when the newest snapshot in
	// the log is replaced, whichever comes first. SnapshotInterval has to be well
	// below the log's retention.
	SnapshotInterval     time.Duration
	SnapshotPublications int
	// SnapshotStagger spreads the instances' attempts, so that mostly one of
	// them appends.
	SnapshotStagger time.Duration
	// Metrics may be nil.
	Metrics *Metrics
}

// DefaultSettings returns settings for a log that retains records for an hour
// or more. A log reader delivers a batch at least every 500 ms while the log
// answers, and a call ends after 2 s; hence LogTimeout.
func DefaultSettings(instance fleet.InstanceID) Settings {
	return Settings{
		Instance:            instance,
		PeerRequestInterval: time.Second, LogTimeout: 4 * time.Second,
		SnapshotInterval: 10 * time.Minute, SnapshotPublications: 64,
		SnapshotStagger: 30 * time.Second,
	}
}

// Rings joins the duty with others. Log, Requests, Offers and Resends are its
// inputs.
type Rings struct {
	Log      *supervise.Ring[message.LogRecords]
	Requests *supervise.Ring[message.ConfigurationRequest]
	Offers   *message.ConfigurationOfferRing
	Resends  *supervise.Ring[message.ResendConfiguration]

	// Subscribers get each new version in force.
	Subscribers []*message.ConfigurationRing
	// PeerRequests leads to the links towards every peer.
	PeerRequests *supervise.Ring[message.ConfigurationRequest]
	// Appends leads to the log writer.
	Appends *supervise.Ring[message.Append]
	// Rewinds leads to the log reader; the duty asks for the whole stream when
	// it starts.
	Rewinds *message.RewindRing
}

// NewRings returns the input rings; the caller sets the other fields.
func NewRings() Rings {
	return Rings{
		Log:      supervise.NewRing[message.LogRecords]("configuration.log", logRingCapacity, supervise.Wait),
		Requests: supervise.NewRing[message.ConfigurationRequest]("configuration.requests", requestRingCapacity, supervise.DropOldest),
		Offers:   supervise.NewRing[message.ConfigurationOffer]("configuration.offers", offerRingCapacity, supervise.DropOldest),
		Resends:  supervise.NewRing[message.ResendConfiguration]("configuration.wanted", wantedRingCapacity, supervise.Wait),
	}
}

// New returns the duty.
func New(settings Settings, rings Rings) supervise.Duty {
	// Kept across restarts, so that subscribers never go back.
	var published message.ConfigurationInForce
	return supervise.Duty{
		Name:  "configuration",
		Rings: []supervise.Measured{rings.Log, rings.Requests, rings.Offers, rings.Resends},
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
	// next is the offset after the last batch.
	next fleet.Offset
	// lastLog is when the log was last heard; lastSnapshot when a snapshot
	// was last read.
	lastLog, lastSnapshot time.Time
	// snapshotAt is when this instance appends the snapshot that is due; zero
	// when none is.
	snapshotAt         time.Time
	malformed, dropped int
	lastError          string
	offersAdopted      int
}

func (d *duty) run(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
	d.lastLog, d.lastSnapshot = time.Now(), time.Now()
	if d.rings.Rewinds != nil {
		_ = d.rings.Rewinds.Put(ctx, message.Rewind{From: 0})
	}
	ask := time.NewTicker(d.settings.PeerRequestInterval)
	defer ask.Stop()
	d.askPeers(ctx)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case batch := <-d.rings.Log.Items():
			d.takeBatch(ctx, batch)
		case offer := <-d.rings.Offers.Items():
			d.takeOffer(ctx, offer)
		case request := <-d.rings.Requests.Items():
			d.answer(ctx, request)
		case wanted := <-d.rings.Resends.Items():
			d.repeat(ctx, wanted.Ring)
		case <-ask.C:
			d.askPeers(ctx)
			d.writeSnapshotIfDue(ctx)
		case request := <-dumps:
			request.Answer(d.dump())
		}
	}
}

// takeBatch drops a batch that leaves a gap after the last one: it was read
// for an earlier run of this duty, and the rewind brings the stream again.
func (d *duty) takeBatch(ctx context.Context, batch message.LogRecords) {
	d.lastLog = time.Now()
	if batch.From > d.next && !batch.Truncated {
		d.dropped++
		return
	}
	if batch.Truncated {
		d.fold = d.fold.MarkTruncated(batch.From)
	}
	d.next = max(d.next, batch.Next)
	for _, entry := range batch.Records {
		d.takeEntry(entry)
	}
	d.caughtUp = d.caughtUp || batch.CaughtUp
	if d.caughtUp {
		d.publish(ctx)
	}
	d.writeSnapshotIfDue(ctx)
}

func (d *duty) takeEntry(entry message.LogEntry) {
	at := configuration.Position{Offset: entry.Offset, Index: entry.Index}
	fold, applied, err := records.Apply(d.fold, at, entry.Data)
	d.fold = fold
	if err != nil {
		d.malformed++
		d.lastError = err.Error()
	}
	if applied.Snapshot {
		d.lastSnapshot = time.Now()
	}
}

// publish hands a newer version to the subscribers.
func (d *duty) publish(ctx context.Context) {
	state := d.fold.State
	if state.Version <= d.published.Version {
		return
	}
	*d.published = message.ConfigurationInForce{Version: state.Version, Value: state.InForce.Value}
	d.settings.Metrics.inForce(state.Version)
	for _, subscriber := range d.rings.Subscribers {
		_ = subscriber.Put(ctx, *d.published)
	}
}

// repeat hands the version in force to a subscriber that lost it.
func (d *duty) repeat(ctx context.Context, subscriber *message.ConfigurationRing) {
	if d.published.Version > 0 && subscriber != nil {
		_ = subscriber.Put(ctx, *d.published)
	}
}

// takeOffer adopts a peer's state when it is newer. The instance is ready
// from then on, even if the log is out.
func (d *duty) takeOffer(ctx context.Context, offer message.ConfigurationOffer) {
	decoded, err := records.DecodeEntry(offer.Snapshot)
	if err != nil || decoded.Snapshot == nil {
		d.malformed++
		d.lastError = "an offer of a peer holds no snapshot"
		return
	}
	before := d.fold.State.Through
	d.fold = d.fold.Adopt(*decoded.Snapshot)
	if d.fold.State.Through != before {
		d.offersAdopted++
	}
	d.publish(ctx)
}

func (d *duty) answer(ctx context.Context, request message.ConfigurationRequest) {
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

func (d *duty) needsPeers() bool {
	return d.fold.State.Version == 0 || d.fold.Missing || time.Since(d.lastLog) >= d.settings.LogTimeout
}

func (d *duty) askPeers(ctx context.Context) {
	if d.rings.PeerRequests == nil || !d.needsPeers() {
		return
	}
	_ = d.rings.PeerRequests.Put(ctx, message.ConfigurationRequest{
		Version: d.fold.State.Version, Offset: d.fold.State.Through.Offset,
	})
}

// writeSnapshotIfDue appends a snapshot unless a recent one stands in the
// log. A failed append is not resolved: it is tried again by the same rule,
// and a snapshot that is there twice has no effect.
func (d *duty) writeSnapshotIfDue(ctx context.Context) {
	now := time.Now()
	if !d.snapshotDue(now) {
		d.snapshotAt = time.Time{}
		return
	}
	if d.snapshotAt.IsZero() {
		d.snapshotAt = now.Add(d.stagger())
	}
	if now.Before(d.snapshotAt) {
		return
	}
	d.snapshotAt = now.Add(d.settings.SnapshotStagger + d.stagger())
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
		now.Sub(d.lastSnapshot) >= d.settings.SnapshotInterval
}

// stagger is this instance's part of SnapshotStagger.
func (d *duty) stagger() time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(d.settings.Instance))
	return d.settings.SnapshotStagger * time.Duration(h.Sum32()%1024) / 1024
}
