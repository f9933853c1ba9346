/* SPDX-License-Identifier: BSD-3-Clause */
/* The nodes' work together. Membership follows from probes among the nodes; each service with engines is
 * scheduled by the node with the highest rendezvous weight for it. A node asks that one where a request is to
 * go, tells it of first events and ends, and decides alone when it does not answer. Every node has a planner
 * for each service, which knows what the node itself uses; the scheduler's knows what all use. */
#include "gate.h"

#include <string.h>
#include "bayhoist/hash.h"
#include "bayhoist/silence.h"
#include "clock.h"
#include "log.h"

#define MEMBERS_TICK_MS 100
#define WAITING_TICK_MS 10  /* while asks wait in a planner */
#define CAPACITY_PER_MBPS 5 /* thousandths of a core that a Mbit/s goes with */
#define HOLDS_PERIOD_US (2 * BH__SECOND_US)

/* One service with engines. */
typedef struct {
	BH__PlannerPort port; /* first: the planner hands it back */
	Cluster *cluster;
	char service[BH__NAME_LEN];
	BH__Planner *planner;
	uint64_t scheduler;      /* node */
	uint64_t scheduler_boot; /* its life, as far as it was told what this node holds */
	uint64_t next_holds_us;
	bool held;           /* something was told of at the last time */
	BH__Silence silence; /* of the scheduler */
} Service;

struct Cluster {
	BH__MembersPort port; /* first: membership hands it back */
	Gate *gate;
	BH__Members *members;
	Peers *peers;
	GHashTable *services; /* Service by name */
	GHashTable *by_ask;   /* Call by ask id */
	GQueue inbox;         /* BH__Message to this node itself */
	bool draining;
	uint64_t members_seen;
	uint64_t next_id;
	struct event *tick;
	struct event *waiting_tick;
};

static uint32_t capacity_(const GateSettings *s);
static void members_send_(BH__MembersPort *port, const char *address, BH__Message *m);
static void members_changed_(BH__MembersPort *port, const BH__MemberInfo *info, BH__MemberState old);
static void on_message_(void *cluster, const BH__Message *m);
static void on_unreachable_(void *cluster, const char *address);
static void on_tick_(evutil_socket_t fd, short what, void *arg);
static void on_waiting_tick_(evutil_socket_t fd, short what, void *arg);
static void set_ready_(Cluster *c, bool ready);
static void drain_inbox_(Cluster *c);
static void dispatch_(Cluster *c, const BH__Message *m);
static void process_release_(Cluster *c, const BH__Message *m, uint64_t now_us);
static Service *find_by_pool_(const Cluster *c, uint64_t pool_id);
static Service *add_service_(Cluster *c, const char *name);
static void free_service_(gpointer service);
static void note_unanswered_(Cluster *c, Service *s, uint64_t node_id);
static void hear_(Cluster *c, uint64_t node_id);
static void follow_schedulers_(Cluster *c, uint64_t now_us);
static void move_asks_(Cluster *c, const Service *s);
static void tell_holds_(Cluster *c, Service *s, uint64_t now_us);
static void on_grant_(BH__PlannerPort *port, const BH__Grant *g);
static void on_refuse_(BH__PlannerPort *port, const BH__Ask *ask, BH__Reason reason, uint64_t retry_after_ms);
static void on_queued_(BH__PlannerPort *port, const BH__Ask *ask);
static void on_abandoned_(BH__PlannerPort *port, const BH__Grant *g);
static void on_inspect_(BH__PlannerPort *port, uint64_t endpoint_id);
static void on_pace_(void *inspection, double pace);
static void take_grant_(Cluster *c, const BH__Grant *g, uint64_t from_node);
static void take_refusal_(Cluster *c, uint64_t ask_id, BH__Reason reason, uint64_t retry_after_ms);
static void tell_(Cluster *c, Call *call, BH__MessageType type, BH__ReleaseKind kind,
				  uint64_t failed_endpoint);
static void watch_waiting_(Cluster *c);

/* Returns what this node's VM has for duties: thousandths of a core, or what its network bears of them if
 * that is less. A scheduler of 870 replicas was reckoned at half a core and 100 Mbit/s (docs/CAPACITY.md). */
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
	c->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_service_);
	c->by_ask = g_hash_table_new(g_int64_hash, g_int64_equal);
	g_queue_init(&c->inbox);
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
	g_hash_table_unref(c->by_ask);
	g_hash_table_unref(c->services);
	bh__members_delete(c->members);
	g_free(c);
}

static void free_service_(gpointer service)
{
	Service *s = service;

	bh__planner_delete(s->planner);
	g_free(s);
}

void cluster_add_seed(Cluster *c, const char *peer_address)
{
	bh__members_add_seed(c->members, peer_address);
}

const BH__Members *cluster_get_members(const Cluster *c)
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

	log_event("member", "node=%s state=%s was=%s leaving=%s node_boot=%" G_GINT64_MODIFIER "x", info->name,
			  BH__MemberStateString[info->state], BH__MemberStateString[old], info->leaving ? "yes" : "no",
			  info->boot_id);
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
	drain_inbox_(c);
	watch_waiting_(c);
}

static void on_unreachable_(void *cluster, const char *address)
{
	Cluster *c = cluster;

	for (unsigned i = 1; i < bh__members_get_count(c->members); i++) {
		const BH__MemberInfo *info = bh__members_get(c->members, i);
		if (!strcmp(info->peer_address, address))
			bh__members_process_unreachable(c->members, info->node_id, clock_now_us());
	}
	follow_schedulers_(c, clock_now_us());
	drain_inbox_(c);
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
	looks_process_tick(c->gate->looks, now_us);
	follow_schedulers_(c, now_us);
	g_hash_table_iter_init(&it, c->services);
	while (g_hash_table_iter_next(&it, NULL, &value))
		if (now_us >= ((Service *)value)->next_holds_us)
			tell_holds_(c, value, now_us);
	drain_inbox_(c);
	watch_waiting_(c);
	log_flush();
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
static void watch_waiting_(Cluster *c)
{
	struct timeval soon = {0, WAITING_TICK_MS * 1000};
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, c->services);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		if (!bh__planner_is_waiting(((Service *)value)->planner) || evtimer_pending(c->waiting_tick, NULL))
			continue;
		evtimer_add(c->waiting_tick, &soon);
	}
}

static void on_waiting_tick_(evutil_socket_t fd, short what, void *arg)
{
	Cluster *c = arg;
	GHashTableIter it;
	gpointer value;

	(void)fd;
	(void)what;
	g_hash_table_iter_init(&it, c->services);
	while (g_hash_table_iter_next(&it, NULL, &value))
		bh__planner_process_tick(((Service *)value)->planner, clock_now_us());
	drain_inbox_(c);
	watch_waiting_(c);
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

static void drain_inbox_(Cluster *c)
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

/* A node was heard from. */
static void hear_(Cluster *c, uint64_t node_id)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, c->services);
	while (g_hash_table_iter_next(&it, NULL, &value))
		if (((Service *)value)->scheduler == node_id)
			bh__silence_hear(&((Service *)value)->silence);
}

static void dispatch_(Cluster *c, const BH__Message *m)
{
	uint64_t now_us = clock_now_us();
	Service *s;

	hear_(c, m->from_node);

	if (bh__members_process_message(c->members, m, now_us)) {
		follow_schedulers_(c, now_us);
		return;
	}
	switch (m->type) {
	case BH__MESSAGE_ASK:
		s = find_by_pool_(c, m->as.ask.pool_id);
		if (s)
			bh__planner_process_ask(s->planner, &m->as.ask, now_us);
		break;
	case BH__MESSAGE_GRANT:
		take_grant_(c, &m->as.grant, m->from_node);
		break;
	case BH__MESSAGE_REFUSE:
		take_refusal_(c, m->as.refuse.ask_id, m->as.refuse.reason, m->as.refuse.retry_after_ms);
		break;
	case BH__MESSAGE_QUEUED: {
		Call *call = g_hash_table_lookup(c->by_ask, &m->as.release.grant_id);
		if (call)
			call_on_queued(call);
		break;
	}
	case BH__MESSAGE_RELEASE:
	case BH__MESSAGE_PROGRESS:
	case BH__MESSAGE_WITHDRAW:
		process_release_(c, m, now_us);
		break;
	case BH__MESSAGE_HOLD:
		s = find_by_pool_(c, m->as.hold.pool_id);
		if (s)
			bh__planner_process_hold(s->planner, m->from_node, m->from_boot, m->as.hold.full,
									 m->as.hold.grant, m->as.hold.count, now_us);
		break;
	case BH__MESSAGE_LOOK_ASK:
		looks_process_ask(c->gate->looks, m, now_us);
		break;
	case BH__MESSAGE_LOOK:
		looks_process_answer(c->gate->looks, m, now_us);
		break;
	default:
		break;
	}
}

static void process_release_(Cluster *c, const BH__Message *m, uint64_t now_us)
{
	Service *s = find_by_pool_(c, m->as.release.pool_id);

	if (!s)
		return;
	if (m->type == BH__MESSAGE_RELEASE)
		bh__planner_process_release(s->planner, m->as.release.grant_id, m->as.release.kind,
									m->as.release.failed_endpoint, now_us);
	else if (m->type == BH__MESSAGE_PROGRESS)
		bh__planner_process_progress(s->planner, m->as.release.grant_id, now_us);
	else
		bh__planner_process_withdraw(s->planner, m->as.release.grant_id);
}

static Service *find_by_pool_(const Cluster *c, uint64_t pool_id)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, c->services);
	while (g_hash_table_iter_next(&it, NULL, &value))
		if (bh__planner_get_id(((Service *)value)->planner) == pool_id)
			return value;
	return NULL;
}

static Service *add_service_(Cluster *c, const char *name)
{
	Service *s = g_hash_table_lookup(c->services, name);

	if (s)
		return s;
	s = g_new0(Service, 1);
	s->port = (BH__PlannerPort){.grant = on_grant_,
								.refuse = on_refuse_,
								.queued = on_queued_,
								.abandoned = on_abandoned_,
								.inspect = on_inspect_};
	s->cluster = c;
	g_strlcpy(s->service, name, sizeof s->service);
	s->planner = bh__planner_new(&s->port, bh__hash_name(name), c->gate->boot_id);
	g_hash_table_insert(c->services, s->service, s);
	return s;
}

/* Follows the configuration: each service with engines has a planner. */
void cluster_follow_routing(Cluster *c, uint64_t now_us)
{
	const BH__Routing *r = c->gate->routing;

	for (unsigned i = 0; i < bh__routing_get_service_count(r); i++) {
		const BH__ServiceSpec *spec = bh__routing_get_service(r, i);
		if (spec->is_engine)
			bh__planner_set_model(add_service_(c, spec->name)->planner, &spec->engine);
	}
	cluster_follow_registry(c, now_us);
	follow_schedulers_(c, now_us);
}

/* Sets each planner's engines to the registered ones. */
void cluster_follow_registry(Cluster *c, uint64_t now_us)
{
	BH__Registry *registry = c->gate->registry;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, c->services);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		Service *s = value;
		for (unsigned i = bh__planner_get_engine_count(s->planner); i-- > 0;) {
			BH__PlannerEngine e;
			bh__planner_get_engine(s->planner, i, &e);
			if (!bh__registry_find(registry, e.endpoint_id))
				bh__planner_remove_endpoint(s->planner, e.endpoint_id, now_us);
		}
		for (unsigned i = 0; i < bh__registry_get_count(registry); i++) {
			const BH__RegisteredEndpoint *e = bh__registry_get(registry, i);
			if (!strcmp(e->entry.service, s->service))
				bh__planner_set_endpoint(s->planner, e->endpoint_id,
										 !bh__registered_endpoint_is_usable(e, now_us), now_us);
		}
	}
	drain_inbox_(c);
}

/* Follows membership: which node schedules each service. */
static void follow_schedulers_(Cluster *c, uint64_t now_us)
{
	const BH__MemberInfo *self = bh__members_get_self(c->members);
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, c->services);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		Service *s = value;
		uint64_t was = s->scheduler;
		const BH__MemberInfo *info;
		if (c->members_seen == bh__members_get_version(c->members) && was)
			continue;
		s->scheduler = bh__members_pick(c->members, bh__planner_get_id(s->planner), NULL);
		if (!s->scheduler)
			s->scheduler = self->node_id;
		info = bh__members_find(c->members, s->scheduler);
		if (s->scheduler == was && info && info->boot_id == s->scheduler_boot)
			continue;
		log_event("scheduler", "service=%s node=%s", s->service, info ? info->name : self->name);
		if (was == self->node_id && s->scheduler != was) {
			bh__planner_refuse_all(s->planner, BH__REASON_NODE_LEAVING);
			bh__planner_keep_only(s->planner, self->node_id, now_us);
		}
		bh__silence_hear(&s->silence);
		bh__planner_set_alone(s->planner, s->scheduler != self->node_id);
		tell_holds_(c, s, now_us);
		if (was && s->scheduler != was)
			move_asks_(c, s);
	}
	c->members_seen = bh__members_get_version(c->members);
}

/* Asks that are out go to the scheduler of now. */
static void move_asks_(Cluster *c, const Service *s)
{
	GList *all = g_hash_table_get_values(c->by_ask);

	for (GList *it = all; it; it = it->next) {
		Call *call = it->data;
		if (!strcmp(call_get_place(call)->service, s->service) &&
			call_get_place(call)->asked_node != s->scheduler && g_hash_table_contains(c->gate->calls, call))
			call_on_scheduler_lost(call);
	}
	g_list_free(all);
}

/* Tells a service's scheduler which grants this node holds: whole ones to a scheduler that is new to it. */
static void tell_holds_(Cluster *c, Service *s, uint64_t now_us)
{
	const BH__MemberInfo *info = bh__members_find(c->members, s->scheduler);
	GArray *held = g_array_new(FALSE, FALSE, sizeof(BH__Grant));
	BH__Message m = {.type = BH__MESSAGE_HOLD};
	GHashTableIter it;
	gpointer key;

	s->next_holds_us = now_us + HOLDS_PERIOD_US;
	g_hash_table_iter_init(&it, c->gate->calls);
	while (g_hash_table_iter_next(&it, &key, NULL)) {
		const CallPlace *p = call_get_place(key);
		if (p->grant.grant_id && p->grant.pool_id == bh__planner_get_id(s->planner))
			g_array_append_val(held, p->grant);
	}
	m.as.hold.pool_id = bh__planner_get_id(s->planner);
	m.as.hold.full = info && info->boot_id != s->scheduler_boot;
	m.as.hold.count = held->len;
	m.as.hold.grant = (BH__Grant *)(void *)held->data;
	s->scheduler_boot = info ? info->boot_id : bh__members_get_self(c->members)->boot_id;
	if (info && s->scheduler != bh__members_get_self(c->members)->node_id && (held->len || s->held))
		cluster_send(c, s->scheduler, &m);
	s->held = held->len > 0;
	g_array_unref(held);
}

/* Asks the scheduler of the call's service where it is to go. The answer comes to call.c, maybe before this
 * returns. */
void cluster_ask(Cluster *c, Call *call)
{
	CallPlace *p = call_get_place(call);
	const BH__MemberInfo *self = bh__members_get_self(c->members);
	Service *s = add_service_(c, p->service);

	cluster_drop_ask(c, call);
	p->ask.ask_id = bh__hash_pair(self->boot_id, ++c->next_id);
	p->ask.pool_id = bh__planner_get_id(s->planner);
	p->ask.node_id = self->node_id;
	p->ask.boot_id = self->boot_id;
	p->asked_node = s->scheduler ? s->scheduler : self->node_id;
	g_hash_table_insert(c->by_ask, &p->ask.ask_id, call);
	cluster_ask_again(c, call);
}

/* Sends the ask that is out once more. */
void cluster_ask_again(Cluster *c, Call *call)
{
	CallPlace *p = call_get_place(call);
	BH__Message m = {.type = BH__MESSAGE_ASK};

	if (p->asked_node == bh__members_get_self(c->members)->node_id) {
		cluster_ask_locally(c, call);
		return;
	}
	m.as.ask = p->ask;
	cluster_send(c, p->asked_node, &m);
}

/* A scheduler left an ask unanswered. One that leaves several is suspected at once: the probes of membership
 * take seconds, in which all nodes would decide alone, each as if the engines were its own. */
static void note_unanswered_(Cluster *c, Service *s, uint64_t node_id)
{
	const BH__MemberInfo *info = bh__members_find(c->members, node_id);
	uint64_t now_us = clock_now_us();

	if (node_id != s->scheduler || !bh__silence_note_unanswered(&s->silence, now_us))
		return;
	log_event("scheduler", "what=unanswered service=%s node=%s", s->service, info ? info->name : "");
	bh__members_process_unreachable(c->members, node_id, now_us);
}

/* Lets this node's own planner decide. */
void cluster_ask_locally(Cluster *c, Call *call)
{
	CallPlace *p = call_get_place(call);
	Service *s = add_service_(c, p->service);
	BH__Ask ask = p->ask;

	if (p->asked_node != bh__members_get_self(c->members)->node_id) {
		BH__Message m = {.type = BH__MESSAGE_WITHDRAW};
		note_unanswered_(c, s, p->asked_node);
		m.as.release.pool_id = ask.pool_id;
		m.as.release.grant_id = ask.ask_id;
		cluster_send(c, p->asked_node, &m);
		p->asked_node = bh__members_get_self(c->members)->node_id;
	}
	bh__planner_process_ask(s->planner, &ask, clock_now_us());
	drain_inbox_(c);
	watch_waiting_(c);
}

/* Forgets the ask that is out. */
void cluster_drop_ask(Cluster *c, Call *call)
{
	CallPlace *p = call_get_place(call);
	BH__Message m = {.type = BH__MESSAGE_WITHDRAW};
	uint64_t ask_id = p->ask.ask_id;

	if (!ask_id || !g_hash_table_remove(c->by_ask, &p->ask.ask_id))
		return;
	m.as.release.pool_id = p->ask.pool_id;
	m.as.release.grant_id = ask_id;
	p->ask.ask_id = 0;
	cluster_send(c, p->asked_node, &m);
	drain_inbox_(c);
}

/* Tells the scheduler that the answer has begun. */
void cluster_tell_progress(Cluster *c, Call *call)
{
	CallPlace *p = call_get_place(call);

	if (!p->grant.grant_id)
		return;
	p->grant.writes = true;
	tell_(c, call, BH__MESSAGE_PROGRESS, BH__RELEASE_DONE, BH__NO_ENDPOINT);
}

/* Gives back the grant that the call holds, if it holds one. */
void cluster_release(Cluster *c, Call *call, BH__ReleaseKind kind, uint64_t failed_endpoint)
{
	CallPlace *p = call_get_place(call);

	if (!p->grant.grant_id)
		return;
	tell_(c, call, BH__MESSAGE_RELEASE, kind, failed_endpoint);
	memset(&p->grant, 0, sizeof p->grant);
}

/* Tells of the call's grant: this node's own planner, the scheduler, and the node that granted it. */
static void tell_(Cluster *c, Call *call, BH__MessageType type, BH__ReleaseKind kind,
				  uint64_t failed_endpoint)
{
	CallPlace *p = call_get_place(call);
	Service *s = add_service_(c, p->service);
	uint64_t self = bh__members_get_self(c->members)->node_id;
	BH__Message m = {.type = type};

	m.as.release.pool_id = p->grant.pool_id;
	m.as.release.grant_id = p->grant.grant_id;
	m.as.release.kind = kind;
	m.as.release.failed_endpoint = failed_endpoint;
	cluster_send(c, self, &m);
	if (s->scheduler != self)
		cluster_send(c, s->scheduler, &m);
	if (p->asked_node != self && p->asked_node != s->scheduler)
		cluster_send(c, p->asked_node, &m);
	drain_inbox_(c);
}

static void on_grant_(BH__PlannerPort *port, const BH__Grant *g)
{
	BH__Message m = {.type = BH__MESSAGE_GRANT};

	m.as.grant = *g;
	cluster_send(((Service *)port)->cluster, g->node_id, &m);
}

static void on_refuse_(BH__PlannerPort *port, const BH__Ask *ask, BH__Reason reason, uint64_t retry_after_ms)
{
	BH__Message m = {.type = BH__MESSAGE_REFUSE};

	m.as.refuse.ask_id = ask->ask_id;
	m.as.refuse.pool_id = ask->pool_id;
	m.as.refuse.reason = reason;
	m.as.refuse.retry_after_ms = retry_after_ms;
	cluster_send(((Service *)port)->cluster, ask->node_id, &m);
}

static void on_queued_(BH__PlannerPort *port, const BH__Ask *ask)
{
	BH__Message m = {.type = BH__MESSAGE_QUEUED};

	m.as.release.pool_id = ask->pool_id;
	m.as.release.grant_id = ask->ask_id;
	cluster_send(((Service *)port)->cluster, ask->node_id, &m);
}

static void on_abandoned_(BH__PlannerPort *port, const BH__Grant *g)
{
	memory_free_abandoned(((Service *)port)->cluster->gate, g);
}

/* An engine whose report was asked for. */
typedef struct {
	Cluster *cluster;
	uint64_t pool_id;
	uint64_t endpoint_id;
} Inspection;

static void on_inspect_(BH__PlannerPort *port, uint64_t endpoint_id)
{
	Service *s = (Service *)port;
	Gate *g = s->cluster->gate;
	const BH__RegisteredEndpoint *e = bh__registry_find(g->registry, endpoint_id);
	Inspection *i;

	if (!e || s->scheduler != bh__members_get_self(s->cluster->members)->node_id)
		return;
	i = g_new0(Inspection, 1);
	i->cluster = s->cluster;
	i->pool_id = bh__planner_get_id(s->planner);
	i->endpoint_id = endpoint_id;
	g->port->report(g, e->entry.address, on_pace_, i);
}

static void on_pace_(void *inspection, double pace)
{
	Inspection *i = inspection;
	Service *s = find_by_pool_(i->cluster, i->pool_id);

	if (s && pace > 0) {
		if (pace > 1)
			log_event("engine", "endpoint=%016" G_GINT64_MODIFIER "x pace=%.2f", i->endpoint_id, pace);
		bh__planner_process_pace(s->planner, i->endpoint_id, pace, clock_now_us());
	}
	g_free(i);
}

/* Takes a grant for a call. One that nobody waits for is given back. */
static void take_grant_(Cluster *c, const BH__Grant *g, uint64_t from_node)
{
	Call *call = g_hash_table_lookup(c->by_ask, &g->ask_id);
	Service *s = find_by_pool_(c, g->pool_id);
	CallPlace *p;

	if (!call) {
		BH__Message m = {.type = BH__MESSAGE_RELEASE};
		m.as.release.pool_id = g->pool_id;
		m.as.release.grant_id = g->grant_id;
		m.as.release.kind = BH__RELEASE_UNUSED;
		cluster_send(c, from_node, &m);
		return;
	}
	p = call_get_place(call);
	g_hash_table_remove(c->by_ask, &p->ask.ask_id);
	p->ask.ask_id = 0;
	p->grant = *g;
	p->asked_node = from_node;
	if (s)
		bh__planner_process_note(s->planner, g, clock_now_us());
	call_on_grant(call);
}

static void take_refusal_(Cluster *c, uint64_t ask_id, BH__Reason reason, uint64_t retry_after_ms)
{
	Call *call = g_hash_table_lookup(c->by_ask, &ask_id);

	if (!call)
		return;
	g_hash_table_remove(c->by_ask, &call_get_place(call)->ask.ask_id);
	call_get_place(call)->ask.ask_id = 0;
	call_on_refuse(call, reason, retry_after_ms);
}

/* Tells the others that this node leaves, and gives up its duties. */
void cluster_leave(Cluster *c, uint64_t now_us)
{
	set_ready_(c, false);
	bh__members_announce(c->members);
	follow_schedulers_(c, now_us);
	drain_inbox_(c);
}

/* Writes what the planners believe, as metrics. */
void cluster_write_status(const Cluster *c, struct evbuffer *out)
{
	const PeersCounters *p = peers_get_counters(c->peers);
	GHashTableIter it;
	gpointer value;

	evbuffer_add_printf(out, "bayhoist_nodes %u\n", cluster_count_nodes(c));
	evbuffer_add_printf(out, "bayhoist_peer_bytes{direction=\"out\"} %" G_GUINT64_FORMAT "\n", p->bytes_out);
	evbuffer_add_printf(out, "bayhoist_peer_bytes{direction=\"in\"} %" G_GUINT64_FORMAT "\n", p->bytes_in);
	g_hash_table_iter_init(&it, c->services);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const Service *s = value;
		const BH__PlannerCounters *k = bh__planner_get_counters(s->planner);
		evbuffer_add_printf(out,
							"bayhoist_planner{service=\"%s\",what=\"grants\"} %" G_GUINT64_FORMAT "\n"
							"bayhoist_planner{service=\"%s\",what=\"helped\"} %" G_GUINT64_FORMAT "\n"
							"bayhoist_planner{service=\"%s\",what=\"queued\"} %" G_GUINT64_FORMAT "\n"
							"bayhoist_planner{service=\"%s\",what=\"refusals\"} %" G_GUINT64_FORMAT "\n"
							"bayhoist_planner{service=\"%s\",what=\"late\"} %" G_GUINT64_FORMAT "\n",
							s->service, k->grants, s->service, k->helped, s->service, k->queued, s->service,
							k->refusals, s->service, k->late);
		for (unsigned i = 0; i < bh__planner_get_engine_count(s->planner); i++) {
			BH__PlannerEngine e;
			bh__planner_get_engine(s->planner, i, &e);
			evbuffer_add_printf(
				out,
				"bayhoist_engine{service=\"%s\",endpoint=\"%" G_GINT64_MODIFIER "x\",what=\"homes\"} %u\n"
				"bayhoist_engine{service=\"%s\",endpoint=\"%" G_GINT64_MODIFIER "x\",what=\"pace\"} %.2f\n",
				s->service, e.endpoint_id, e.homes, s->service, e.endpoint_id, e.pace);
		}
	}
}
