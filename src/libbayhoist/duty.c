/* SPDX-License-Identifier: BSD-3-Clause */
/* The pools that this node schedules. The members alone determine which node schedules a pool. A node whose
 * local view of them is wrong for a while does no harm: engines refuse what does not fit, and their reports
 * show the attempts of another scheduler. */
#include "node_internal.h"

#include <string.h>
#include "bayhoist/hash.h"

#define POLL_PERIOD_US_ (250 * BH__MS_US)       /* between load reports of an engine */
#define ATTEMPTS_PERIOD_US_ (2 * BH__SECOND_US) /* between load reports with a list of attempts */
#define DIGEST_PERIOD_US_ (100 * BH__MS_US)
#define SERVICE_KV_BYTES_ (UINT64_C(1) << 40) /* memory assumed for an endpoint of a plain service */

static void start_duty_(BH__Node *n, BH__Route *route);
static void add_adapters_(const BH__Node *n, const BH__Resource *endpoint, BH__PoolEndpoint *pe);
static void poll_(BH__Node *n, BH__Duty *d);
static void report_service_(BH__Duty *d, uint64_t endpoint_id, uint64_t now_us);
static void on_grant_(BH__PoolPort *port, const BH__Grant *g);
static void on_refuse_(BH__PoolPort *port, const BH__Ask *ask, BH__Reason reason, uint64_t retry_after_ms);
static void on_orphan_(BH__PoolPort *port, uint64_t endpoint_id, uint64_t attempt_id, uint64_t owner_node,
					   uint64_t owner_boot);
static BH__Node *get_node_(BH__PoolPort *port);

/* Sets the callbacks by which the pools of this node send their decisions. */
void bh__duties_init_port(BH__Node *n)
{
	n->pool_port.grant = on_grant_;
	n->pool_port.refuse = on_refuse_;
	n->pool_port.orphan = on_orphan_;
}

/* Returns the node that a pool port is a field of. */
static BH__Node *get_node_(BH__PoolPort *port)
{
	return (BH__Node *)(void *)((char *)port - offsetof(BH__Node, pool_port));
}

/* Returns this node's duty for a pool, or NULL if another node schedules it. */
BH__Duty *bh__duties_find(const BH__Node *n, uint64_t pool_id)
{
	return g_hash_table_lookup(n->duties, &pool_id);
}

/* Frees a duty and its pool. */
void bh__duties_free(gpointer duty)
{
	BH__Duty *d = duty;
	bh__pool_delete(d->pool);
	g_free(d);
}

/* Applies a change of members or configuration: starts scheduling the pools that are now this node's, stops
 * scheduling those that no longer are, whose waiting requests it refuses, and reloads the endpoints of the
 * others. */
void bh__duties_apply(BH__Node *n)
{
	for (unsigned i = 0; i < bh__routes_get_count(n->routes); i++) {
		BH__Route *route = bh__routes_get(n->routes, i);
		bool mine = bh__route_get_scheduler(route, n->members) == n->options.self.node_id;
		BH__Duty *d = bh__duties_find(n, route->pool_id);
		if (mine && !d) {
			start_duty_(n, route);
		}
		else if (!mine && d) {
			bh__node_event(n, BH__EVENT_DUTY, 0, 0, route->hall, "give-up", 0);
			bh__pool_refuse_all(d->pool, BH__REASON_NODE_LEAVING);
			g_hash_table_remove(n->duties, &route->pool_id);
		}
		else if (mine) {
			bh__duties_load_endpoints(n, d);
		}
	}
}

/* Starts to schedule the pool of a route, and polls its engines at once. */
static void start_duty_(BH__Node *n, BH__Route *route)
{
	BH__Duty *d = g_new0(BH__Duty, 1);

	d->pool_id = route->pool_id;
	d->pool = bh__pool_new(&n->pool_port, d->pool_id, bh__node_new_id(n), g_rand_int(n->rand));
	g_hash_table_insert(n->duties, &d->pool_id, d);
	bh__node_event(n, BH__EVENT_DUTY, 0, 0, route->hall, "take-up", 0);
	route->grants_notified_boot = 0; /* so that the new pool is notified of this node's own grants */
	bh__duties_load_endpoints(n, d);
	poll_(n, d);
}

/* Sets the policy of a duty's pool, and its endpoints to those of the configuration and the VM list. */
void bh__duties_load_endpoints(BH__Node *n, BH__Duty *d)
{
	const BH__Catalog *c = bh__config_get_catalog(n->config);
	const GPtrArray *all = bh__catalog_get_all(c, BH__KIND_ENDPOINT);

	bh__pool_set_policy(d->pool, bh__catalog_get_policy(c));
	for (guint i = 0; i < all->len; i++) {
		const BH__Resource *r = g_ptr_array_index(all, i);
		const BH__Endpoint *e = &r->as.endpoint;
		const BH__Resource *role =
			e->role[0] ? bh__catalog_find(c, BH__KIND_ROLE, bh__hash_name(e->role)) : NULL;
		BH__PoolEndpoint pe = {.endpoint_id = r->id,
							   .kv_bytes = e->kv_bytes,
							   .max_streams = (uint32_t)e->max_streams,
							   .serves_short = !role || role->as.role.serves_short,
							   .serves_long = !role || role->as.role.serves_long,
							   .leaving = bh__node_endpoint_is_leaving(n, r),
							   .ready = bh__orders_is_ready(n, r)};
		add_adapters_(n, r, &pe);
		if (e->pool_id == d->pool_id)
			bh__pool_set_endpoint(d->pool, &pe, n->now_us);
		else
			bh__pool_remove_endpoint(d->pool, r->id);
	}
}

/* Adds to `pe` those of the endpoint's configured adapters that it reports as loaded, BH__ADAPTERS_MAX at
 * most. */
static void add_adapters_(const BH__Node *n, const BH__Resource *endpoint, BH__PoolEndpoint *pe)
{
	const char *const *loaded = bh__orders_get_loaded(n, endpoint->id);

	for (char **a = endpoint->as.endpoint.adapters; a && *a && pe->adapter_count < BH__ADAPTERS_MAX; a++)
		if (loaded && g_strv_contains(loaded, *a))
			pe->adapter[pe->adapter_count++] = bh__hash_name(*a);
}

/* Runs the timers of the duties: the pools' own, the polls of engines and the digests of pools. */
void bh__duties_process_tick(BH__Node *n)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, n->duties);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		BH__Duty *d = value;
		bh__pool_process_tick(d->pool, n->now_us);
		if (n->now_us >= d->next_poll_us)
			poll_(n, d);
		if (n->now_us >= d->next_digest_us) {
			BH__PoolDigest digest;
			d->next_digest_us = n->now_us + DIGEST_PERIOD_US_;
			bh__pool_get_digest(d->pool, &digest, n->now_us);
			digest.node_id = n->options.self.node_id;
			bh__routes_update_digest(n->routes, &digest, n->now_us);
		}
	}
}

/* Requests load reports from the engines of a pool, every ATTEMPTS_PERIOD_US_ with their attempts. Endpoints
 * of plain services have no load report: they count as reachable until a call fails, and again from the next
 * poll. */
static void poll_(BH__Node *n, BH__Duty *d)
{
	const BH__Catalog *c = bh__config_get_catalog(n->config);
	const GPtrArray *all = bh__catalog_get_all(c, BH__KIND_ENDPOINT);

	bool with_attempts = n->now_us >= d->next_attempts_poll_us;

	d->next_poll_us = n->now_us + POLL_PERIOD_US_;
	if (with_attempts)
		d->next_attempts_poll_us = n->now_us + ATTEMPTS_PERIOD_US_;
	for (guint i = 0; i < all->len; i++) {
		const BH__Resource *r = g_ptr_array_index(all, i);
		const BH__Resource *model;
		if (r->as.endpoint.pool_id != d->pool_id)
			continue;
		model = bh__catalog_find(c, BH__KIND_MODEL, bh__hash_name(r->as.endpoint.model));
		if (model && model->as.model.service)
			report_service_(d, r->id, n->now_us);
		else
			n->ports->endpoint_poll(n->ports, r->id, bh__pool_get_cache_sequence(d->pool, r->id),
									with_attempts);
	}
}

/* Gives the pool a made-up load report of a plain service's endpoint: reachable, without attempts, and with
 * memory and speed that never limit it. */
static void report_service_(BH__Duty *d, uint64_t endpoint_id, uint64_t now_us)
{
	BH__LoadReport report = {.endpoint_id = endpoint_id,
							 .reachable = true,
							 .has_attempts = true,
							 .boot_id = 1,
							 .kv_total_bytes = SERVICE_KV_BYTES_,
							 .prefill_tokens_per_s = 1000000000};
	bh__pool_process_report(d->pool, &report, now_us);
}

/* Sends a grant to the node that asked for it. */
static void on_grant_(BH__PoolPort *port, const BH__Grant *g)
{
	BH__Message m = {.type = BH__MESSAGE_GRANT};
	m.as.grant = *g;
	bh__node_send(get_node_(port), g->node_id, &m);
}

/* Sends a refusal to the node whose admission request it answers. */
static void on_refuse_(BH__PoolPort *port, const BH__Ask *ask, BH__Reason reason, uint64_t retry_after_ms)
{
	BH__Message m = {.type = BH__MESSAGE_REFUSE};
	m.as.refuse.ask_id = ask->ask_id;
	m.as.refuse.pool_id = ask->pool_id;
	m.as.refuse.reason = reason;
	m.as.refuse.retry_after_ms = retry_after_ms;
	bh__node_send(get_node_(port), ask->node_id, &m);
}

/* Processes an attempt that holds engine memory without a grant. Its owner decides what to do with it; if
 * that boot of the owner is over, nobody waits for the answer, and the attempt is cancelled. */
static void on_orphan_(BH__PoolPort *port, uint64_t endpoint_id, uint64_t attempt_id, uint64_t owner_node,
					   uint64_t owner_boot)
{
	BH__Node *n = get_node_(port);
	const BH__MemberInfo *owner = bh__members_find(n->members, owner_node);
	BH__Message m = {.type = BH__MESSAGE_ORPHAN};

	if (!owner || owner->state == BH__MEMBER_DEAD || owner->boot_id != owner_boot) {
		bh__duties_process_orphan(n, endpoint_id, attempt_id);
		return;
	}
	m.as.orphan.endpoint_id = endpoint_id;
	m.as.orphan.attempt_id = attempt_id;
	bh__node_send(n, owner_node, &m);
}

/* Cancels an orphaned attempt at its endpoint, which frees the memory that it holds. */
void bh__duties_process_orphan(BH__Node *n, uint64_t endpoint_id, uint64_t attempt_id)
{
	n->counters.orphans_cancelled++;
	bh__node_event(n, BH__EVENT_ORPHAN, 0, attempt_id, bh__node_get_endpoint_name(n, endpoint_id),
				   "cancelled", 0);
	n->ports->attempt_cancel(n->ports, attempt_id, endpoint_id);
}
