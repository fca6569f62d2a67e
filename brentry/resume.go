package brentry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"bramleyroute/brdispatch"
	"bramleyroute/brengine"
	"bramleyroute/brerror"
	"bramleyroute/brwire"
	"github.com/google/uuid"
)

// attachTimeout bounds the message to the entry that dispatched a request. Its
// loss means at worst that the request is canceled after the grace.
const attachTimeout = time.Second

// serveResume passes on the rest of an answer that this or another entry
// dispatched. It is not a dispatch and needs no grant.
func (e *Entry) serveResume(w http.ResponseWriter, r *http.Request) {
	defer e.serving()()
	id := r.PathValue("id")
	offset, l, err := e.admitResume(r, id)
	if err != nil {
		e.refuse(w, id, err)
		return
	}
	e.Counters.Resumed.Add(1)
	if e.Record != nil {
		e.Record(Event{At: e.clock.Now(), Name: EventResumed, RequestID: id, EndpointID: l.EndpointID})
	}
	reader := brwire.Attach{RequestID: id, ReaderID: uuid.NewString(), Attached: true}
	e.attach(r.Context(), l, reader)
	defer func() {
		reader.Attached = false
		e.attach(context.WithoutCancel(r.Context()), l, reader)
	}()
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	o := e.newOutput(w, id, brengine.Completion{Stream: true}, 0)
	o.offset = offset
	o.onAway = func() { cancel(brerror.New(brerror.Canceled, "caller went away")) }
	e.head(w.Header(), id, l.EndpointID, 0)
	w.Header().Del(brengine.HeaderRevision)
	res, err := e.client.Resume(ctx, brdispatch.Request{RequestID: id, Address: l.Address,
		Chunk: o.chunk, Flush: o.flush, KeepAlive: o.keepAlive}, offset)
	if err != nil {
		o.fail(err)
		return
	}
	o.end(res)
}

func (e *Entry) admitResume(r *http.Request, id string) (int, brwire.LocateReply, error) {
	var none brwire.LocateReply
	key, err := bearerKey(r)
	if err != nil {
		return 0, none, err
	}
	a, err := e.Resolve(key, "", "")
	if err != nil {
		return 0, none, err
	}
	offset := 0
	if v := r.URL.Query().Get("offset"); v != "" {
		if offset, err = strconv.Atoi(v); err != nil || offset < 0 {
			return 0, none, brerror.New(brerror.InvalidRequest, "not a number of tokens").WithField("offset")
		}
	}
	if _, err := idTime(id); err != nil {
		return 0, none, err
	}
	l, err := e.locate(r.Context(), id)
	if err != nil {
		return 0, none, err
	}
	if !l.Found || l.Customer != "" && l.Customer != a.Customer {
		return 0, none, brerror.New(brerror.UnknownRequest, "no request with this id is on record")
	}
	return offset, l, nil
}

// locate finds a request in this entry's records, and else through the scheduler.
func (e *Entry) locate(ctx context.Context, id string) (brwire.LocateReply, error) {
	e.mu.Lock()
	h, d := e.registry.held[id], e.registry.ended[id]
	l := brwire.LocateReply{EntryID: e.config.EntryID}
	switch {
	case h != nil && h.phase == running:
		l.Found, l.Customer, l.Address, l.EndpointID = true, h.admission.Customer, h.grant.Address, h.grant.EndpointID
	case d.id != "":
		l.Found, l.Finished, l.Customer, l.Address, l.EndpointID = true, true, d.customer, d.address, d.endpointID
	}
	e.mu.Unlock()
	if l.Found || e.Locate == nil {
		return l, nil
	}
	return e.Locate(ctx, brwire.Locate{RequestID: id})
}

func (e *Entry) attach(ctx context.Context, l brwire.LocateReply, a brwire.Attach) {
	if l.EntryID == e.config.EntryID {
		e.Attach(a)
		return
	}
	if e.SendAttach == nil || l.Finished {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, attachTimeout)
	defer cancel()
	_ = e.SendAttach(ctx, l.EntryID, a)
}
