/* SPDX-License-Identifier: BSD-3-Clause */
/* Distribution of endpoint signals among the nodes: merges received signals and broadcasts updates. */
#include "bayhoist/signal_relay.h"

#include <math.h>
#include <string.h>
#include "bayhoist/hash.h"

/* Maximum number of broadcasts per tick. It keeps the home node's network link from filling up when all
 * endpoints of a hall begin to leave at once. */
#define MESSAGES_PER_TICK_ 4
/* While answers advertise an unchanged limit, the home node is notified again after this time: it may be a
 * new home node, or have missed the message. */
#define RENOTIFY_US_ BH__SECOND_US
/* Shortest time between notifications of the home node about a limit whose value changes with every answer.
 * Permit requests carry the latest value in any case. */
#define CHANGED_LIMIT_PERIOD_US_ (100 * BH__MS_US)
/* Relative change of a limit's value above which it is broadcast. Only a node that becomes the home node
 * needs the value, and from the next answer on it uses the value that it receives itself. */
#define BROADCAST_CHANGE_SHARE_ 0.2
#define SILENCE_HOLD_MAX_S_ 10.0 /* longest time for which a declaration of another node is taken */

/* Signal to broadcast. The update itself is filled in when it is sent, with the state known at that time. */
typedef struct {
	BH__SignalKind kind;
	uint64_t endpoint_id;
} PendingSignal_;

struct BH__SignalRelay {
	BH__SignalRelayPort *port;
	BH__Members *members;
	BH__Registry *registry;
	GArray *pending; /* of PendingSignal_: signals that this node has yet to broadcast, the oldest first */
	/* an endpoint has announced to this node that it leaves, so that each new home node must be notified */
	bool has_leaving_endpoint;
	uint64_t checked_members_version; /* membership version at the last check for new home nodes */
};

static void notify_leaving_(BH__SignalRelay *r, BH__RegisteredEndpoint *e, uint64_t now_us);
static void notify_home_(BH__SignalRelay *r, BH__SignalKind kind, BH__RegisteredEndpoint *e, uint64_t now_us);
static void notify_new_homes_(BH__SignalRelay *r, uint64_t now_us);
static void queue_limit_(BH__SignalRelay *r, BH__RegisteredEndpoint *e);
static bool is_home_(const BH__SignalRelay *r, const char *service);
static void queue_(BH__SignalRelay *r, BH__SignalKind kind, uint64_t endpoint_id);
static void process_new_update_(BH__SignalRelay *r, const BH__SignalUpdate *n, bool for_all);
static bool merge_limit_(BH__RegisteredEndpoint *e, const BH__SignalUpdate *n, uint64_t now_us);
static void process_silence_(BH__SignalRelay *r, const BH__SignalUpdate *n, bool for_all, uint64_t now_us);
static void process_silence_report_(BH__SignalRelay *r, BH__RegisteredEndpoint *e, uint64_t sent_us,
									uint64_t now_us);
static void tell_heard_(BH__SignalRelay *r, const BH__RegisteredEndpoint *e, uint64_t heard_us,
						uint64_t now_us);
static void send_silence_(BH__SignalRelay *r, const BH__RegisteredEndpoint *e, const BH__SignalUpdate *n);
static double draw_stretch_(const BH__SignalRelay *r, const BH__RegisteredEndpoint *e, uint64_t hold_us);
static bool fill_message_(const BH__SignalRelay *r, guint *at, uint64_t now_us, BH__Message *m);

/* Returns a new relay, which does not take ownership of its arguments. */
BH__SignalRelay *bh__signal_relay_new(BH__SignalRelayPort *port, BH__Members *members, BH__Registry *registry)
{
	BH__SignalRelay *r = g_new0(BH__SignalRelay, 1);

	r->port = port;
	r->members = members;
	r->registry = registry;
	r->pending = g_array_new(FALSE, FALSE, sizeof(PendingSignal_));
	return r;
}

void bh__signal_relay_delete(BH__SignalRelay *r)
{
	if (!r)
		return;
	g_array_unref(r->pending);
	g_free(r);
}

/* Handles an answer, read by this node, in which an endpoint says that it leaves. Notifies the home node.
 * Returns true if this was not known. */
bool bh__signal_relay_receive_leaving(BH__SignalRelay *r, BH__RegisteredEndpoint *e, uint64_t now_us)
{
	if (!bh__registry_note_leaving(r->registry, e->endpoint_id, e->entry.born_ms))
		return false;
	e->signals.announced_leaving = true;
	r->has_leaving_endpoint = true;
	notify_leaving_(r, e, now_us);
	return true;
}

/* Notifies the home node that an endpoint leaves, unless this home node has been notified already. */
static void notify_leaving_(BH__SignalRelay *r, BH__RegisteredEndpoint *e, uint64_t now_us)
{
	uint64_t home = r->port->find_home(r->port, e->entry.service);

	if (e->signals.leaving_notified_node == home)
		return;
	e->signals.leaving_notified_node = home;
	notify_home_(r, BH__SIGNAL_LEAVING, e, now_us);
}

/* Handles an answer in which an endpoint rejects a request of this node and asks for backoff until
 * `until_us`. Notifies the home node once per backoff, not once per rejected request. */
void bh__signal_relay_receive_overload(BH__SignalRelay *r, BH__RegisteredEndpoint *e, uint64_t until_us,
									   uint64_t now_us)
{
	if (bh__registered_endpoint_receive_overload(e, until_us, now_us))
		notify_home_(r, BH__SIGNAL_BACKOFF, e, now_us);
}

/* Handles the limit in an answer that this node has read, or its absence (see
 * bh__registered_endpoint_receive_limit()). Notifies the home node at once if a limit begins or ends,
 * otherwise at most once per CHANGED_LIMIT_PERIOD_US_ or RENOTIFY_US_. Returns true if the limit has changed.
 */
bool bh__signal_relay_receive_limit(BH__SignalRelay *r, BH__RegisteredEndpoint *e,
									const BH__AdvertisedLimit *limit, uint64_t now_us)
{
	bool was_in_force = e->signals.advertised.in_force;
	bool changed = bh__registered_endpoint_receive_limit(e, limit, now_us);
	uint64_t period_us = !changed                                         ? RENOTIFY_US_
						 : was_in_force == e->signals.advertised.in_force ? CHANGED_LIMIT_PERIOD_US_
																		  : 0;

	if ((changed || limit->in_force) && now_us >= e->signals.limit_notified_us + period_us) {
		e->signals.limit_notified_us = now_us;
		notify_home_(r, BH__SIGNAL_LIMIT, e, now_us);
	}
	return changed;
}

/* Sends a signal of an endpoint to its home node, or queues it for broadcast if this node is the home node.
 */
static void notify_home_(BH__SignalRelay *r, BH__SignalKind kind, BH__RegisteredEndpoint *e, uint64_t now_us)
{
	BH__Message m = {.type = BH__MESSAGE_SIGNALS};

	if (!is_home_(r, e->entry.service)) {
		m.as.signals.for_all = true;
		m.as.signals.count = 1;
		m.as.signals.item[0] = bh__signal_update_make(kind, e, now_us);
		r->port->send(r->port, r->port->find_home(r->port, e->entry.service), &m);
	}
	else if (kind == BH__SIGNAL_LIMIT) {
		queue_limit_(r, e);
	}
	else {
		queue_(r, kind, e->endpoint_id);
	}
}

/* Queues a limit for broadcast if it has begun, ended, or changed by more than BROADCAST_CHANGE_SHARE_ since
 * the last broadcast. */
static void queue_limit_(BH__SignalRelay *r, BH__RegisteredEndpoint *e)
{
	double per_s = e->signals.advertised.in_force ? e->signals.advertised.per_s : 0;
	bool has_changed =
		fabs(per_s - e->signals.broadcast_per_s) > BROADCAST_CHANGE_SHARE_ * e->signals.broadcast_per_s;

	if (e->signals.broadcast_in_force == e->signals.advertised.in_force && !has_changed)
		return;
	e->signals.broadcast_in_force = e->signals.advertised.in_force;
	e->signals.broadcast_per_s = per_s;
	queue_(r, BH__SIGNAL_LIMIT, e->endpoint_id);
}

static bool is_home_(const BH__SignalRelay *r, const char *service)
{
	return r->port->find_home(r->port, service) == bh__members_get_self(r->members)->node_id;
}

/* Queues a signal for broadcast, unless it is queued already. */
static void queue_(BH__SignalRelay *r, BH__SignalKind kind, uint64_t endpoint_id)
{
	PendingSignal_ t = {.kind = kind, .endpoint_id = endpoint_id};

	for (guint i = 0; i < r->pending->len; i++) {
		const PendingSignal_ *queued = &g_array_index(r->pending, PendingSignal_, i);
		if (queued->kind == kind && queued->endpoint_id == endpoint_id)
			return;
	}
	g_array_append_val(r->pending, t);
}

/* Returns an update for other nodes that holds what this node knows of an endpoint's signal. */
BH__SignalUpdate bh__signal_update_make(BH__SignalKind kind, const BH__RegisteredEndpoint *e, uint64_t now_us)
{
	BH__SignalUpdate n = {.kind = kind, .endpoint_id = e->endpoint_id, .born_ms = e->entry.born_ms};

	if (kind == BH__SIGNAL_BACKOFF) {
		n.time_us = e->signals.overloaded_until_us - MIN(now_us, e->signals.overloaded_until_us);
	}
	else if (kind == BH__SIGNAL_SILENCE) {
		n.in_force = true;
		n.time_us = now_us - MIN(now_us, e->silence.since_us);
		n.per_s = (double)e->silence.hold_us / BH__SECOND_US;
	}
	else if (kind == BH__SIGNAL_LIMIT) {
		n.in_force = e->signals.advertised.in_force;
		n.per_s = e->signals.advertised.in_force ? e->signals.advertised.per_s : 0;
		/* the end of a limit is dated now, so that it overrides every earlier advertisement of the limit */
		n.time_us =
			e->signals.advertised.in_force ? now_us - MIN(now_us, e->signals.advertised.received_us) : 0;
	}
	return n;
}

/* Merges the updates of a signals message and forwards the message. Returns false if it is a message of
 * another type. */
bool bh__signal_relay_process_message(BH__SignalRelay *r, const BH__Message *m, uint64_t now_us)
{
	if (m->type != BH__MESSAGE_SIGNALS)
		return false;
	for (unsigned i = 0; i < m->as.signals.count; i++) {
		const BH__SignalUpdate *n = &m->as.signals.item[i];
		if (n->kind == BH__SIGNAL_SILENCE)
			process_silence_(r, n, m->as.signals.for_all, now_us);
		else if (bh__signal_relay_merge(r, n, now_us))
			process_new_update_(r, n, m->as.signals.for_all);
	}
	bh__members_forward(r->members, m);
	return true;
}

/* Handles an update that was new to this node. With `for_all` the sender leaves the broadcast to this node.
 * Otherwise another node broadcasts the update, and a limit is only noted as broadcast. */
static void process_new_update_(BH__SignalRelay *r, const BH__SignalUpdate *n, bool for_all)
{
	BH__RegisteredEndpoint *e = bh__registry_find(r->registry, n->endpoint_id);

	if (n->kind == BH__SIGNAL_LIMIT && for_all) {
		queue_limit_(r, e);
	}
	else if (n->kind == BH__SIGNAL_LIMIT) {
		e->signals.broadcast_in_force = n->in_force;
		e->signals.broadcast_per_s = n->per_s;
	}
	else if (for_all) {
		queue_(r, n->kind, n->endpoint_id);
	}
}

/* Merges an update from another node. Updates of a backoff or a limit that belong to another incarnation of
 * the endpoint are ignored. Returns true if the update was new to this node. */
bool bh__signal_relay_merge(BH__SignalRelay *r, const BH__SignalUpdate *n, uint64_t now_us)
{
	BH__RegisteredEndpoint *e = bh__registry_find(r->registry, n->endpoint_id);
	bool is_same_start = e && e->entry.born_ms == n->born_ms;
	bool is_new = false;

	switch (n->kind) {
	case BH__SIGNAL_LEAVING:
		is_new = bh__registry_note_leaving(r->registry, n->endpoint_id, n->born_ms);
		break;
	case BH__SIGNAL_BACKOFF:
		is_new = is_same_start && bh__registered_endpoint_receive_overload(e, now_us + n->time_us, now_us);
		break;
	case BH__SIGNAL_LIMIT:
		is_new = is_same_start && merge_limit_(e, n, now_us);
		break;
	case BH__SIGNAL_SILENCE: /* see process_silence_() */
	case BH__SIGNAL_KIND_COUNT:
		break;
	}
	if (is_new)
		r->port->merged(r->port, n->kind, e);
	return is_new;
}

/* Handles a request of this node that was sent to an endpoint at `sent_us` and is overdue. Must not be called
 * if this node's own links may be the cause. */
void bh__signal_relay_report_silence(BH__SignalRelay *r, BH__RegisteredEndpoint *e, uint64_t sent_us,
									 uint64_t now_us)
{
	BH__SignalUpdate n = {.kind = BH__SIGNAL_SILENCE,
						  .endpoint_id = e->endpoint_id,
						  .born_ms = e->entry.born_ms,
						  .in_force = true,
						  .time_us = now_us - MIN(now_us, sent_us)};

	if (is_home_(r, e->entry.service))
		process_silence_report_(r, e, sent_us, now_us);
	else if (bh__silence_may_send_report(&e->silence, sent_us, now_us))
		send_silence_(r, e, &n);
}

/* Handles something that this node has received from an endpoint. If it counts as silent, all nodes are told
 * that it is not. */
void bh__signal_relay_note_heard(BH__SignalRelay *r, BH__RegisteredEndpoint *e, uint64_t now_us)
{
	if (!bh__silence_note_heard(&e->silence, now_us))
		return;
	tell_heard_(r, e, now_us, now_us);
	r->port->merged(r->port, BH__SIGNAL_SILENCE, e);
}

/* Handles an update on an endpoint's silence: on the home node a report of an overdue request or of something
 * heard, on the others the home node's decision. Whoever has heard from the endpoint since contradicts. */
static void process_silence_(BH__SignalRelay *r, const BH__SignalUpdate *n, bool for_all, uint64_t now_us)
{
	BH__RegisteredEndpoint *e = bh__registry_find(r->registry, n->endpoint_id);
	uint64_t at_us = now_us - MIN(now_us, n->time_us);
	uint64_t hold_us = (uint64_t)(MIN(n->per_s, SILENCE_HOLD_MAX_S_) * BH__SECOND_US);

	if (!e || e->entry.born_ms != n->born_ms)
		return;
	if (for_all && n->in_force) {
		process_silence_report_(r, e, at_us, now_us);
	}
	else if (for_all) {
		if (bh__silence_withdraw(&e->silence, at_us)) {
			tell_heard_(r, e, at_us, now_us);
			r->port->merged(r->port, n->kind, e);
		}
	}
	else if (!n->in_force) {
		if (bh__silence_withdraw(&e->silence, at_us))
			r->port->merged(r->port, n->kind, e);
	}
	else if (e->silence.heard_us > at_us) {
		if (bh__silence_contradicts(&e->silence, at_us, now_us))
			tell_heard_(r, e, e->silence.heard_us, now_us);
	}
	else if (bh__silence_declare(&e->silence, at_us, hold_us, draw_stretch_(r, e, hold_us), now_us)) {
		r->port->merged(r->port, n->kind, e);
	}
}

/* Handles a report of an overdue request on the home node, which tells all nodes once that is enough. */
static void process_silence_report_(BH__SignalRelay *r, BH__RegisteredEndpoint *e, uint64_t sent_us,
									uint64_t now_us)
{
	BH__Message m = {.type = BH__MESSAGE_SIGNALS, .as.signals = {.count = 1}};
	BH__Silence *s = &e->silence;

	if (!bh__silence_add_report(s, sent_us, now_us) ||
		!bh__silence_declare(s, s->first_sent_us, s->hold_us, draw_stretch_(r, e, s->hold_us), now_us))
		return;
	m.as.signals.item[0] = bh__signal_update_make(BH__SIGNAL_SILENCE, e, now_us);
	bh__members_broadcast(r->members, &m);
	r->port->merged(r->port, BH__SIGNAL_SILENCE, e);
}

/* Tells that an endpoint was heard from at `heard_us`: on the home node to all nodes, on others to the home
 * node. */
static void tell_heard_(BH__SignalRelay *r, const BH__RegisteredEndpoint *e, uint64_t heard_us,
						uint64_t now_us)
{
	BH__Message m = {.type = BH__MESSAGE_SIGNALS, .as.signals = {.count = 1}};

	m.as.signals.item[0] = (BH__SignalUpdate){.kind = BH__SIGNAL_SILENCE,
											  .endpoint_id = e->endpoint_id,
											  .born_ms = e->entry.born_ms,
											  .time_us = now_us - MIN(now_us, heard_us)};
	if (is_home_(r, e->entry.service))
		bh__members_broadcast(r->members, &m);
	else
		send_silence_(r, e, &m.as.signals.item[0]);
}

/* Sends an update on an endpoint's silence to its home node. */
static void send_silence_(BH__SignalRelay *r, const BH__RegisteredEndpoint *e, const BH__SignalUpdate *n)
{
	BH__Message m = {.type = BH__MESSAGE_SIGNALS, .as.signals = {.for_all = true, .count = 1}};

	m.as.signals.item[0] = *n;
	r->port->send(r->port, r->port->find_home(r->port, e->entry.service), &m);
}

/* Returns this node's part, from 0 to 1, by which it avoids a silent endpoint for longer than the first node;
 * another one for each duration. */
static double draw_stretch_(const BH__SignalRelay *r, const BH__RegisteredEndpoint *e, uint64_t hold_us)
{
	uint64_t node_id = bh__members_get_self(r->members)->node_id;

	return (double)(bh__hash_pair(node_id, e->endpoint_id ^ hold_us) >> 32) / (double)G_MAXUINT32;
}

/* Merges a limit from another node. Returns true if it changes what is known. */
static bool merge_limit_(BH__RegisteredEndpoint *e, const BH__SignalUpdate *n, uint64_t now_us)
{
	BH__AdvertisedLimit limit = {
		.in_force = n->in_force, .per_s = n->per_s, .received_us = now_us - MIN(now_us, n->time_us)};

	return bh__registered_endpoint_receive_limit(e, &limit, now_us);
}

/* Broadcasts queued signals, at most MESSAGES_PER_TICK_ messages. The caller runs this several times per
 * second. */
void bh__signal_relay_process_tick(BH__SignalRelay *r, uint64_t now_us)
{
	guint done = 0;

	notify_new_homes_(r, now_us);
	for (unsigned k = 0; k < MESSAGES_PER_TICK_ && done < r->pending->len; k++) {
		BH__Message m = {.type = BH__MESSAGE_SIGNALS};
		if (fill_message_(r, &done, now_us, &m))
			bh__members_broadcast(r->members, &m);
	}
	g_array_remove_range(r->pending, 0, done);
}

/* After a membership change, notifies the new home nodes of endpoints that have announced to this node that
 * they leave. */
static void notify_new_homes_(BH__SignalRelay *r, uint64_t now_us)
{
	if (!r->has_leaving_endpoint || r->checked_members_version == bh__members_get_version(r->members))
		return;
	r->checked_members_version = bh__members_get_version(r->members);
	r->has_leaving_endpoint = false;
	for (unsigned i = 0; i < bh__registry_get_count(r->registry); i++) {
		BH__RegisteredEndpoint *e = bh__registry_get(r->registry, i);
		if (!e->signals.announced_leaving)
			continue;
		r->has_leaving_endpoint = true;
		notify_leaving_(r, e, now_us);
	}
}

/* Fills `m` with queued signals from index `*at` on and advances `*at`. Skips endpoints that have been
 * removed. Returns false if the message is empty. */
static bool fill_message_(const BH__SignalRelay *r, guint *at, uint64_t now_us, BH__Message *m)
{
	while (*at < r->pending->len && m->as.signals.count < BH__MESSAGE_SIGNALS_MAX) {
		const PendingSignal_ *t = &g_array_index(r->pending, PendingSignal_, (*at)++);
		const BH__RegisteredEndpoint *e = bh__registry_find(r->registry, t->endpoint_id);
		if (e)
			m->as.signals.item[m->as.signals.count++] = bh__signal_update_make(t->kind, e, now_us);
	}
	return m->as.signals.count > 0;
}

/* Sends a node that may lack this state the signals of all endpoints whose home node this node is. Backoffs
 * are not sent. */
void bh__signal_relay_notify_node(BH__SignalRelay *r, uint64_t node_id, uint64_t now_us)
{
	BH__Message m = {.type = BH__MESSAGE_SIGNALS};

	for (unsigned i = 0; i < bh__registry_get_count(r->registry); i++) {
		const BH__RegisteredEndpoint *e = bh__registry_get(r->registry, i);
		const bool is_known[BH__SIGNAL_KIND_COUNT] = {
			[BH__SIGNAL_LEAVING] = e->entry.draining, [BH__SIGNAL_LIMIT] = e->signals.advertised.in_force};
		for (int kind = 0; kind < BH__SIGNAL_KIND_COUNT; kind++) {
			if (!is_known[kind] || !is_home_(r, e->entry.service))
				continue;
			m.as.signals.item[m.as.signals.count++] = bh__signal_update_make((BH__SignalKind)kind, e, now_us);
			if (m.as.signals.count < BH__MESSAGE_SIGNALS_MAX)
				continue;
			r->port->send(r->port, node_id, &m);
			m.as.signals.count = 0;
		}
	}
	if (m.as.signals.count)
		r->port->send(r->port, node_id, &m);
}
