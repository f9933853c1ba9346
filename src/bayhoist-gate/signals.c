/* SPDX-License-Identifier: BSD-3-Clause */
/* Signals that endpoints give in the heads of their answers (bayhoist/endpoint_signal.h): the one place where
 * they are taken, whatever the answer was to. One more kind is a row of the adapter's table and one of
 * Takers_. */
#include "gate.h"

#include <json-c/json.h>
#include <string.h>
#include "clock.h"
#include "cluster_internal.h"
#include "log.h"

#define REFUSED 503            /* the status of an answer that turns a request away */
#define UNKNOWN_HEADERS_MAX 32 /* names of headers that are counted apart */
#define HEADER_NAME_MAX 60     /* bytes of such a name that are kept */

typedef void Take(Gate *g, BH__RegisteredEndpoint *e, const AnswerOrigin *o, const BH__Signal *s);

static void take_limit_(Gate *g, BH__RegisteredEndpoint *e, const AnswerOrigin *o, const BH__Signal *s);
static void take_leaving_(Gate *g, BH__RegisteredEndpoint *e, const AnswerOrigin *o, const BH__Signal *s);
static void take_backoff_(Gate *g, BH__RegisteredEndpoint *e, const AnswerOrigin *o, const BH__Signal *s);

static void relay_send_(BH__SignalRelayPort *port, uint64_t node_id, BH__Message *m);
static uint64_t relay_find_home_(BH__SignalRelayPort *port, const char *service);
static void relay_learnt_(BH__SignalRelayPort *port, BH__SignalKind kind, const BH__RegisteredEndpoint *e);
static void follow_(Gate *g);

static Take *const Takers_[BH__SIGNAL_KIND_COUNT] = {[BH__SIGNAL_LIMIT] = take_limit_,
													 [BH__SIGNAL_LEAVING] = take_leaving_,
													 [BH__SIGNAL_BACKOFF] = take_backoff_};

/* Takes what an answer says of its endpoint, unless that has started again since the request was sent. */
void signals_note_answer(Gate *g, const AnswerOrigin *o, const AnswerMeta *m)
{
	for (int k = 0; k < BH__SIGNAL_KIND_COUNT; k++) {
		const BH__Signal *s = &m->signal[k];
		BH__RegisteredEndpoint *e = bh__registry_find(g->registry, o->endpoint_id);
		if (!e || e->incarnation != o->incarnation)
			return;
		g->counters.signals[k] += s->state == BH__SIGNAL_PRESENT;
		if (s->state != BH__SIGNAL_INVALID) {
			Takers_[k](g, e, o, s);
			continue;
		}
		g->counters.unreadable_signals[k]++;
		log_event("signal", "kind=%s what=unreadable endpoint=%s value=\"%s\" request=%s",
				  BH__SignalKindString[k], e->entry.id, s->text, o->request_id);
	}
}

/* A limit ends by an answer that names none; a refusal that names none does not end it. */
static void take_limit_(Gate *g, BH__RegisteredEndpoint *e, const AnswerOrigin *o, const BH__Signal *s)
{
	BH__AdvertisedLimit heard = {.in_force = s->state == BH__SIGNAL_PRESENT, .per_s = s->value};
	double was_per_s = e->signals.advertised.in_force ? e->signals.advertised.per_s : -1;

	if (!heard.in_force && !o->is_served)
		return;
	heard.received_us = heard.in_force ? o->received_us : o->sent_us;
	if (!bh__signal_relay_receive_limit(g->cluster->signals->relay, e, &heard, clock_now_us()))
		return;
	schedulers_follow_limits(g->cluster, e);
	g->counters.limit_changes++;
	log_event("limit", "what=%s endpoint=%s per_s=%.3f was=%.3f request=%s",
			  e->signals.advertised.in_force ? "named" : "ended", e->entry.id,
			  e->signals.advertised.in_force ? e->signals.advertised.per_s : -1.0, was_per_s, o->request_id);
}

/* A leaving ends by a later start alone: an answer that does not say it may have been made before. */
static void take_leaving_(Gate *g, BH__RegisteredEndpoint *e, const AnswerOrigin *o, const BH__Signal *s)
{
	if (s->state != BH__SIGNAL_PRESENT || s->value <= 0 ||
		!bh__signal_relay_receive_leaving(g->cluster->signals->relay, e, clock_now_us()))
		return;
	log_event("signal", "kind=leaving what=heard endpoint=%s born_ms=%" G_GUINT64_FORMAT " request=%s",
			  e->entry.id, e->entry.born_ms, o->request_id);
	follow_(g);
}

/* Only a refusal asks for backoff: in other answers the header speaks to the caller. The time counts from
 * when the answer was read, by a clock that does not stop while the node is suspended. */
static void take_backoff_(Gate *g, BH__RegisteredEndpoint *e, const AnswerOrigin *o, const BH__Signal *s)
{
	uint64_t was_until_us = MAX(e->signals.backoff_until_us, o->received_us);
	uint64_t until_us = o->received_us + (uint64_t)(s->value * BH__SECOND_US);

	if (s->state != BH__SIGNAL_PRESENT || o->status != REFUSED)
		return;
	if (!bh__registered_endpoint_receive_backoff(e, until_us))
		return;
	log_event("signal",
			  "kind=backoff what=heard endpoint=%s for_ms=%.0f was_ms=%" G_GUINT64_FORMAT " request=%s",
			  e->entry.id, s->value * 1000, (was_until_us - o->received_us) / BH__MS_US, o->request_id);
	if (!schedulers_has_service(g->cluster, e->entry.service)) /* a scheduler hears of it by the release */
		bh__signal_relay_receive_overload(g->cluster->signals->relay, e, until_us, clock_now_us());
}

/* What is known of endpoints has changed: the planners follow before anything else is granted. */
static void follow_(Gate *g)
{
	gate_note_registry(g, 0);
}

/* Returns what tells other nodes, and is told by them. Membership must have been started. */
Signals *signals_new(Cluster *c)
{
	Signals *s = g_new0(Signals, 1);

	s->port =
		(BH__SignalRelayPort){.send = relay_send_, .find_home = relay_find_home_, .merged = relay_learnt_};
	s->cluster = c;
	s->relay = bh__signal_relay_new(&s->port, c->members, c->gate->registry);
	return s;
}

void signals_delete(Signals *s)
{
	bh__signal_relay_delete(s->relay);
	g_free(s);
}

static void relay_send_(BH__SignalRelayPort *port, uint64_t node_id, BH__Message *m)
{
	cluster_send(((Signals *)port)->cluster, node_id, m);
}

static uint64_t relay_find_home_(BH__SignalRelayPort *port, const char *service)
{
	return limits_find_home(((Signals *)port)->cluster, service);
}

static void relay_learnt_(BH__SignalRelayPort *port, BH__SignalKind kind, const BH__RegisteredEndpoint *e)
{
	if (kind != BH__SIGNAL_LIMIT) {
		log_event("signal", "kind=%s what=told endpoint=%s born_ms=%" G_GUINT64_FORMAT,
				  BH__SignalKindString[kind], e->entry.id, e->entry.born_ms);
		return;
	}
	schedulers_follow_limits(((Signals *)port)->cluster, e);
	log_event("limit", "what=told endpoint=%s per_s=%.3f", e->entry.id,
			  e->signals.advertised.in_force ? e->signals.advertised.per_s : -1.0);
}

void signals_process_tick(Signals *s)
{
	bh__signal_relay_process_tick(s->relay, clock_now_us());
}

/* Takes a message. Returns false if it is not one of signals. */
bool signals_process_message(Signals *s, const BH__Message *m)
{
	if (!bh__signal_relay_process_message(s->relay, m, clock_now_us()))
		return false;
	follow_(s->cluster->gate);
	return true;
}

/* A node is there that may know nothing yet. */
void signals_tell_node(Signals *s, uint64_t node_id)
{
	bh__signal_relay_notify_node(s->relay, node_id, clock_now_us());
}

/* An endpoint's answer has a header that nobody here knows: what it says may bind the gateway one day. */
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

/* Returns what an endpoint is to new requests of this node: it is listed and takes them, it leaves, its hall
 * drains, or its entry is gone. */
static const char *state_(const BH__RegisteredEndpoint *e, uint64_t now_us)
{
	if (e->entry.draining)
		return "leaving";
	if (e->is_hall_draining)
		return "drained";
	return bh__registered_endpoint_is_active(e, now_us) ? "used" : "gone";
}

static int64_t left_ms_(uint64_t until_us, uint64_t now_us)
{
	return (int64_t)((until_us - MIN(now_us, until_us)) / BH__MS_US);
}

static struct json_object *describe_endpoint_(const BH__RegisteredEndpoint *e, uint64_t now_us)
{
	struct json_object *o = json_object_new_object();

	json_object_object_add(o, "id", json_object_new_string(e->entry.id));
	json_object_object_add(o, "service", json_object_new_string(e->entry.service));
	json_object_object_add(o, "hall", json_object_new_string(e->entry.hall));
	json_object_object_add(o, "state", json_object_new_string(state_(e, now_us)));
	json_object_object_add(o, "backoff_ms",
						   json_object_new_int64(left_ms_(e->signals.backoff_until_us, now_us)));
	json_object_object_add(o, "overloaded_ms",
						   json_object_new_int64(left_ms_(e->signals.overloaded_until_us, now_us)));
	json_object_object_add(o, "limit_per_s",
						   json_object_new_double(bh__endpoint_rate_get_per_s(&e->rate, now_us)));
	json_object_object_add(o, "cold_ms", json_object_new_int64(left_ms_(e->entry.cold_until_us, now_us)));
	json_object_object_add(o, "requests", json_object_new_int64(e->in_flight));
	return o;
}

/* Returns the endpoints as this node knows them, for operators; to free with json_object_put(). */
struct json_object *signals_describe(const Gate *g)
{
	struct json_object *root = json_object_new_object();
	struct json_object *list = json_object_new_array();
	uint64_t now_us = clock_now_us();

	for (unsigned i = 0; i < bh__registry_get_count(g->registry); i++)
		json_object_array_add(list, describe_endpoint_(bh__registry_get(g->registry, i), now_us));
	json_object_object_add(root, "endpoints", list);
	return root;
}

/* Writes how often each signal was given, as metrics. */
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
