/* SPDX-License-Identifier: BSD-3-Clause */
/* The pools that this node schedules. Which node schedules a pool follows from membership alone; a node that
 * believes wrongly for a while does no harm, since engines refuse what does not fit and attempts of another
 * scheduler show in their reports. */
#include "node_internal.h"

#include <string.h>
#include "bayhoist/hash.h"

#define POLL_US_ (250 * BH__MS_US)
#define LIST_US_ (2 * BH__SECOND_US) /* between lists of attempts */
#define DIGEST_US_ (100 * BH__MS_US)
#define SERVICE_KV_BYTES_ (UINT64_C(1) << 40)

static void take_up_(BH__Node *n, BH__Route *route);
static void add_adapters_(const BH__Node *n, const BH__Resource *endpoint, BH__PoolEndpoint *pe);
static void poll_(BH__Node *n, BH__Duty *d);
static void report_service_(BH__Duty *d, uint64_t endpoint_id, uint64_t now_us);
static void on_grant_(BH__PoolPort *port, const BH__Grant *g);
static void on_refuse_(BH__PoolPort *port, const BH__Ask *ask, BH__Reason reason, uint64_t retry_after_ms);
static void on_orphan_(BH__PoolPort *port, uint64_t endpoint_id, uint64_t attempt_id, uint64_t owner_node,
					   uint64_t owner_boot);
static BH__Node *of_pool_port_(BH__PoolPort *port);

void bh__duties_init_port(BH__Node *n)
{
	n->pool_port.grant = on_grant_;
	n->pool_port.refuse = on_refuse_;
	n->pool_port.orphan = on_orphan_;
}

static BH__Node *of_pool_port_(BH__PoolPort *port)
{
	return (BH__Node *)(void *)((char *)port - offsetof(BH__Node, pool_port));
}

BH__Duty *bh__duties_find(const BH__Node *n, uint64_t pool_id)
{
	return g_hash_table_lookup(n->duties, &pool_id);
}

void bh__duties_free(gpointer duty)
{
	BH__Duty *d = duty;
	bh__pool_delete(d->pool);
	g_free(d);
}

/* Takes up and gives up pools as membership and configuration say. */
void bh__duties_apply(BH__Node *n)
{
	for (unsigned i = 0; i < bh__routes_get_count(n->routes); i++) {
		BH__Route *route = bh__routes_get(n->routes, i);
		bool mine = bh__route_get_scheduler(route, n->members) == n->options.self.node_id;
		BH__Duty *d = bh__duties_find(n, route->pool_id);
		if (mine && !d) {
			take_up_(n, route);
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

static void take_up_(BH__Node *n, BH__Route *route)
{
	BH__Duty *d = g_new0(BH__Duty, 1);

	d->pool_id = route->pool_id;
	d->pool = bh__pool_new(&n->pool_port, d->pool_id, bh__node_new_id(n), g_rand_int(n->rand));
	g_hash_table_insert(n->duties, &d->pool_id, d);
	bh__node_event(n, BH__EVENT_DUTY, 0, 0, route->hall, "take-up", 0);
	route->held_to_boot = 0; /* our own grants are told to the new pool */
	bh__duties_load_endpoints(n, d);
	poll_(n, d);
}

/* Sets a pool's endpoints to those of the configuration and the VM list. */
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

/* Fills in the adapters that an endpoint holds, of those that it should. */
static void add_adapters_(const BH__Node *n, const BH__Resource *endpoint, BH__PoolEndpoint *pe)
{
	const char *const *loaded = bh__orders_get_loaded(n, endpoint->id);

	for (char **a = endpoint->as.endpoint.adapters; a && *a && pe->adapter_count < BH__ADAPTERS_MAX; a++)
		if (loaded && g_strv_contains(loaded, *a))
			pe->adapter[pe->adapter_count++] = bh__hash_name(*a);
}

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
			d->next_digest_us = n->now_us + DIGEST_US_;
			bh__pool_get_digest(d->pool, &digest, n->now_us);
			digest.node_id = n->options.self.node_id;
			bh__routes_take_digest(n->routes, &digest, n->now_us);
		}
	}
}

/* Asks the pool's engines for their load. Plain services have no report: they count as there until a call
 * fails, and again a poll later. */
static void poll_(BH__Node *n, BH__Duty *d)
{
	const BH__Catalog *c = bh__config_get_catalog(n->config);
	const GPtrArray *all = bh__catalog_get_all(c, BH__KIND_ENDPOINT);

	bool with_attempts = n->now_us >= d->next_list_us;

	d->next_poll_us = n->now_us + POLL_US_;
	if (with_attempts)
		d->next_list_us = n->now_us + LIST_US_;
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

static void on_grant_(BH__PoolPort *port, const BH__Grant *g)
{
	BH__Message m = {.type = BH__MESSAGE_GRANT};
	m.as.grant = *g;
	bh__node_send(of_pool_port_(port), g->node_id, &m);
}

static void on_refuse_(BH__PoolPort *port, const BH__Ask *ask, BH__Reason reason, uint64_t retry_after_ms)
{
	BH__Message m = {.type = BH__MESSAGE_REFUSE};
	m.as.refuse.ask_id = ask->ask_id;
	m.as.refuse.pool_id = ask->pool_id;
	m.as.refuse.reason = reason;
	m.as.refuse.retry_after_ms = retry_after_ms;
	bh__node_send(of_pool_port_(port), ask->node_id, &m);
}

/* Memory is held for an attempt that no ledger knows. Its owner knows best; if that life is over, nobody
 * wants the answer. */
static void on_orphan_(BH__PoolPort *port, uint64_t endpoint_id, uint64_t attempt_id, uint64_t owner_node,
					   uint64_t owner_boot)
{
	BH__Node *n = of_pool_port_(port);
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

/* Frees memory that an endpoint holds for an attempt which nobody wants. */
void bh__duties_process_orphan(BH__Node *n, uint64_t endpoint_id, uint64_t attempt_id)
{
	n->counters.orphans_cancelled++;
	bh__node_event(n, BH__EVENT_ORPHAN, 0, attempt_id, bh__node_get_endpoint_name(n, endpoint_id),
				   "cancelled", 0);
	n->ports->attempt_cancel(n->ports, attempt_id, endpoint_id);
}
