/* SPDX-License-Identifier: BSD-3-Clause */
/* Orders to endpoints to load a version or an adapter that the configuration asks for. The holder of a lease
 * in the store, one lease per pool, sends them with the revision of the lease key as fencing token. By its
 * own clock it stops LEASE_MARGIN_US_ before the lease can expire. To an endpoint that does not check the
 * token it sends orders only when those of an earlier holder can no longer be in flight. It sends an order
 * only if the endpoint reports that it lacks what its configuration names. One endpoint of a pool is changed
 * at a time, and only while it has no streams. */
#include "node_internal.h"

#include <string.h>
#include "bayhoist/hash.h"

#define LEASE_TTL_S_ 10
#define LEASE_MARGIN_US_ (2 * BH__SECOND_US)      /* the holder stops this long before the lease can expire */
#define LEASE_RENEW_US_ (3 * BH__SECOND_US)       /* between renewals */
#define CAMPAIGN_DELAY_US_ (1 * BH__SECOND_US)    /* before the next campaign, plus up to as much at random */
#define ORDER_MAX_TRANSIT_US_ (3 * BH__SECOND_US) /* longest time that an order may be in flight */
#define ORDER_TIMEOUT_US_ (30 * BH__SECOND_US)    /* an order without effect is repeated after this */

/* What an endpoint reports as loaded. */
typedef struct {
	uint64_t endpoint_id;
	char **loaded; /* names of versions and adapters, NULL at the end */
} Loaded_;

/* The state of a lease: none, asked of the store, its key being claimed, held. */
typedef enum { LEASE_NONE_, LEASE_GRANTING_, LEASE_CLAIMING_, LEASE_HELD_ } LeaseState_;

/* The lease of one pool and the order in progress. */
typedef struct {
	BH__Node *node;
	uint64_t pool_id;
	LeaseState_ state;
	int64_t lease_id;        /* in the store */
	uint64_t fence;          /* fencing token: the revision of the lease key */
	uint64_t called_us;      /* when the last grant or renewal was requested */
	uint64_t valid_until_us; /* when the holder stops, LEASE_MARGIN_US_ before expiry */
	uint64_t held_since_us;
	uint64_t next_campaign_us; /* earliest time of the next campaign */
	bool renewing;             /* a renewal has no reply yet */
	uint64_t endpoint_id;      /* endpoint being changed; 0: none */
	uint64_t target_id;        /* hash of the name of what it is to load */
	uint64_t ordered_us;       /* when the order was sent; 0: not yet */
} Lease_;

struct BH__Orders {
	GHashTable *loaded; /* Loaded_ by endpoint id */
	GHashTable *leases; /* Lease_ by pool id */
};

static void free_loaded_(gpointer loaded);
static void free_lease_(gpointer lease);
static const char *find_missing_(const BH__Node *n, const BH__Resource *endpoint);
static bool has_loaded_(const BH__Node *n, uint64_t endpoint_id, const char *name);
static const BH__Resource *find_outdated_endpoint_(BH__Node *n, uint64_t pool_id);
static Lease_ *get_lease_(BH__Node *n, uint64_t pool_id);
static void campaign_(Lease_ *l);
static void on_lease_granted_(void *owner, const BH__StoreReply *reply, uint64_t now_us);
static void on_claimed_(void *owner, const BH__StoreReply *reply, uint64_t now_us);
static void renew_(Lease_ *l);
static void on_renewed_(void *owner, const BH__StoreReply *reply, uint64_t now_us);
static void drop_lease_(Lease_ *l, const char *reason);
static void advance_change_(Lease_ *l, const BH__Resource *endpoint);

/* Returns an empty table of leases and reports. The caller frees it with bh__orders_delete(). */
BH__Orders *bh__orders_new(void)
{
	BH__Orders *o = g_new0(BH__Orders, 1);
	o->loaded = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_loaded_);
	o->leases = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_lease_);
	return o;
}

/* Frees the table. Leases that are held expire in the store. */
void bh__orders_delete(BH__Orders *o)
{
	g_hash_table_unref(o->loaded);
	g_hash_table_unref(o->leases);
	g_free(o);
}

/* Frees a Loaded_. */
static void free_loaded_(gpointer loaded)
{
	g_strfreev(((Loaded_ *)loaded)->loaded);
	g_free(loaded);
}

/* Frees a Lease_ and cancels the replies that it waits for. */
static void free_lease_(gpointer lease)
{
	bh__store_cancel_callbacks(((Lease_ *)lease)->node->store, lease);
	g_free(lease);
}

/* Records what a reachable endpoint reports as loaded. After a change, reloads the endpoints of its pool if
 * this node schedules it. */
void bh__orders_process_report(BH__Node *n, const BH__LoadReport *r, const char *const *loaded)
{
	const BH__Resource *e =
		bh__catalog_find(bh__config_get_catalog(n->config), BH__KIND_ENDPOINT, r->endpoint_id);
	BH__Duty *d = e ? bh__duties_find(n, e->as.endpoint.pool_id) : NULL;
	const Loaded_ *old = g_hash_table_lookup(n->orders->loaded, &r->endpoint_id);
	Loaded_ *l;

	if (!r->reachable || (old && g_strv_equal((const char *const *)old->loaded, loaded)))
		return;
	l = g_new0(Loaded_, 1);
	l->endpoint_id = r->endpoint_id;
	l->loaded = g_strdupv((char **)loaded);
	g_hash_table_replace(n->orders->loaded, &l->endpoint_id, l);
	if (d)
		bh__duties_load_endpoints(n, d);
}

/* Returns the names of what an endpoint has loaded, NULL at the end, or NULL before its first report. */
const char *const *bh__orders_get_loaded(const BH__Node *n, uint64_t endpoint_id)
{
	const Loaded_ *l = g_hash_table_lookup(n->orders->loaded, &endpoint_id);
	return l ? (const char *const *)l->loaded : NULL;
}

/* Returns true if an endpoint reports a version or adapter as loaded. */
static bool has_loaded_(const BH__Node *n, uint64_t endpoint_id, const char *name)
{
	const Loaded_ *l = g_hash_table_lookup(n->orders->loaded, &endpoint_id);
	return l && l->loaded && g_strv_contains((const char *const *)l->loaded, name);
}

/* Returns the name of the first version or adapter that an endpoint should have loaded and has not, or NULL.
 */
static const char *find_missing_(const BH__Node *n, const BH__Resource *endpoint)
{
	const BH__Endpoint *e = &endpoint->as.endpoint;

	if (e->version[0] && !has_loaded_(n, endpoint->id, e->version))
		return e->version;
	for (char **adapter = e->adapters; adapter && *adapter; adapter++)
		if (!has_loaded_(n, endpoint->id, *adapter))
			return *adapter;
	return NULL;
}

/* Returns true if an endpoint may take requests: it has a version loaded and is not being changed, or its
 * configuration names no version. */
bool bh__orders_is_ready(const BH__Node *n, const BH__Resource *endpoint)
{
	uint64_t pool_id = endpoint->as.endpoint.pool_id;
	const Lease_ *l = g_hash_table_lookup(n->orders->leases, &pool_id);
	const Loaded_ *loaded = g_hash_table_lookup(n->orders->loaded, &endpoint->id);

	if (!endpoint->as.endpoint.version[0])
		return true;
	if (l && l->endpoint_id == endpoint->id && find_missing_(n, endpoint))
		return false;
	return loaded && loaded->loaded && loaded->loaded[0];
}

/* Returns an endpoint of a pool that has reported and lacks something of its configuration, or NULL. */
static const BH__Resource *find_outdated_endpoint_(BH__Node *n, uint64_t pool_id)
{
	const GPtrArray *all = bh__catalog_get_all(bh__config_get_catalog(n->config), BH__KIND_ENDPOINT);

	for (guint i = 0; i < all->len; i++) {
		const BH__Resource *r = g_ptr_array_index(all, i);
		if (r->as.endpoint.pool_id == pool_id && g_hash_table_contains(n->orders->loaded, &r->id) &&
			find_missing_(n, r))
			return r;
	}
	return NULL;
}

/* Returns the lease record of a pool; makes one if there is none. */
static Lease_ *get_lease_(BH__Node *n, uint64_t pool_id)
{
	Lease_ *l = g_hash_table_lookup(n->orders->leases, &pool_id);

	if (!l) {
		l = g_new0(Lease_, 1);
		l->node = n;
		l->pool_id = pool_id;
		g_hash_table_insert(n->orders->leases, &l->pool_id, l);
	}
	return l;
}

/* For each pool that this node schedules and that has an outdated endpoint: obtains the lease, renews it, and
 * orders one change at a time. */
void bh__orders_process_tick(BH__Node *n)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, n->duties);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const BH__Duty *d = value;
		const BH__Resource *endpoint = find_outdated_endpoint_(n, d->pool_id);
		Lease_ *l = g_hash_table_lookup(n->orders->leases, &d->pool_id);

		if (!endpoint) {
			if (l && l->endpoint_id != BH__NO_ENDPOINT) {
				l->endpoint_id = BH__NO_ENDPOINT;
				bh__duties_load_endpoints(n, (BH__Duty *)d);
			}
			continue; /* the lease is no longer renewed and expires */
		}
		l = get_lease_(n, d->pool_id);
		if (l->state == LEASE_HELD_ && n->now_us >= l->valid_until_us)
			drop_lease_(l, "lease-lapsed");
		if (l->state == LEASE_NONE_ && n->now_us >= l->next_campaign_us)
			campaign_(l);
		if (l->state != LEASE_HELD_)
			continue;
		if (!l->renewing && n->now_us >= l->called_us + LEASE_RENEW_US_)
			renew_(l);
		advance_change_(l, endpoint);
	}
}

/* Requests a lease from the store, the first of two steps of a campaign for a pool. */
static void campaign_(Lease_ *l)
{
	BH__StoreCall call = {.op = BH__STORE_LEASE_GRANT, .ttl_s = LEASE_TTL_S_};

	l->state = LEASE_GRANTING_;
	l->called_us = l->node->now_us;
	bh__store_call(l->node->store, &call, on_lease_granted_, l, l->node->now_us);
}

/* Processes the store's reply to the request for a lease: claims the key of the pool under it. */
static void on_lease_granted_(void *owner, const BH__StoreReply *reply, uint64_t now_us)
{
	Lease_ *l = owner;
	const BH__MemberInfo *self = bh__members_get_self(l->node->members);
	char key[64];
	BH__StoreCall call = {
		.op = BH__STORE_CAS, .key = key, .value = self->name, .value_len = strlen(self->name)};

	if (reply->status != BH__STORE_OK) {
		drop_lease_(l, "lease-not-granted");
		return;
	}
	l->lease_id = reply->lease_id;
	l->state = LEASE_CLAIMING_;
	call.lease_id = l->lease_id;
	g_snprintf(key, sizeof key, "/bayhoist/order/%016" G_GINT64_MODIFIER "x", l->pool_id);
	bh__store_call(l->node->store, &call, on_claimed_, l, now_us);
}

/* Processes the store's reply to the claim of the key. A claim without a reply may have taken effect: the key
 * then expires with its lease, which is not renewed. The time of validity counts from the request for the
 * lease. */
static void on_claimed_(void *owner, const BH__StoreReply *reply, uint64_t now_us)
{
	Lease_ *l = owner;

	if (reply->status != BH__STORE_OK) {
		drop_lease_(l, "lease-taken");
		return;
	}
	l->state = LEASE_HELD_;
	l->fence = reply->mod_revision;
	l->held_since_us = now_us;
	l->valid_until_us = l->called_us + LEASE_TTL_S_ * BH__SECOND_US - LEASE_MARGIN_US_;
	l->endpoint_id = BH__NO_ENDPOINT;
	bh__node_event(l->node, BH__EVENT_ORDER, 0, 0, NULL, "lease-held", l->fence);
}

/* Requests a renewal of a lease that is held. */
static void renew_(Lease_ *l)
{
	BH__StoreCall call = {.op = BH__STORE_LEASE_RENEW, .lease_id = l->lease_id};

	l->renewing = true;
	l->called_us = l->node->now_us;
	bh__store_call(l->node->store, &call, on_renewed_, l, l->node->now_us);
}

/* Processes the store's reply to a renewal: extends the lease, or drops it if the store no longer has it.
 * Other errors change nothing, so that the lease ends at its time unless a later renewal succeeds. */
static void on_renewed_(void *owner, const BH__StoreReply *reply, uint64_t now_us)
{
	Lease_ *l = owner;

	(void)now_us;
	l->renewing = false;
	if (l->state != LEASE_HELD_)
		return;
	if (reply->status == BH__STORE_OK)
		l->valid_until_us = l->called_us + LEASE_TTL_S_ * BH__SECOND_US - LEASE_MARGIN_US_;
	else if (reply->status == BH__STORE_NOT_FOUND)
		drop_lease_(l, "lease-gone");
}

/* Stops using a lease, logs `reason` as an event, and sets a random time for the next campaign. */
static void drop_lease_(Lease_ *l, const char *reason)
{
	bh__node_event(l->node, BH__EVENT_ORDER, 0, 0, NULL, reason, l->fence);
	l->state = LEASE_NONE_;
	l->renewing = false;
	l->endpoint_id = BH__NO_ENDPOINT;
	l->next_campaign_us = l->node->now_us + CAMPAIGN_DELAY_US_ +
						  (uint64_t)g_rand_int_range(l->node->rand, 0, CAMPAIGN_DELAY_US_);
}

/* Takes the next step in the change of an endpoint: stop new requests, wait until it has no streams, send the
 * order, wait for a report that shows the target as loaded. An order is sent again after ORDER_TIMEOUT_US_.
 */
static void advance_change_(Lease_ *l, const BH__Resource *endpoint)
{
	BH__Node *n = l->node;
	BH__Duty *d = bh__duties_find(n, l->pool_id);
	const char *target = find_missing_(n, endpoint);
	bool is_version = !strcmp(target, endpoint->as.endpoint.version);
	const BH__Resource *weights =
		bh__catalog_find(bh__config_get_catalog(n->config), is_version ? BH__KIND_VERSION : BH__KIND_ADAPTER,
						 bh__hash_name(target));
	BH__PoolEndpointState state = {0};
	BH__Order order = {.endpoint_id = endpoint->id,
					   .fence = l->fence,
					   .action = is_version ? "load-version" : "load-adapter",
					   .target = target};

	if (l->endpoint_id != endpoint->id) {
		l->endpoint_id = endpoint->id;
		l->ordered_us = 0;
		bh__duties_load_endpoints(n, d);
	}
	if (l->target_id != bh__hash_name(target)) {
		l->target_id = bh__hash_name(target);
		l->ordered_us = 0;
	}
	if (l->ordered_us && n->now_us < l->ordered_us + ORDER_TIMEOUT_US_)
		return;
	if (!endpoint->as.endpoint.fenced && n->now_us < l->held_since_us + ORDER_MAX_TRANSIT_US_)
		return;
	if (bh__pool_get_endpoint_state(d->pool, endpoint->id, &state) && (state.streams || !state.reachable))
		return;
	if (weights)
		order.weight_bytes = is_version ? weights->as.version.weight_bytes : weights->as.adapter.weight_bytes;
	l->ordered_us = n->now_us;
	bh__node_event(n, BH__EVENT_ORDER, 0, 0, endpoint->name, order.action, l->fence);
	n->ports->endpoint_order(n->ports, &order);
}
