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

// attachTimeout is the timeout of the message to the entry that dispatched a request.
// If the message is lost, that entry may cancel the request after
// Config.DisconnectGrace.
const attachTimeout = time.Second

// serveResume writes the rest of the response to a request that this or another entry
// dispatched. It is not a dispatch and needs no grant.
func (e *Entry) serveResume(w http.ResponseWriter, r *http.Request) {
	defer e.countCaller()()
	id := r.PathValue("id")
	offset, located, err := e.admitResume(r, id)
	if err != nil {
		e.refuse(w, id, err)
		return
	}
	e.Counters.Resumed.Add(1)
	if e.Record != nil {
		e.Record(Event{At: e.clock.Now(), Name: EventResumed, RequestID: id, EndpointID: located.EndpointID})
	}
	reader := brwire.Attach{RequestID: id, ReaderID: uuid.NewString(), Attached: true}
	e.attach(r.Context(), located, reader)
	defer func() {
		reader.Attached = false
		e.attach(context.WithoutCancel(r.Context()), located, reader)
	}()
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	defer e.cancelAtEnd(cancel)()
	o := e.newOutput(w, id, brengine.Completion{Stream: true}, 0)
	o.offset = offset
	o.onDisconnect = func() { cancel(brerror.New(brerror.Canceled, "caller disconnected")) }
	e.setResponseHeaders(w.Header(), id, located.EndpointID, 0)
	w.Header().Del(brengine.HeaderRevision)
	res, err := e.client.Resume(ctx, brdispatch.Request{RequestID: id, Address: located.Address,
		Chunk: o.writeChunk, Flush: o.flush, KeepAlive: o.keepAlive}, offset)
	if err != nil {
		if e.ended.Err() != nil {
			err = context.Cause(ctx)
		}
		o.finishWithError(err)
		return
	}
	o.finish(res)
}

// admitResume validates a resume and returns its token offset and the location of the
// request. Requests of other customers are reported as unknown.
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
			return 0, none, brerror.New(brerror.InvalidRequest, "must be a non-negative integer number of tokens").WithField("offset")
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
		return 0, none, brerror.New(brerror.UnknownRequest, "no record of a request with this ID")
	}
	return offset, l, nil
}

// locate returns the location of a request from this entry's records or, if it has
// none, from the scheduler.
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

// attach sends a to the entry that dispatched the request, which may be this one.
// Errors are ignored; see attachTimeout.
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
