package standin

import (
	"compress/gzip"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"

	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/platformapi"
)

// router returns the HTTP handler of the platform's API under /v1 and of the
// control API under /control.
func (s *StandIn) router() http.Handler {
	r := mux.NewRouter().UseEncodedPath()
	post, get := http.MethodPost, http.MethodGet
	r.HandleFunc("/v1/streams/{stream}/records", s.serveAppend).Methods(post)
	r.HandleFunc("/v1/streams/{stream}/records", s.serveRead).Methods(get)
	r.HandleFunc("/v1/instances", s.serveList).Methods(get)
	r.HandleFunc("/v1/usage/{data_centre}", s.serveUsage).Methods(get)
	r.HandleFunc("/v1/workers/{worker}/tasks", s.serveStart).Methods(post)
	r.HandleFunc("/v1/workers/{worker}/leases", s.serveRenew).Methods(post)
	r.HandleFunc("/v1/workers/{worker}/tasks/{task}/{verb}", s.serveTaskCall).Methods(post)
	s.controlRoutes(r)
	return r
}

// pathVar returns a path segment, unescaped. The router matches on the escaped
// path, so that a segment may contain a slash.
func pathVar(r *http.Request, name string) string {
	raw := mux.Vars(r)[name]
	if value, err := url.PathUnescape(raw); err == nil {
		return value
	}
	return raw
}

// applyLogFaults applies the delay and the outage of the log service. It reports
// false if it has answered the call.
func (s *StandIn) applyLogFaults(w http.ResponseWriter, r *http.Request) bool {
	faults := s.log.currentFaults()
	if faults.DelayMillis > 0 {
		s.machines.sleep(time.Duration(faults.DelayMillis) * time.Millisecond)
	}
	return s.applyOutage(w, r, s.log.outage())
}

// applyOutage reports whether the call may proceed. Otherwise it has answered the
// call with an error, or it aborts the handler without a response.
func (s *StandIn) applyOutage(w http.ResponseWriter, r *http.Request, mode OutageMode) bool {
	switch mode {
	case OutageRefuse:
		writeError(w, errors.Wrap(platformapi.ErrUnavailable, "outage"))
		return false
	case OutageUnresponsive:
		select {
		case <-r.Context().Done():
		case <-s.machines.ctx.Done():
		}
		panic(http.ErrAbortHandler) // closes the connection without a response
	default:
		return true
	}
}

func (s *StandIn) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platformapi.MaxRecordBytes))
	if err != nil {
		writeError(w, errors.Wrap(platformapi.ErrInvalid, "record exceeds 1 MiB or cannot be read"))
		return
	}
	if !s.applyLogFaults(w, r) {
		return
	}
	if !s.log.limiter.Allow() {
		writeError(w, errors.Wrap(platformapi.ErrUnavailable, "limit of appends per second exceeded"))
		return
	}
	stream := pathVar(r, "stream")
	switch fault, delay := s.log.nextAppendFault(); fault {
	case appendAnswerLost:
		s.log.append(stream, data)
		panic(http.ErrAbortHandler) // the record is stored, but the response is lost
	case appendDelayed:
		time.AfterFunc(delay, func() { s.log.append(stream, data) })
		writeError(w, errors.Wrap(platformapi.ErrUnavailable, "append did not finish in time"))
	default:
		writeJSON(w, platformapi.AppendAnswer{Offset: s.log.append(stream, data)})
	}
}

func (s *StandIn) serveRead(w http.ResponseWriter, r *http.Request) {
	from, errFrom := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	waitMillis, errWait := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	wait := time.Duration(waitMillis) * time.Millisecond
	if errFrom != nil || errWait != nil || from < 0 || wait < 0 || wait > platformapi.MaxReadWait {
		writeError(w, errors.Wrap(platformapi.ErrInvalid, "read must have from (an offset of at least 0) and wait_ms (0 to 30000)"))
		return
	}
	if !s.applyLogFaults(w, r) {
		return
	}
	batch, truncated := s.log.read(r.Context(), pathVar(r, "stream"), fleet.Offset(from), wait)
	if !s.applyOutage(w, r, s.log.outage()) {
		return
	}
	if truncated {
		writeStatus(w, http.StatusGone, platformapi.ErrorBody{
			Code:    platformapi.CodeTruncated,
			Message: "offset " + strconv.FormatInt(from, 10) + " is older than the oldest retained record",
			Oldest:  batch.Oldest, End: batch.End,
		})
		return
	}
	writeJSON(w, batch)
}

func (s *StandIn) serveList(w http.ResponseWriter, r *http.Request) {
	if !s.applyOutage(w, r, s.registry.currentFaults().Outage) {
		return
	}
	list, tag := s.registry.snapshot()
	s.machines.startLeavingGrace(list.BackendServers)
	if tag != "" {
		w.Header().Set("ETag", tag)
		if r.Header.Get("If-None-Match") == tag {
			w.Header().Set(platformapi.HeaderListAge, strconv.FormatInt(list.AgeMillis, 10))
			w.WriteHeader(http.StatusNotModified)
			return
		}
	}
	writeCompressed(w, r, list)
}

func (s *StandIn) serveUsage(w http.ResponseWriter, r *http.Request) {
	reports := s.machines.usage(fleet.DataCentre(pathVar(r, "data_centre")))
	writeCompressed(w, r, platformapi.UsageAnswer{Reports: reports})
}

// workerVar returns the worker named in the path.
func workerVar(r *http.Request) fleet.BackendServerID {
	return fleet.BackendServerID(pathVar(r, "worker"))
}

func (s *StandIn) serveStart(w http.ResponseWriter, r *http.Request) {
	var start platformapi.StartTask
	if readJSON(w, r, &start) {
		writeResult(w, struct{}{}, s.machines.startTask(workerVar(r), start))
	}
}

func (s *StandIn) serveRenew(w http.ResponseWriter, r *http.Request) {
	var renew platformapi.RenewTasks
	if readJSON(w, r, &renew) {
		writeResult(w, struct{}{}, s.machines.renewTasks(workerVar(r), renew))
	}
}

func (s *StandIn) serveTaskCall(w http.ResponseWriter, r *http.Request) {
	var call platformapi.TaskCall
	if !readJSON(w, r, &call) {
		return
	}
	var change func(*task)
	switch verb := pathVar(r, "verb"); verb {
	case "checkpoint":
		change = s.machines.saveCheckpoint
	case "throttle":
		change = func(t *task) { t.throttled = call.Throttled }
	case "stop":
		change = func(t *task) { t.end(platformapi.TaskStopped, "stopped") }
	default:
		writeError(w, errors.Wrapf(platformapi.ErrUnknown, "unknown task call %q", verb))
		return
	}
	report, err := s.machines.changeTask(workerVar(r), fleet.TaskID(pathVar(r, "task")), call, change)
	writeResult(w, report, err)
}

// readJSON decodes the body of a request. It reports false if decoding failed and
// it has answered the call with an error.
func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, platformapi.MaxRecordBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		writeError(w, errors.Wrapf(platformapi.ErrInvalid, "decode request body (%v)", err))
		return false
	}
	return true
}

// writeResult writes the body, or the error if there is one.
func writeResult(w http.ResponseWriter, body any, err error) {
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, body)
}

// writeError writes the status and the body for an error of package platformapi;
// any other error counts as ErrUnavailable.
func writeError(w http.ResponseWriter, err error) {
	status, code := http.StatusServiceUnavailable, platformapi.CodeUnavailable
	switch {
	case errors.Is(err, platformapi.ErrFenced):
		status, code = http.StatusConflict, platformapi.CodeFenced
	case errors.Is(err, platformapi.ErrInvalid):
		status, code = http.StatusBadRequest, platformapi.CodeInvalid
	case errors.Is(err, platformapi.ErrUnknown):
		status, code = http.StatusNotFound, platformapi.CodeUnknown
	}
	writeStatus(w, status, platformapi.ErrorBody{Code: code, Message: err.Error()})
}

func writeJSON(w http.ResponseWriter, body any) { writeStatus(w, http.StatusOK, body) }

// minCompressedBytes is the smallest body that is compressed. A body that
// fits in one packet gains nothing from compression.
const minCompressedBytes = 1400

// writeCompressed writes the body as JSON, compressed with gzip if the client
// accepts it and the body has at least minCompressedBytes.
func writeCompressed(w http.ResponseWriter, r *http.Request, body any) {
	data, err := json.Marshal(body)
	if err != nil || len(data) < minCompressedBytes || !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		writeJSON(w, body)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Encoding", "gzip")
	z := gzip.NewWriter(w)
	_, _ = z.Write(data)
	_ = z.Close()
}

// writeStatus writes the status and the body as JSON.
func writeStatus(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
