/* SPDX-License-Identifier: BSD-3-Clause */
/* The nodes' work together: membership follows from probes among the nodes, and messages go from one to
 * another. What they agree on about services is in schedulers.c. */
#include "cluster_internal.h"

#include <string.h>
#include "bayhoist/hash.h"
#include "clock.h"
#include "crashes.h"
#include "log.h"

#define MEMBERS_TICK_MS 100
#define WAITING_TICK_MS 10 /* while asks wait in a planner */
/* Changes of single nodes that are logged between two ticks. Where all of 295 nodes start at once each would
 * write a line for each other: 87,000 lines. */
#define MEMBER_LINES_MAX 4
#define CAPACITY_PER_MBPS 5 /* thousandths of a core that a Mbit/s goes with */

static uint32_t capacity_(const GateSettings *s);
static void members_send_(BH__MembersPort *port, const char *address, BH__Message *m);
static void members_changed_(BH__MembersPort *port, const BH__MemberInfo *info, BH__MemberState old);
static void on_message_(void *cluster, const BH__Message *m);
static void on_unreachable_(void *cluster, const char *address);
static void on_tick_(evutil_socket_t fd, short what, void *arg);
static void on_waiting_tick_(evutil_socket_t fd, short what, void *arg);
static void set_ready_(Cluster *c, bool ready);
static void log_members_(Cluster *c);
static void dispatch_(Cluster *c, const BH__Message *m);

/* Returns what this node's VM has for duties: thousandths of a core, or what its network bears of them if
 * that is less. On the users' VMs a burst of asks fills a link of 20 Mbit/s before it fills 0.12 of a core;
 * 0.5 of a core goes with 100 Mbit/s. */
static uint32_t capacity_(const GateSettings *s)
{
	double by_link = s->link_mbps * CAPACITY_PER_MBPS;
	double by_core = s->cores * 1000;

	if (by_core <= 0 || by_link <= 0)
		return (uint32_t)MAX(by_core, by_link);
	return (uint32_t)MIN(by_core, by_link);
}

/* Starts membership and the connections to other nodes. */
bool cluster_start(Gate *g)
{
	Cluster *c = g_new0(Cluster, 1);
	struct timeval tick = {0, MEMBERS_TICK_MS * 1000};
	BH__MemberInfo self = {.boot_id = g->boot_id};
	PeersOptions peers = {.base = g->base,
						  .address = g->settings.peer_address,
						  .key = g->settings.peer_key,
						  .on_message = on_message_,
						  .on_unreachable = on_unreachable_,
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
	c->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, schedulers_free_service);
	c->by_ask = g_hash_table_new(g_int64_hash, g_int64_equal);
	c->homes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_queue_init(&c->inbox);
	g_queue_init(&c->early);
	c->signals = signals_new(c);
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
	g_queue_clear_full(&c->early, g_free);
	g_hash_table_unref(c->by_ask);
	g_hash_table_unref(c->services);
	g_hash_table_unref(c->homes);
	signals_delete(c->signals);
	bh__members_delete(c->members);
	g_free(c);
}

void cluster_add_seed(Cluster *c, const char *peer_address)
{
	bh__members_add_seed(c->members, peer_address);
}

/* Greets the seeds at once. */
void cluster_join(Cluster *c)
{
	bh__members_process_tick(c->members, clock_now_us());
}

/* Takes a node for alive that is recorded to do a duty. */
void cluster_presume(Cluster *c, const BH__MemberInfo *info)
{
	bh__members_add_unconfirmed(c->members, info, clock_now_us());
	schedulers_follow(c, clock_now_us());
}

/* Returns true if a node that has not answered may still be starting: it is waited for. */
bool cluster_awaits(Cluster *c, uint64_t node_id)
{
	return bh__members_await(c->members, node_id, clock_now_us());
}

const BH__Members *cluster_get_members(const Cluster *c)
{
	return c->members;
}

/* The same, for what tells others more on its probes. */
BH__Members *cluster_get_own_members(Cluster *c)
{
	return c->members;
}

/* Returns the number of nodes that take callers, this one included. */
unsigned cluster_count_nodes(const Cluster *c)
{
	unsigned count = 0;

	for (unsigned i = 0; i < bh__members_get_count(c->members); i++)
		count += bh__member_is_usable(bh__members_get(c->members, i));
	return MAX(count, 1u);
}

static void members_send_(BH__MembersPort *port, const char *address, BH__Message *m)
{
	Cluster *c = (Cluster *)port;

	peers_send(c->peers, address, m);
}

static void members_changed_(BH__MembersPort *port, const BH__MemberInfo *info, BH__MemberState old)
{
	Cluster *c = (Cluster *)port;
	GHashTableIter it;
	gpointer value;

	if (++c->member_changes <= MEMBER_LINES_MAX)
		log_event("member", "node=%s state=%s was=%s leaving=%s node_boot=%" G_GINT64_MODIFIER "x",
				  info->name, BH__MemberStateString[info->state], BH__MemberStateString[old],
				  info->leaving ? "yes" : "no", info->boot_id);
	if (bh__member_is_usable(info))
		signals_tell_node(c->signals, info->node_id);
	if (info->state != BH__MEMBER_DEAD || old == BH__MEMBER_DEAD)
		return;
	g_hash_table_iter_init(&it, c->services);
	while (g_hash_table_iter_next(&it, NULL, &value))
		bh__planner_process_node_gone(((Service *)value)->planner, info->node_id, clock_now_us());
}

static void on_message_(void *cluster, const BH__Message *m)
{
	Cluster *c = cluster;

	if (m->from_node != bh__members_get_self(c->members)->node_id)
		dispatch_(c, m);
	cluster_drain_inbox(c);
	cluster_watch_waiting(c);
}

static void on_unreachable_(void *cluster, const char *address)
{
	Cluster *c = cluster;

	for (unsigned i = 1; i < bh__members_get_count(c->members); i++) {
		const BH__MemberInfo *info = bh__members_get(c->members, i);
		if (!strcmp(info->peer_address, address))
			bh__members_process_unreachable(c->members, info->node_id, clock_now_us());
	}
	schedulers_follow(c, clock_now_us());
	cluster_drain_inbox(c);
}

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
	bh__platform_sync_process_tick(looks_get(c->gate->looks), now_us);
	gate_note_registry(c->gate, 0);
	crashes_process_tick(c->gate->crashes, now_us);
	schedulers_follow(c, now_us);
	schedulers_follow_cold(c, now_us);
	schedulers_follow_parts(c, now_us);
	limits_follow(c, now_us);
	signals_process_tick(c->signals);
	g_hash_table_iter_init(&it, c->services);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		if (now_us >= ((Service *)value)->next_holds_us)
			schedulers_tell_holds(c, value, now_us);
		schedulers_record(value, now_us);
	}
	cluster_drain_inbox(c);
	cluster_watch_waiting(c);
	log_flush();
}

/* Logs what many changes of members have come to. */
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

/* Sets whether callers are to be sent here. */
static void set_ready_(Cluster *c, bool ready)
{
	const Gate *g = c->gate;

	bh__members_set_self(c->members, g->leaving_since_us != 0,
						 ready && g->routing ? bh__routing_get_version(g->routing) : 0,
						 g_hash_table_size(g->calls));
}

/* Looks often while asks wait, and not at all otherwise. */
void cluster_watch_waiting(Cluster *c)
{
	struct timeval soon = {0, WAITING_TICK_MS * 1000};
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, c->services);
	if (evtimer_pending(c->waiting_tick, NULL))
		return;
	if (!g_queue_is_empty(&c->early))
		evtimer_add(c->waiting_tick, &soon);
	while (g_hash_table_iter_next(&it, NULL, &value))
		if (bh__planner_is_waiting(((Service *)value)->planner))
			evtimer_add(c->waiting_tick, &soon);
}

static void on_waiting_tick_(evutil_socket_t fd, short what, void *arg)
{
	Cluster *c = arg;
	GHashTableIter it;
	gpointer value;

	(void)fd;
	(void)what;
	schedulers_process_early(c, clock_now_us());
	g_hash_table_iter_init(&it, c->services);
	while (g_hash_table_iter_next(&it, NULL, &value))
		bh__planner_process_tick(((Service *)value)->planner, clock_now_us());
	cluster_drain_inbox(c);
	cluster_watch_waiting(c);
}

/* Sends a message to a node; one to this node waits in the inbox until the current work is done. */
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

void cluster_drain_inbox(Cluster *c)
{
	BH__Message *m;

	if (c->draining)
		return;
	c->draining = true;
	while ((m = g_queue_pop_head(&c->inbox))) {
		dispatch_(c, m);
		g_free(m);
	}
	c->draining = false;
}

static void dispatch_(Cluster *c, const BH__Message *m)
{
	uint64_t now_us = clock_now_us();

	schedulers_hear(c, m->from_node);
	if (crashes_process_message(c->gate->crashes, m, now_us))
		return;
	if (signals_process_message(c->signals, m) || limits_process_message(c, m, now_us))
		return;
	if (bh__members_process_message(c->members, m, now_us)) {
		schedulers_follow(c, now_us);
		return;
	}
	switch (m->type) {
	case BH__MESSAGE_ASK:
		schedulers_process_ask(c, &m->as.ask, now_us);
		break;
	case BH__MESSAGE_GRANT:
		schedulers_take_grant(c, &m->as.grant, m->from_node);
		break;
	case BH__MESSAGE_REFUSE:
		schedulers_take_refusal(c, m->as.refuse.ask_id, m->as.refuse.reason, m->as.refuse.retry_after_ms);
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
		bh__platform_sync_process_ask(looks_get(c->gate->looks), m, now_us);
		break;
	case BH__MESSAGE_SYNC:
		bh__platform_sync_process_answer(looks_get(c->gate->looks), m, now_us);
		break;
	case BH__MESSAGE_READER:
		bh__platform_sync_process_reader(looks_get(c->gate->looks), m, now_us);
		break;
	default:
		break;
	}
}

/* Tells the others that this node leaves, and gives up its duties. */
void cluster_leave(Cluster *c, uint64_t now_us)
{
	set_ready_(c, false);
	schedulers_follow(c, now_us); /* what this node knows goes out before the others ask another */
	bh__members_announce(c->members);
	cluster_drain_inbox(c);
}
