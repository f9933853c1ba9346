/* SPDX-License-Identifier: BSD-3-Clause */
/* Reserves memory on the helper engines that hold parts of a long prompt. A reservation expires after a short
 * time and is renewed while the request runs, so that the memory of a failed node is freed without its help.
 * It is released as soon as it is not needed, also if the answer to the reservation arrives late. It is not
 * renewed while there is no evidence that the primary engine, which generates the answer, is alive: otherwise
 * an engine that stops responding after it has acknowledged all bytes keeps memory on its helpers until the
 * caller's time limit (407,595 tokens for 8.1 s were measured). */
#include "gate.h"

#include <string.h>
#include "clock.h"
#include "dial.h"
#include "log.h"

#define HOLD_MS 3500  /* time after which an engine frees memory that is not renewed */
#define RENEW_MS 1200 /* period of renewals; two successive ones may be lost */
/* A primary engine that has sent data within this time is not probed. Memory is then freed 3.9 s after its
 * last data, within the 4 s that the users allow. */
#define RECENTLY_RECEIVED_MS 400
#define ANSWER_TIMEOUT_MS 500 /* longest wait for the answers to the first reservations */
#define ID_LEN 64             /* bytes of a reservation's id with its terminating NUL */

/* Memory on one engine. The structure outlives its MemoryHold while an answer from the engine is pending. */
typedef struct {
	Gate *gate;
	MemoryHold *hold; /* owner; NULL: the memory is not needed any more */
	uint64_t endpoint_id;
	uint64_t incarnation; /* of the endpoint when the memory was first requested */
	char address[BH__ADDRESS_LEN];
	char id[ID_LEN];
	uint64_t tokens;          /* size of the memory, from the grant */
	unsigned pending_answers; /* requests to the engine that it has not answered yet */
	bool held;                /* the engine has confirmed a reservation */
} Reservation;

struct MemoryHold {
	Gate *gate;
	unsigned count; /* elements of `reservation` in use */
	Reservation *reservation[BH__GRANT_MEMBERS_MAX];
	uint64_t primary;     /* endpoint id of the engine that generates the answer */
	uint64_t received_us; /* time of the last data from the primary engine; at first the hold's creation */
	bool primary_is_unresponsive; /* the last probe failed and the engine has sent no data since */
	Dial *dial;                   /* probe of the primary engine that is under way; NULL: none */
	struct event *timer;          /* expires at the answer timeout, then at each renewal */
	bool notified;                /* `done` has been called */
	MemoryDone done;
	void *ctx;
};

static void write_id_(char out[ID_LEN], const BH__Grant *grant, unsigned index);
static EndpointRef make_ref_(const Reservation *r);
static void reserve_(Reservation *r);
static void on_reserved_(void *reservation, bool held);
static void release_(const Reservation *r);
static void renew_(MemoryHold *h);
static void probe_primary_(MemoryHold *h);
static void on_probed_(void *hold, DialEnd end);
static bool has_not_restarted_(const Reservation *r);
static void notify_if_decided_(MemoryHold *h, bool failed);
static void on_timer_(evutil_socket_t fd, short what, void *arg);
static void set_timer_(MemoryHold *h, uint64_t ms);

/* Writes the id of a reservation. It consists of the grant id, which is unique to a run of the node, and the
 * member's index in the grant. */
static void write_id_(char out[ID_LEN], const BH__Grant *grant, unsigned index)
{
	g_snprintf(out, ID_LEN, "bh-%016" G_GINT64_MODIFIER "x-%u", grant->grant_id, index);
}

/* Reserves the memory that a grant uses on its helpers. `done` is called once, from the event loop, with true
 * if all of the memory is held. */
MemoryHold *memory_hold_new(Gate *g, const BH__Grant *grant, MemoryDone done, void *ctx)
{
	MemoryHold *h = g_new0(MemoryHold, 1);

	h->gate = g;
	h->done = done;
	h->ctx = ctx;
	h->primary = grant->member[0].endpoint_id;
	h->received_us = clock_now_us();
	h->timer = evtimer_new(g->base, on_timer_, h);
	for (unsigned i = 1; i < grant->member_count; i++) {
		const BH__RegisteredEndpoint *e = bh__registry_find(g->registry, grant->member[i].endpoint_id);
		Reservation *r;
		if (!grant->member[i].kv_bytes || !e)
			continue;
		r = g_new0(Reservation, 1);
		r->gate = g;
		r->hold = h;
		r->endpoint_id = e->endpoint_id;
		r->incarnation = e->incarnation;
		r->tokens = grant->member[i].kv_bytes;
		g_strlcpy(r->address, e->entry.address, sizeof r->address);
		write_id_(r->id, grant, i);
		h->reservation[h->count++] = r;
	}
	for (unsigned i = 0; i < h->count; i++)
		reserve_(h->reservation[i]);
	set_timer_(h, ANSWER_TIMEOUT_MS);
	return h;
}

/* Returns the id of the reservation on an engine, or NULL if there is none. */
const char *memory_hold_get_id(const MemoryHold *h, uint64_t endpoint_id)
{
	for (unsigned i = 0; i < h->count; i++)
		if (h->reservation[i]->endpoint_id == endpoint_id)
			return h->reservation[i]->id;
	return NULL;
}

/* Returns the reference to the endpoint incarnation that holds the memory. */
static EndpointRef make_ref_(const Reservation *r)
{
	return (EndpointRef){.address = r->address, .endpoint_id = r->endpoint_id, .incarnation = r->incarnation};
}

/* Sends a reservation or its renewal to the engine. */
static void reserve_(Reservation *r)
{
	EndpointRef to = make_ref_(r);

	r->pending_answers++;
	r->gate->port->reserve(r->gate, &to, r->id, r->tokens, HOLD_MS, on_reserved_, r);
}

/* Processes an engine's answer to a reservation. Releases the memory if its owner does not need it any
 * more. */
static void on_reserved_(void *reservation, bool held)
{
	Reservation *r = reservation;

	r->pending_answers--;
	r->held |= held;
	if (r->hold) {
		notify_if_decided_(r->hold, !held && !r->held);
		return;
	}
	release_(r); /* the engine may have processed the reservation after the earlier release */
	if (!r->pending_answers)
		g_free(r);
}

/* Asks the engine to release the memory. */
static void release_(const Reservation *r)
{
	EndpointRef to = make_ref_(r);

	r->gate->port->free_memory(r->gate, &to, r->id);
}

/* Calls `done` once all memory is held or, with `failed`, one reservation has failed. */
static void notify_if_decided_(MemoryHold *h, bool failed)
{
	bool all = true;

	for (unsigned i = 0; i < h->count; i++)
		all &= h->reservation[i]->held;
	if (h->notified || (!all && !failed))
		return;
	h->notified = true;
	set_timer_(h, RENEW_MS);
	h->done(h->ctx, all);
}

static void set_timer_(MemoryHold *h, uint64_t ms)
{
	struct timeval tv = {(time_t)(ms / 1000), (suseconds_t)(ms % 1000 * 1000)};

	evtimer_add(h->timer, &tv);
}

/* Reports a failure if an engine has not answered the first reservation in time; later renews the
 * reservations, after a probe of the primary engine if it has sent nothing for a while. */
static void on_timer_(evutil_socket_t fd, short what, void *arg)
{
	MemoryHold *h = arg;

	(void)fd;
	(void)what;
	if (!h->notified) {
		log_event("memory", "what=not-held cause=\"an engine did not answer within %u ms\" id=%s",
				  ANSWER_TIMEOUT_MS, h->count ? h->reservation[0]->id : "");
		notify_if_decided_(h, true);
		return;
	}
	if (clock_now_us() < h->received_us + RECENTLY_RECEIVED_MS * BH__MS_US)
		renew_(h);
	else
		probe_primary_(h);
	set_timer_(h, RENEW_MS);
}

/* Renews the reservations on all engines that have not restarted. */
static void renew_(MemoryHold *h)
{
	for (unsigned i = 0; i < h->count; i++)
		if (has_not_restarted_(h->reservation[i]))
			reserve_(h->reservation[i]);
}

/* Probes whether the primary engine still accepts connections, because it may send nothing for a long time
 * before its first event. After a failed probe only data from the engine itself resumes the renewals: by the
 * next probe its address may belong to another endpoint, whose answer would keep the memory reserved (203,717
 * tokens for 7.0 s were measured). */
static void probe_primary_(MemoryHold *h)
{
	const BH__RegisteredEndpoint *e = bh__registry_find(h->gate->registry, h->primary);

	if (h->dial || h->primary_is_unresponsive || !h->count)
		return;
	if (e)
		h->dial = dial_start(h->gate->base, e->entry.address, on_probed_, h);
	else
		log_event("memory", "what=not-renewed cause=\"the primary engine is not registered any more\" id=%s",
				  h->reservation[0]->id);
}

/* Processes the result of a probe of the primary engine. */
static void on_probed_(void *hold, DialEnd end)
{
	MemoryHold *h = hold;

	h->dial = NULL;
	h->primary_is_unresponsive = end != DIAL_CONNECTED;
	if (end == DIAL_CONNECTED)
		renew_(h);
	else
		log_event("memory", "what=not-renewed cause=\"the primary engine does not accept connections\" id=%s",
				  h->reservation[0]->id);
}

/* Records that the primary engine has sent data. `h` may be NULL. */
void memory_hold_note_received(MemoryHold *h)
{
	if (!h)
		return;
	h->received_us = clock_now_us();
	h->primary_is_unresponsive = false;
}

/* Returns false if the engine has restarted. It has then lost its reservations, and a renewal would reserve
 * memory that no request uses. */
static bool has_not_restarted_(const Reservation *r)
{
	const BH__RegisteredEndpoint *e = bh__registry_find(r->gate->registry, r->endpoint_id);

	return !e || e->incarnation == r->incarnation;
}

/* Releases the memory on all engines and deletes the hold. `h` may be NULL. */
void memory_hold_delete(MemoryHold *h)
{
	if (!h)
		return;
	for (unsigned i = 0; i < h->count; i++) {
		Reservation *r = h->reservation[i];
		r->hold = NULL;
		release_(r);
		if (!r->pending_answers)
			g_free(r);
	}
	if (h->dial)
		dial_cancel(h->dial);
	event_free(h->timer);
	g_free(h);
}

/* Releases the memory that a failed node held under a grant. */
void memory_free_abandoned(Gate *g, const BH__Grant *grant)
{
	for (unsigned i = 1; i < grant->member_count; i++) {
		const BH__RegisteredEndpoint *e = bh__registry_find(g->registry, grant->member[i].endpoint_id);
		EndpointRef to;
		char id[ID_LEN];
		if (!grant->member[i].kv_bytes || !e)
			continue;
		to = (EndpointRef){
			.address = e->entry.address, .endpoint_id = e->endpoint_id, .incarnation = e->incarnation};
		write_id_(id, grant, i);
		log_event("memory", "what=freed cause=\"the node that held it has failed\" endpoint=%s id=%s",
				  e->entry.id, id);
		g->port->free_memory(g, &to, id);
	}
}
