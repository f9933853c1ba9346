/* SPDX-License-Identifier: BSD-3-Clause */
/* Signals of endpoints among the nodes. */
#include "bayhoist/signal_relay.h"

#include <string.h>

/* Messages to all for each tick: where all endpoints of a hall begin to leave at once, their home's link is
 * not filled by telling of it. */
#define MESSAGES_PER_TICK_ 4

struct BH__SignalRelay {
	BH__SignalRelayPort *port;
	BH__Members *members;
	BH__Registry *registry;
	GArray *to_tell; /* BH__SignalNews that this node is to tell all, the oldest first */
	bool has_heard;  /* an endpoint of whose leaving this node is to tell a home */
	uint64_t members_seen;
};

static void tell_leaving_(BH__SignalRelay *r, BH__RegisteredEndpoint *e);
static void tell_home_(BH__SignalRelay *r, const BH__RegisteredEndpoint *e, const BH__SignalNews *n);
static bool is_home_(const BH__SignalRelay *r, const char *service);
static void add_(BH__SignalRelay *r, const BH__SignalNews *n);
static BH__SignalNews news_(BH__SignalKind kind, const BH__RegisteredEndpoint *e);
static bool take_(BH__SignalRelay *r, const BH__SignalNews *n, uint64_t now_us);

/* Returns a relay; nothing of what it is given belongs to it. */
BH__SignalRelay *bh__signal_relay_new(BH__SignalRelayPort *port, BH__Members *members, BH__Registry *registry)
{
	BH__SignalRelay *r = g_new0(BH__SignalRelay, 1);

	r->port = port;
	r->members = members;
	r->registry = registry;
	r->to_tell = g_array_new(FALSE, FALSE, sizeof(BH__SignalNews));
	return r;
}

void bh__signal_relay_delete(BH__SignalRelay *r)
{
	if (!r)
		return;
	g_array_unref(r->to_tell);
	g_free(r);
}

/* An answer that this node has read says that its endpoint leaves. Returns true if that was not known. */
bool bh__signal_relay_hear_leaving(BH__SignalRelay *r, BH__RegisteredEndpoint *e)
{
	bool is_new = bh__registry_note_leaving(r->registry, e->endpoint_id, e->entry.born_ms);

	if (is_new) {
		e->said_leaving = true;
		r->has_heard = true;
		tell_leaving_(r, e);
	}
	return is_new;
}

/* Tells a home of a leaving, unless it was told. */
static void tell_leaving_(BH__SignalRelay *r, BH__RegisteredEndpoint *e)
{
	BH__SignalNews n = news_(BH__SIGNAL_LEAVING, e);
	uint64_t home = r->port->find_home(r->port, e->entry.service);

	if (e->leaving_told_node == home)
		return;
	e->leaving_told_node = home;
	tell_home_(r, e, &n);
}

/* An endpoint has turned away a request of this node, and wants rest until a time. One message for each rest,
 * not for each request that is turned away. */
void bh__signal_relay_hear_crowd(BH__SignalRelay *r, BH__RegisteredEndpoint *e, uint64_t until_us,
								 uint64_t now_us)
{
	BH__SignalNews n = news_(BH__SIGNAL_BACKOFF, e);

	if (!bh__registered_endpoint_hear_crowd(e, until_us, now_us))
		return;
	n.left_us = until_us - now_us;
	tell_home_(r, e, &n);
}

/* Tells an endpoint's home, or all if that is this node. */
static void tell_home_(BH__SignalRelay *r, const BH__RegisteredEndpoint *e, const BH__SignalNews *n)
{
	BH__Message m = {.type = BH__MESSAGE_SIGNALS};

	if (is_home_(r, e->entry.service)) {
		add_(r, n);
		return;
	}
	m.as.signals.for_all = true;
	m.as.signals.count = 1;
	m.as.signals.item[0] = *n;
	r->port->send(r->port, r->port->find_home(r->port, e->entry.service), &m);
}

static bool is_home_(const BH__SignalRelay *r, const char *service)
{
	return r->port->find_home(r->port, service) == bh__members_get_self(r->members)->node_id;
}

static BH__SignalNews news_(BH__SignalKind kind, const BH__RegisteredEndpoint *e)
{
	return (BH__SignalNews){.kind = kind, .endpoint_id = e->endpoint_id, .born_ms = e->entry.born_ms};
}

static void add_(BH__SignalRelay *r, const BH__SignalNews *n)
{
	g_array_append_val(r->to_tell, *n);
}

/* Takes a message. Returns false if it is not one of signals. */
bool bh__signal_relay_process_message(BH__SignalRelay *r, const BH__Message *m, uint64_t now_us)
{
	if (m->type != BH__MESSAGE_SIGNALS)
		return false;
	for (unsigned i = 0; i < m->as.signals.count; i++) {
		const BH__SignalNews *n = &m->as.signals.item[i];
		if (take_(r, n, now_us) && m->as.signals.for_all)
			add_(r, n);
	}
	bh__members_pass_on(r->members, m);
	return true;
}

/* Takes what another node tells. Returns true if it was not known. */
static bool take_(BH__SignalRelay *r, const BH__SignalNews *n, uint64_t now_us)
{
	BH__RegisteredEndpoint *e = bh__registry_find(r->registry, n->endpoint_id);
	bool is_new = false;

	if (n->kind == BH__SIGNAL_LEAVING)
		is_new = bh__registry_note_leaving(r->registry, n->endpoint_id, n->born_ms);
	else if (n->kind == BH__SIGNAL_BACKOFF && e && e->entry.born_ms == n->born_ms)
		is_new = bh__registered_endpoint_hear_crowd(e, now_us + n->left_us, now_us);
	if (is_new)
		r->port->learnt(r->port, n->kind, e);
	return is_new;
}

/* Tells all what has come up since the last time; and where another node has become home of an endpoint that
 * said to this one that it leaves, tells that node. To be called some times a second. */
void bh__signal_relay_process_tick(BH__SignalRelay *r)
{
	unsigned done = 0;

	if (r->has_heard && r->members_seen != bh__members_get_version(r->members)) {
		r->members_seen = bh__members_get_version(r->members);
		r->has_heard = false;
		for (unsigned i = 0; i < bh__registry_get_count(r->registry); i++) {
			BH__RegisteredEndpoint *e = bh__registry_get(r->registry, i);
			if (!e->said_leaving)
				continue;
			r->has_heard = true;
			tell_leaving_(r, e);
		}
	}
	for (unsigned k = 0; k < MESSAGES_PER_TICK_ && done < r->to_tell->len; k++) {
		BH__Message m = {.type = BH__MESSAGE_SIGNALS};
		unsigned count = MIN(r->to_tell->len - done, BH__MESSAGE_SIGNALS_MAX);
		m.as.signals.count = (uint8_t)count;
		memcpy(m.as.signals.item, &g_array_index(r->to_tell, BH__SignalNews, done),
			   count * sizeof(BH__SignalNews));
		bh__members_tell_all(r->members, &m);
		done += count;
	}
	g_array_remove_range(r->to_tell, 0, done);
}

/* A node is there that may know nothing yet: it hears what is known of the endpoints whose home this node is.
 */
void bh__signal_relay_tell_node(BH__SignalRelay *r, uint64_t node_id)
{
	BH__Message m = {.type = BH__MESSAGE_SIGNALS};
	unsigned count = bh__registry_get_count(r->registry);

	for (unsigned i = 0; i < count; i++) {
		const BH__RegisteredEndpoint *e = bh__registry_get(r->registry, i);
		if (e->entry.draining && is_home_(r, e->entry.service))
			m.as.signals.item[m.as.signals.count++] = news_(BH__SIGNAL_LEAVING, e);
		if (m.as.signals.count && (m.as.signals.count == BH__MESSAGE_SIGNALS_MAX || i + 1 == count)) {
			r->port->send(r->port, node_id, &m);
			m.as.signals.count = 0;
		}
	}
}
