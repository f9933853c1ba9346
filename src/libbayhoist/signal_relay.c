/* SPDX-License-Identifier: BSD-3-Clause */
/* Signals of endpoints among the nodes. */
#include "bayhoist/signal_relay.h"

#include <math.h>
#include <string.h>

/* Messages to all for each tick: where all endpoints of a hall begin to leave at once, their home's link is
 * not filled by telling of it. */
#define MESSAGES_PER_TICK_ 4
/* While answers name a limit its home is told of that again: it may be new, or have missed it. */
#define RETELL_US_ BH__SECOND_US
/* A limit that is another in each answer is told to its home this often; what is asked of it comes with the
 * latest figure anyhow. */
#define MOVED_US_ (100 * BH__MS_US)
/* All hear of a figure that has moved by more than this share of itself: only a node that becomes home needs
 * it, and counts by what it hears from the next answer on. */
#define MOVED_SHARE_ 0.2

/* Of which endpoint what is to be told: news are written when they go out, with what is known then. */
typedef struct {
	BH__SignalKind kind;
	uint64_t endpoint_id;
} Topic_;

struct BH__SignalRelay {
	BH__SignalRelayPort *port;
	BH__Members *members;
	BH__Registry *registry;
	GArray *topics; /* Topic_ of which this node is to tell all, the oldest first */
	bool has_heard; /* an endpoint of whose leaving this node is to tell a home */
	uint64_t members_seen;
};

static void tell_leaving_(BH__SignalRelay *r, BH__RegisteredEndpoint *e, uint64_t now_us);
static void tell_home_(BH__SignalRelay *r, BH__SignalKind kind, BH__RegisteredEndpoint *e, uint64_t now_us);
static void tell_homes_again_(BH__SignalRelay *r, uint64_t now_us);
static void tell_limit_(BH__SignalRelay *r, BH__RegisteredEndpoint *e);
static bool is_home_(const BH__SignalRelay *r, const char *service);
static void add_(BH__SignalRelay *r, BH__SignalKind kind, uint64_t endpoint_id);
static void follow_(BH__SignalRelay *r, const BH__SignalNews *n, bool for_all);
static bool take_limit_(BH__RegisteredEndpoint *e, const BH__SignalNews *n, uint64_t now_us);
static bool write_next_(const BH__SignalRelay *r, guint *at, uint64_t now_us, BH__Message *m);

/* Returns a relay; nothing of what it is given belongs to it. */
BH__SignalRelay *bh__signal_relay_new(BH__SignalRelayPort *port, BH__Members *members, BH__Registry *registry)
{
	BH__SignalRelay *r = g_new0(BH__SignalRelay, 1);

	r->port = port;
	r->members = members;
	r->registry = registry;
	r->topics = g_array_new(FALSE, FALSE, sizeof(Topic_));
	return r;
}

void bh__signal_relay_delete(BH__SignalRelay *r)
{
	if (!r)
		return;
	g_array_unref(r->topics);
	g_free(r);
}

/* An answer that this node has read says that its endpoint leaves. Returns true if that was not known. */
bool bh__signal_relay_hear_leaving(BH__SignalRelay *r, BH__RegisteredEndpoint *e, uint64_t now_us)
{
	if (!bh__registry_note_leaving(r->registry, e->endpoint_id, e->entry.born_ms))
		return false;
	e->signals.said_leaving = true;
	r->has_heard = true;
	tell_leaving_(r, e, now_us);
	return true;
}

/* Tells a home of a leaving, unless it was told. */
static void tell_leaving_(BH__SignalRelay *r, BH__RegisteredEndpoint *e, uint64_t now_us)
{
	uint64_t home = r->port->find_home(r->port, e->entry.service);

	if (e->signals.leaving_told_node == home)
		return;
	e->signals.leaving_told_node = home;
	tell_home_(r, BH__SIGNAL_LEAVING, e, now_us);
}

/* An endpoint has turned away a request of this node, and asked for backoff until a time. One message for
 * each backoff, not for each request that is turned away. */
void bh__signal_relay_hear_overload(BH__SignalRelay *r, BH__RegisteredEndpoint *e, uint64_t until_us,
									uint64_t now_us)
{
	if (bh__registered_endpoint_hear_overload(e, until_us, now_us))
		tell_home_(r, BH__SIGNAL_BACKOFF, e, now_us);
}

/* An answer that this node has read names a limit of its endpoint, or none (see
 * bh__registered_endpoint_hear_limit()). Returns true if that changes what is known. */
bool bh__signal_relay_hear_limit(BH__SignalRelay *r, BH__RegisteredEndpoint *e, const BH__NamedLimit *heard,
								 uint64_t now_us)
{
	bool was_in_force = e->signals.named.in_force;
	bool changed = bh__registered_endpoint_hear_limit(e, heard, now_us);
	uint64_t period_us = !changed ? RETELL_US_ : was_in_force == e->signals.named.in_force ? MOVED_US_ : 0;

	if ((changed || heard->in_force) && now_us >= e->signals.named_told_us + period_us) {
		e->signals.named_told_us = now_us;
		tell_home_(r, BH__SIGNAL_LIMIT, e, now_us);
	}
	return changed;
}

/* Tells an endpoint's home what this node knows, or all if that is this node. */
static void tell_home_(BH__SignalRelay *r, BH__SignalKind kind, BH__RegisteredEndpoint *e, uint64_t now_us)
{
	BH__Message m = {.type = BH__MESSAGE_SIGNALS};

	if (!is_home_(r, e->entry.service)) {
		m.as.signals.for_all = true;
		m.as.signals.count = 1;
		m.as.signals.item[0] = bh__signal_news(kind, e, now_us);
		r->port->send(r->port, r->port->find_home(r->port, e->entry.service), &m);
	}
	else if (kind == BH__SIGNAL_LIMIT) {
		tell_limit_(r, e);
	}
	else {
		add_(r, kind, e->endpoint_id);
	}
}

/* All are to hear of a limit that begins, ends, or has moved far. */
static void tell_limit_(BH__SignalRelay *r, BH__RegisteredEndpoint *e)
{
	double per_s = e->signals.named.in_force ? e->signals.named.per_s : 0;
	bool moved = fabs(per_s - e->signals.spread_per_s) > MOVED_SHARE_ * e->signals.spread_per_s;

	if (e->signals.spread_in_force == e->signals.named.in_force && !moved)
		return;
	e->signals.spread_in_force = e->signals.named.in_force;
	e->signals.spread_per_s = per_s;
	add_(r, BH__SIGNAL_LIMIT, e->endpoint_id);
}

static bool is_home_(const BH__SignalRelay *r, const char *service)
{
	return r->port->find_home(r->port, service) == bh__members_get_self(r->members)->node_id;
}

static void add_(BH__SignalRelay *r, BH__SignalKind kind, uint64_t endpoint_id)
{
	Topic_ t = {.kind = kind, .endpoint_id = endpoint_id};

	for (guint i = 0; i < r->topics->len; i++) {
		const Topic_ *known = &g_array_index(r->topics, Topic_, i);
		if (known->kind == kind && known->endpoint_id == endpoint_id)
			return;
	}
	g_array_append_val(r->topics, t);
}

/* Returns what this node knows of an endpoint's signal, as news for another. */
BH__SignalNews bh__signal_news(BH__SignalKind kind, const BH__RegisteredEndpoint *e, uint64_t now_us)
{
	BH__SignalNews n = {.kind = kind, .endpoint_id = e->endpoint_id, .born_ms = e->entry.born_ms};

	if (kind == BH__SIGNAL_BACKOFF) {
		n.time_us = e->signals.overloaded_until_us - MIN(now_us, e->signals.overloaded_until_us);
	}
	else if (kind == BH__SIGNAL_LIMIT) {
		n.in_force = e->signals.named.in_force;
		n.per_s = e->signals.named.in_force ? e->signals.named.per_s : 0;
		/* an end counts as of now: an earlier naming must not outlast it */
		n.time_us = e->signals.named.in_force ? now_us - MIN(now_us, e->signals.named.heard_us) : 0;
	}
	return n;
}

/* Takes a message. Returns false if it is not one of signals. */
bool bh__signal_relay_process_message(BH__SignalRelay *r, const BH__Message *m, uint64_t now_us)
{
	if (m->type != BH__MESSAGE_SIGNALS)
		return false;
	for (unsigned i = 0; i < m->as.signals.count; i++) {
		const BH__SignalNews *n = &m->as.signals.item[i];
		if (bh__signal_relay_take(r, n, now_us))
			follow_(r, n, m->as.signals.for_all);
	}
	bh__members_pass_on(r->members, m);
	return true;
}

/* Goes on with news that were not known: they are for all, or all have been told by another node. */
static void follow_(BH__SignalRelay *r, const BH__SignalNews *n, bool for_all)
{
	BH__RegisteredEndpoint *e = bh__registry_find(r->registry, n->endpoint_id);

	if (n->kind == BH__SIGNAL_LIMIT && for_all) {
		tell_limit_(r, e);
	}
	else if (n->kind == BH__SIGNAL_LIMIT) {
		e->signals.spread_in_force = n->in_force;
		e->signals.spread_per_s = n->per_s;
	}
	else if (for_all) {
		add_(r, n->kind, n->endpoint_id);
	}
}

/* Takes what another node tells. Returns true if it was not known. */
bool bh__signal_relay_take(BH__SignalRelay *r, const BH__SignalNews *n, uint64_t now_us)
{
	BH__RegisteredEndpoint *e = bh__registry_find(r->registry, n->endpoint_id);
	bool is_same_start = e && e->entry.born_ms == n->born_ms;
	bool is_new = false;

	switch (n->kind) {
	case BH__SIGNAL_LEAVING:
		is_new = bh__registry_note_leaving(r->registry, n->endpoint_id, n->born_ms);
		break;
	case BH__SIGNAL_BACKOFF:
		is_new = is_same_start && bh__registered_endpoint_hear_overload(e, now_us + n->time_us, now_us);
		break;
	case BH__SIGNAL_LIMIT:
		is_new = is_same_start && take_limit_(e, n, now_us);
		break;
	case BH__SIGNAL_KIND_COUNT:
		break;
	}
	if (is_new)
		r->port->learnt(r->port, n->kind, e);
	return is_new;
}

static bool take_limit_(BH__RegisteredEndpoint *e, const BH__SignalNews *n, uint64_t now_us)
{
	BH__NamedLimit heard = {
		.in_force = n->in_force, .per_s = n->per_s, .heard_us = now_us - MIN(now_us, n->time_us)};

	return bh__registered_endpoint_hear_limit(e, &heard, now_us);
}

/* Tells all what has come up since the last time. To be called some times a second. */
void bh__signal_relay_process_tick(BH__SignalRelay *r, uint64_t now_us)
{
	guint done = 0;

	tell_homes_again_(r, now_us);
	for (unsigned k = 0; k < MESSAGES_PER_TICK_ && done < r->topics->len; k++) {
		BH__Message m = {.type = BH__MESSAGE_SIGNALS};
		if (write_next_(r, &done, now_us, &m))
			bh__members_tell_all(r->members, &m);
	}
	g_array_remove_range(r->topics, 0, done);
}

/* Where another node has become home of an endpoint that said to this one that it leaves, tells that node. */
static void tell_homes_again_(BH__SignalRelay *r, uint64_t now_us)
{
	if (!r->has_heard || r->members_seen == bh__members_get_version(r->members))
		return;
	r->members_seen = bh__members_get_version(r->members);
	r->has_heard = false;
	for (unsigned i = 0; i < bh__registry_get_count(r->registry); i++) {
		BH__RegisteredEndpoint *e = bh__registry_get(r->registry, i);
		if (!e->signals.said_leaving)
			continue;
		r->has_heard = true;
		tell_leaving_(r, e, now_us);
	}
}

/* Writes as many topics as a message holds, from one on, without those of endpoints that are gone. Returns
 * false if there is nothing to tell. */
static bool write_next_(const BH__SignalRelay *r, guint *at, uint64_t now_us, BH__Message *m)
{
	while (*at < r->topics->len && m->as.signals.count < BH__MESSAGE_SIGNALS_MAX) {
		const Topic_ *t = &g_array_index(r->topics, Topic_, (*at)++);
		const BH__RegisteredEndpoint *e = bh__registry_find(r->registry, t->endpoint_id);
		if (e)
			m->as.signals.item[m->as.signals.count++] = bh__signal_news(t->kind, e, now_us);
	}
	return m->as.signals.count > 0;
}

/* A node is there that may know nothing yet: it hears what is known of the endpoints whose home this node is.
 */
void bh__signal_relay_tell_node(BH__SignalRelay *r, uint64_t node_id, uint64_t now_us)
{
	BH__Message m = {.type = BH__MESSAGE_SIGNALS};

	for (unsigned i = 0; i < bh__registry_get_count(r->registry); i++) {
		const BH__RegisteredEndpoint *e = bh__registry_get(r->registry, i);
		const bool known[BH__SIGNAL_KIND_COUNT] = {
			[BH__SIGNAL_LEAVING] = e->entry.draining, [BH__SIGNAL_LIMIT] = e->signals.named.in_force};
		for (int kind = 0; kind < BH__SIGNAL_KIND_COUNT; kind++) {
			if (!known[kind] || !is_home_(r, e->entry.service))
				continue;
			m.as.signals.item[m.as.signals.count++] = bh__signal_news((BH__SignalKind)kind, e, now_us);
			if (m.as.signals.count < BH__MESSAGE_SIGNALS_MAX)
				continue;
			r->port->send(r->port, node_id, &m);
			m.as.signals.count = 0;
		}
	}
	if (m.as.signals.count)
		r->port->send(r->port, node_id, &m);
}
