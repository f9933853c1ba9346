/* SPDX-License-Identifier: BSD-3-Clause */
/* Cooperation of the nodes: runs the membership protocol, in which nodes probe each other, and exchanges
 * messages with other nodes. The scheduling of services is in schedulers.c. */
#include "cluster_internal.h"

#include <string.h>
#include "bayhoist/hash.h"
#include "clock.h"
#include "crashes.h"
#include "links.h"
#include "log.h"
#include "relay_server.h"

#define MEMBERS_TICK_MS 100
#define WAITING_TICK_MS 10 /* tick period while asks wait in a planner */
/* Maximum number of changes of single members that are logged between two ticks. If 295 nodes start at the
 * same time and each logs a line for every other node, they write 87,000 lines. */
#define MEMBER_LINES_MAX 4
#define CAPACITY_PER_MBPS 5 /* capacity, in thousandths of a core, for each Mbit/s of the link */

static uint32_t capacity_(const GateSettings *s);
static void members_send_(BH__MembersPort *port, const char *address, BH__Message *m);
static void members_changed_(BH__MembersPort *port, const BH__MemberInfo *info, BH__MemberState old);
static void on_message_(void *cluster, const BH__Message *m);
static void on_unreachable_(void *cluster, const char *address);
static void on_stream_(void *cluster, PeerStream *s, const BH__Message *m);
static void on_tick_(evutil_socket_t fd, short what, void *arg);
static void on_waiting_tick_(evutil_socket_t fd, short what, void *arg);
static void set_ready_(Cluster *c, bool ready);
static void log_members_(Cluster *c);
static void dispatch_(Cluster *c, const BH__Message *m);

/* Returns the capacity of this node's VM for duties, in thousandths of a core. The network link limits it: on
 * the users' VMs a burst of asks saturates a link of 20 Mbit/s before it uses 0.12 of a core, and 100 Mbit/s
 * correspond to 0.5 of a core. A setting of 0 means unknown and does not limit the capacity. */
static uint32_t capacity_(const GateSettings *s)
{
	double by_link = s->link_mbps * CAPACITY_PER_MBPS;
	double by_core = s->cores * 1000;

	if (by_core <= 0 || by_link <= 0)
		return (uint32_t)MAX(by_core, by_link);
	return (uint32_t)MIN(by_core, by_link);
}

/* Starts membership and the connections to other nodes. Returns false if the connections cannot be set up. */
bool cluster_start(Gate *g)
{
	Cluster *c = g_new0(Cluster, 1);
	struct timeval tick = {0, MEMBERS_TICK_MS * 1000};
	BH__MemberInfo self = {.boot_id = g->boot_id};
	PeersOptions peers = {.base = g->base,
						  .address = g->settings.peer_listen_address[0] ? g->settings.peer_listen_address
																		: g->settings.peer_address,
						  .key = g->settings.peer_key,
						  .source = g->settings.endpoint_source,
						  .on_message = on_message_,
						  .on_unreachable = on_unreachable_,
						  .on_stream = on_stream_,
						  .ctx = c};

	g->cluster = c;
	c->gate = g;
	c->port.send = members_send_;
	c->port.changed = members_changed_;
	self.node_id = bh__hash_name(g->settings.name);
	g_strlcpy(self.name, g->settings.name, sizeof self.name);
	g_strlcpy(self.hall, g->settings.hall, sizeof self.hall);
	g_strlcpy(self.peer_address, g->settings.peer_address, sizeof self.peer_address);
	g_strlcpy(self.caller_address, g->settings.caller_address, sizeof self.caller_address);
	self.capacity = capacity_(&g->settings);
	c->members = bh__members_new(&c->port, &self, (uint32_t)g->boot_id);
	g->members = c->members;
	c->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, schedulers_free_service);
	c->by_ask = g_hash_table_new(g_int64_hash, g_int64_equal);
	c->home_since = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_queue_init(&c->inbox);
	g_queue_init(&c->deferred);
	g->signals = signals_new(g);
	c->tick = event_new(g->base, -1, EV_PERSIST, on_tick_, c);
	c->waiting_tick = evtimer_new(g->base, on_waiting_tick_, c);
	event_add(c->tick, &tick);
	c->peers = peers_new(&peers);
	return c->peers != NULL;
}

void cluster_free(Cluster *c)
{
	if (!c)
		return;
	event_free(c->tick);
	event_free(c->waiting_tick);
	if (c->peers)
		peers_delete(c->peers);
	g_queue_clear_full(&c->inbox, g_free);
	g_queue_clear_full(&c->deferred, g_free);
	g_hash_table_unref(c->by_ask);
	g_hash_table_unref(c->services);
	g_hash_table_unref(c->home_since);
	signals_delete(c->gate->signals);
	bh__members_delete(c->members);
	g_free(c);
}

void cluster_add_seed(Cluster *c, const char *peer_address)
{
	bh__members_add_seed(c->members, peer_address);
}

/* Contacts the seeds at once, without waiting for the next tick. */
void cluster_join(Cluster *c)
{
	bh__members_process_tick(c->members, clock_now_us());
}

/* Adds a node that the platform's record of duties names as a member, alive but unconfirmed. */
void cluster_add_unconfirmed(Cluster *c, const BH__MemberInfo *info)
{
	bh__members_add_unconfirmed(c->members, info, clock_now_us());
	schedulers_apply_membership(c, clock_now_us());
}

/* Returns true if a node is unconfirmed and may still be starting, so that the caller waits for it. */
bool cluster_awaits(Cluster *c, uint64_t node_id)
{
	return bh__members_await(c->members, node_id, clock_now_us());
}

/* Returns the number of nodes that accept callers, this node included. It is at least 1. */
unsigned cluster_count_nodes(const Cluster *c)
{
	unsigned count = 0;

	for (unsigned i = 0; i < bh__members_get_count(c->members); i++)
		count += bh__member_is_usable(bh__members_get(c->members, i));
	return MAX(count, 1u);
}

/* Sends a membership message to the node at an address. */
static void members_send_(BH__MembersPort *port, const char *address, BH__Message *m)
{
	Cluster *c = (Cluster *)port;

	peers_send(c->peers, address, m);
}

/* Logs a change of a member, sends the current signals and late decisions to a usable one, and removes a dead
 * one from the planners. */
static void members_changed_(BH__MembersPort *port, const BH__MemberInfo *info, BH__MemberState old)
{
	Cluster *c = (Cluster *)port;

	if (++c->member_changes <= MEMBER_LINES_MAX)
		log_event("member", "node=%s state=%s was=%s leaving=%s node_boot=%" G_GINT64_MODIFIER "x",
				  info->name, BH__MemberStateString[info->state], BH__MemberStateString[old],
				  info->leaving ? "yes" : "no", info->boot_id);
	if (bh__member_is_usable(info)) {
		signals_notify_node(c->gate->signals, info->node_id);
		crashes_notify_node(c->gate->crashes, info->node_id);
	}
	if (info->state == BH__MEMBER_DEAD && old != BH__MEMBER_DEAD)
		cluster_process_node_gone(c, info->node_id);
}

/* Frees, in all planners, what a node holds that is dead or out of reach. */
void cluster_process_node_gone(Cluster *c, uint64_t node_id)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, c->services);
	while (g_hash_table_iter_next(&it, NULL, &value))
		bh__planner_process_node_gone(((Service *)value)->planner, node_id, clock_now_us());
}

/* Processes a message from another node. Ignores one that names this node as its sender. */
static void on_message_(void *cluster, const BH__Message *m)
{
	Cluster *c = cluster;

	if (m->from_node != bh__members_get_self(c->members)->node_id)
		dispatch_(c, m);
	cluster_drain_inbox(c);
	cluster_schedule_waiting_tick(c);
}

/* Passes a stream that a peer has opened to the relay server. */
static void on_stream_(void *cluster, PeerStream *s, const BH__Message *m)
{
	relay_server_accept(((Cluster *)cluster)->gate->relay_server, s, m);
}

/* Notifies membership that the nodes at an address cannot be reached. */
static void on_unreachable_(void *cluster, const char *address)
{
	Cluster *c = cluster;

	for (unsigned i = 1; i < bh__members_get_count(c->members); i++) {
		const BH__MemberInfo *info = bh__members_get(c->members, i);
		if (!strcmp(info->peer_address, address))
			bh__members_process_unreachable(c->members, info->node_id, clock_now_us());
	}
	schedulers_apply_membership(c, clock_now_us());
	cluster_drain_inbox(c);
}

/* Runs the periodic work of all modules of the cluster. */
static void on_tick_(evutil_socket_t fd, short what, void *arg)
{
	Cluster *c = arg;
	uint64_t now_us = clock_now_us();
	GHashTableIter it;
	gpointer value;

	(void)fd;
	(void)what;
	set_ready_(c, gate_is_ready(c->gate, now_us));
	bh__members_process_tick(c->members, now_us);
	log_members_(c);
	bh__platform_sync_process_tick(c->gate->sync, now_us);
	gate_note_registry(c->gate, 0);
	crashes_process_tick(c->gate->crashes, now_us);
	links_process_tick(c->gate->links, now_us);
	schedulers_apply_membership(c, now_us);
	schedulers_apply_cold_rates(c, now_us);
	schedulers_apply_rate_shares(c, now_us);
	limits_apply_membership(c, now_us);
	silences_process_tick(c->gate, now_us);
	signals_process_tick(c->gate->signals);
	g_hash_table_iter_init(&it, c->services);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		if (now_us >= ((Service *)value)->next_hold_us)
			schedulers_send_holds(c, value, now_us);
		schedulers_record_duty(value, now_us);
		engine_log_division(value, now_us);
	}
	cluster_drain_inbox(c);
	cluster_schedule_waiting_tick(c);
	log_flush();
}

/* Logs a summary of the members' states if more members have changed since the last tick than are logged
 * singly. */
static void log_members_(Cluster *c)
{
	unsigned count[BH__MEMBER_STATE_COUNT] = {0};

	if (c->member_changes > MEMBER_LINES_MAX) {
		for (unsigned i = 0; i < bh__members_get_count(c->members); i++)
			count[bh__members_get(c->members, i)->state]++;
		log_event("members", "changes=%u alive=%u suspect=%u dead=%u", c->member_changes,
				  count[BH__MEMBER_ALIVE], count[BH__MEMBER_SUSPECT], count[BH__MEMBER_DEAD]);
	}
	c->member_changes = 0;
}

/* Sets the state that this node publishes: whether it leaves, the version of its configuration (0 if it is
 * not ready for callers), and its number of calls. */
static void set_ready_(Cluster *c, bool ready)
{
	const Gate *g = c->gate;

	bh__members_set_self(c->members, g->shutdown.began_us != 0,
						 ready && g->routing ? bh__routing_get_version(g->routing) : 0,
						 g_hash_table_size(g->calls));
}

/* Starts the short tick if asks wait here; it is not scheduled otherwise. */
void cluster_schedule_waiting_tick(Cluster *c)
{
	struct timeval soon = {0, WAITING_TICK_MS * 1000};
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, c->services);
	if (evtimer_pending(c->waiting_tick, NULL))
		return;
	if (!g_queue_is_empty(&c->deferred))
		evtimer_add(c->waiting_tick, &soon);
	while (g_hash_table_iter_next(&it, NULL, &value))
		if (bh__planner_is_waiting(((Service *)value)->planner))
			evtimer_add(c->waiting_tick, &soon);
}

/* Processes the deferred asks again, and the asks that wait in the planners. */
static void on_waiting_tick_(evutil_socket_t fd, short what, void *arg)
{
	Cluster *c = arg;
	GHashTableIter it;
	gpointer value;

	(void)fd;
	(void)what;
	schedulers_process_deferred(c, clock_now_us());
	g_hash_table_iter_init(&it, c->services);
	while (g_hash_table_iter_next(&it, NULL, &value))
		bh__planner_process_tick(((Service *)value)->planner, clock_now_us());
	cluster_drain_inbox(c);
	cluster_schedule_waiting_tick(c);
}

/* Sends a message to a node. A message to this node itself goes to the inbox, which is drained after the
 * current work. A message to an unknown node is dropped. */
void cluster_send(Cluster *c, uint64_t node_id, BH__Message *m)
{
	const BH__MemberInfo *self = bh__members_get_self(c->members);
	const BH__MemberInfo *info = bh__members_find(c->members, node_id);

	m->from_node = self->node_id;
	m->from_boot = self->boot_id;
	if (node_id == self->node_id)
		g_queue_push_tail(&c->inbox, g_memdup2(m, sizeof *m));
	else if (info)
		peers_send(c->peers, info->peer_address, m);
}

/* Processes all messages in the inbox, including those that are added meanwhile. A nested call returns at
 * once. */
void cluster_drain_inbox(Cluster *c)
{
	BH__Message *m;

	if (c->is_draining)
		return;
	c->is_draining = true;
	while ((m = g_queue_pop_head(&c->inbox))) {
		dispatch_(c, m);
		g_free(m);
	}
	c->is_draining = false;
}

/* Routes a message to the module that processes its type. */
static void dispatch_(Cluster *c, const BH__Message *m)
{
	uint64_t now_us = clock_now_us();

	schedulers_process_contact(c, m->from_node);
	if (crashes_process_message(c->gate->crashes, m, now_us) || links_process_message(c->gate->links, m))
		return;
	if (signals_process_message(c->gate->signals, m) || limits_process_message(c, m, now_us))
		return;
	if (bh__members_process_message(c->members, m, now_us)) {
		schedulers_apply_membership(c, now_us);
		return;
	}
	switch (m->type) {
	case BH__MESSAGE_ASK:
		schedulers_process_ask(c, &m->as.ask, now_us);
		break;
	case BH__MESSAGE_GRANT:
		schedulers_process_grant(c, &m->as.grant, m->from_node);
		break;
	case BH__MESSAGE_REFUSE:
		schedulers_process_refusal(c, m->as.refuse.ask_id, m->as.refuse.reason, m->as.refuse.retry_after_ms);
		break;
	case BH__MESSAGE_QUEUED: {
		Call *call = g_hash_table_lookup(c->by_ask, &m->as.release.grant_id);
		if (call)
			call_on_queued(call);
		break;
	}
	case BH__MESSAGE_RELEASE:
	case BH__MESSAGE_PROGRESS:
	case BH__MESSAGE_ITERATION:
	case BH__MESSAGE_WITHDRAW:
		schedulers_process_release(c, m, now_us);
		break;
	case BH__MESSAGE_HOLD:
		schedulers_process_hold(c, m, now_us);
		break;
	case BH__MESSAGE_SYNC_ASK:
		bh__platform_sync_process_ask(c->gate->sync, m, now_us);
		break;
	case BH__MESSAGE_SYNC:
		bh__platform_sync_process_answer(c->gate->sync, m, now_us);
		break;
	case BH__MESSAGE_READER:
		bh__platform_sync_process_reader(c->gate->sync, m, now_us);
		break;
	default:
		break;
	}
}

/* Announces that this node leaves, after handing over its duties. */
void cluster_leave(Cluster *c, uint64_t now_us)
{
	set_ready_(c, false);
	/* Sends the grants to the next schedulers before other nodes send asks to these. */
	schedulers_apply_membership(c, now_us);
	bh__members_announce(c->members);
	cluster_drain_inbox(c);
}
