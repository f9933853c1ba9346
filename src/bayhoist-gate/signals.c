/* SPDX-License-Identifier: BSD-3-Clause */
/* Processes the signals that endpoints send in the headers of their answers (bayhoist/endpoint_signal.h). All
 * answers come through this file, whatever the request. A new kind of signal needs a row in the adapter's
 * table and one in Handlers_. */
#include "reach.h"

#include <string.h>
#include "clock.h"
#include "log.h"

#define STATUS_REFUSED 503     /* HTTP status of an answer that rejects the request before it runs */
#define UNKNOWN_HEADERS_MAX 32 /* unknown header names that have a counter each; others are ignored */
#define HEADER_NAME_MAX 60     /* bytes kept of an unknown header name */

struct Signals {
	BH__SignalRelayPort port; /* first member: callbacks cast it to the enclosing structure */
	Gate *gate;
	BH__SignalRelay *relay; /* to and from other nodes */
};

/* Processes a readable or absent signal of an answer from endpoint `e`. */
typedef void SignalHandler(Gate *g, BH__RegisteredEndpoint *e, const AnswerOrigin *o, const BH__Signal *s);

static void process_limit_(Gate *g, BH__RegisteredEndpoint *e, const AnswerOrigin *o, const BH__Signal *s);
static void process_leaving_(Gate *g, BH__RegisteredEndpoint *e, const AnswerOrigin *o, const BH__Signal *s);
static void process_backoff_(Gate *g, BH__RegisteredEndpoint *e, const AnswerOrigin *o, const BH__Signal *s);

static void relay_send_(BH__SignalRelayPort *port, uint64_t node_id, BH__Message *m);
static uint64_t relay_find_home_(BH__SignalRelayPort *port, const char *service);
static void relay_merged_(BH__SignalRelayPort *port, BH__SignalKind kind, const BH__RegisteredEndpoint *e);
static void log_silence_(const BH__RegisteredEndpoint *e);
static void apply_changes_(Gate *g);

/* Handlers of the signals in answers; NULL: BH__SIGNAL_SILENCE, which no answer carries. */
static SignalHandler *const Handlers_[BH__SIGNAL_KIND_COUNT] = {[BH__SIGNAL_LIMIT] = process_limit_,
																[BH__SIGNAL_LEAVING] = process_leaving_,
																[BH__SIGNAL_BACKOFF] = process_backoff_};

/* Processes the signals of an answer. Ignores them if the endpoint has restarted since the request was sent.
 * Signals with an unreadable value are counted and logged. */
void signals_note_answer(Gate *g, const AnswerOrigin *o, const AnswerMeta *m)
{
	for (int k = 0; k < BH__SIGNAL_KIND_COUNT; k++) {
		const BH__Signal *s = &m->signal[k];
		BH__RegisteredEndpoint *e = bh__registry_find(g->registry, o->endpoint_id);
		if (!e || e->incarnation != o->incarnation)
			return;
		g->counters.signals[k] += s->state == BH__SIGNAL_PRESENT;
		if (s->state != BH__SIGNAL_INVALID) {
			if (Handlers_[k])
				Handlers_[k](g, e, o, s);
			continue;
		}
		g->counters.unreadable_signals[k]++;
		log_event("signal", "kind=%s what=unreadable endpoint=%s value=\"%s\" request=%s",
				  BH__SignalKindString[k], e->entry.id, s->text, o->request_id);
	}
}

/* Merges a rate limit that an answer advertises. An answer to a request that ran and that advertises no limit
 * ends the limit; a refusal without one does not. */
static void process_limit_(Gate *g, BH__RegisteredEndpoint *e, const AnswerOrigin *o, const BH__Signal *s)
{
	BH__AdvertisedLimit received = {.in_force = s->state == BH__SIGNAL_PRESENT, .per_s = s->value};
	double old_per_s = e->signals.advertised.in_force ? e->signals.advertised.per_s : -1;

	if (!received.in_force && !o->is_served)
		return;
	received.received_us = received.in_force ? o->received_us : o->sent_us;
	if (!bh__signal_relay_receive_limit(g->signal_relay, e, &received, clock_now_us()))
		return;
	g->reach_port->limited(g->reach_port, e);
	g->counters.limit_changes++;
	log_event("limit", "what=%s endpoint=%s per_s=%.3f was=%.3f request=%s",
			  e->signals.advertised.in_force ? "named" : "ended", e->entry.id,
			  e->signals.advertised.in_force ? e->signals.advertised.per_s : -1.0, old_per_s, o->request_id);
}

/* Marks an endpoint as leaving. Only a later start of the endpoint ends this state, because an answer without
 * the signal may be older than the signal. */
static void process_leaving_(Gate *g, BH__RegisteredEndpoint *e, const AnswerOrigin *o, const BH__Signal *s)
{
	if (s->state != BH__SIGNAL_PRESENT || s->value <= 0 ||
		!bh__signal_relay_receive_leaving(g->signal_relay, e, clock_now_us()))
		return;
	log_event("signal", "kind=leaving what=heard endpoint=%s born_ms=%" G_GUINT64_FORMAT " request=%s",
			  e->entry.id, e->entry.born_ms, o->request_id);
	apply_changes_(g);
}

/* Applies a backoff. Only a refusal asks for one: in other answers the header is meant for the caller. The
 * time counts from the moment at which the answer was read, on a clock that does not stop while the node is
 * suspended. */
static void process_backoff_(Gate *g, BH__RegisteredEndpoint *e, const AnswerOrigin *o, const BH__Signal *s)
{
	uint64_t old_until_us = MAX(e->signals.backoff_until_us, o->received_us);
	uint64_t until_us = o->received_us + (uint64_t)(s->value * BH__SECOND_US);

	if (s->state != BH__SIGNAL_PRESENT || o->status != STATUS_REFUSED)
		return;
	if (!bh__registered_endpoint_receive_backoff(e, until_us))
		return;
	log_event("signal",
			  "kind=backoff what=heard endpoint=%s for_ms=%.0f was_ms=%" G_GUINT64_FORMAT " request=%s",
			  e->entry.id, s->value * 1000, (old_until_us - o->received_us) / BH__MS_US, o->request_id);
	/* A scheduler receives the backoff with the release of the grant. */
	if (!g->reach_port->has_scheduler(g->reach_port, e->entry.service))
		bh__signal_relay_receive_overload(g->signal_relay, e, until_us, clock_now_us());
}

/* Applies changed endpoint states to the planners before anything else is granted. */
static void apply_changes_(Gate *g)
{
	g->reach_port->endpoints_changed(g->reach_port);
}

/* Creates the relay of signals to and from other nodes. Membership must have been started. */
Signals *signals_new(Gate *g)
{
	Signals *s = g_new0(Signals, 1);

	s->port =
		(BH__SignalRelayPort){.send = relay_send_, .find_home = relay_find_home_, .merged = relay_merged_};
	s->gate = g;
	s->relay = bh__signal_relay_new(&s->port, g->members, g->registry);
	g->signal_relay = s->relay;
	return s;
}

void signals_delete(Signals *s)
{
	bh__signal_relay_delete(s->relay);
	g_free(s);
}

static void relay_send_(BH__SignalRelayPort *port, uint64_t node_id, BH__Message *m)
{
	ReachPort *reach = ((Signals *)port)->gate->reach_port;

	reach->send(reach, node_id, m);
}

static uint64_t relay_find_home_(BH__SignalRelayPort *port, const char *service)
{
	ReachPort *reach = ((Signals *)port)->gate->reach_port;

	return reach->find_home(reach, service);
}

/* Logs a signal that was merged from another node and applies a limit to the planner. */
static void relay_merged_(BH__SignalRelayPort *port, BH__SignalKind kind, const BH__RegisteredEndpoint *e)
{
	ReachPort *reach = ((Signals *)port)->gate->reach_port;

	if (kind == BH__SIGNAL_SILENCE) {
		log_silence_(e);
		return;
	}
	if (kind != BH__SIGNAL_LIMIT) {
		log_event("signal", "kind=%s what=told endpoint=%s born_ms=%" G_GUINT64_FORMAT,
				  BH__SignalKindString[kind], e->entry.id, e->entry.born_ms);
		return;
	}
	reach->limited(reach, e);
	log_event("limit", "what=told endpoint=%s per_s=%.3f", e->entry.id,
			  e->signals.advertised.in_force ? e->signals.advertised.per_s : -1.0);
}

/* Logs that an endpoint has been declared silent, or that its silence has ended. */
static void log_silence_(const BH__RegisteredEndpoint *e)
{
	uint64_t now_us = clock_now_us();
	bool is_silent = e->silence.since_us != 0;

	log_event("silence",
			  "what=%s endpoint=%s service=%s since_ms=%" G_GUINT64_FORMAT " for_ms=%" G_GUINT64_FORMAT,
			  is_silent ? "silent" : "ended", e->entry.id, e->entry.service,
			  is_silent ? (now_us - e->silence.since_us) / BH__MS_US : 0,
			  is_silent ? e->silence.hold_us / BH__MS_US : 0);
}

/* Runs the periodic work of the signal relay. */
void signals_process_tick(Signals *s)
{
	bh__signal_relay_process_tick(s->relay, clock_now_us());
}

/* Processes a message. Returns false if it does not belong to the signal relay. */
bool signals_process_message(Signals *s, const BH__Message *m)
{
	if (!bh__signal_relay_process_message(s->relay, m, clock_now_us()))
		return false;
	apply_changes_(s->gate);
	return true;
}

/* Sends the current signals to a node that may have received none yet. */
void signals_notify_node(Signals *s, uint64_t node_id)
{
	bh__signal_relay_notify_node(s->relay, node_id, clock_now_us());
}

/* Counts and logs an answer header that the gateway does not know, so that operators see new headers to which
 * the gateway may have to respond. */
void signals_note_unknown(Gate *g, const char *header)
{
	char *name = g_ascii_strdown(header, (gssize)MIN(strlen(header), (size_t)HEADER_NAME_MAX));
	uint64_t *count = g_hash_table_lookup(g->unknown_headers, name);

	if (!count && g_hash_table_size(g->unknown_headers) < UNKNOWN_HEADERS_MAX) {
		log_event("signal", "what=unknown header=\"%s\"", name);
		count = g_new0(uint64_t, 1);
		g_hash_table_insert(g->unknown_headers, g_strdup(name), count);
	}
	if (count)
		(*count)++;
	g_free(name);
}

/* Writes, as metrics, how often each signal was received or unreadable, and how often each unknown header
 * was. */
void signals_write_status(const Gate *g, struct evbuffer *out)
{
	GHashTableIter it;
	gpointer name;
	gpointer count;

	for (int k = 0; k < BH__SIGNAL_KIND_COUNT; k++)
		evbuffer_add_printf(out,
							"bayhoist_signals_total{kind=\"%s\",what=\"given\"} %" G_GUINT64_FORMAT "\n"
							"bayhoist_signals_total{kind=\"%s\",what=\"unreadable\"} %" G_GUINT64_FORMAT "\n",
							BH__SignalKindString[k], g->counters.signals[k], BH__SignalKindString[k],
							g->counters.unreadable_signals[k]);
	g_hash_table_iter_init(&it, g->unknown_headers);
	while (g_hash_table_iter_next(&it, &name, &count))
		evbuffer_add_printf(out, "bayhoist_unknown_headers_total{header=\"%s\"} %" G_GUINT64_FORMAT "\n",
							(const char *)name, *(uint64_t *)count);
}
