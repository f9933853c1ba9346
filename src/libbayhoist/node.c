/* SPDX-License-Identifier: BSD-3-Clause */
/* The node: owns its modules, dispatches messages to them and runs them at each tick. Messages that the node
 * sends to itself wait in an inbox until the current call is done, so that no module is re-entered. */
#include "node_internal.h"

#include <string.h>
#include "bayhoist/hash.h"

#define CONFIG_POLL_US_ BH__SECOND_US
#define CONFIG_POLLERS_ 2  /* nodes of a data hall that poll the configuration head in the store */
#define REVISION_FANOUT_ 4 /* nodes that are notified of a newly installed revision */
#define HOLD_PERIOD_US_ (5 * BH__SECOND_US)
#define QUOTA_PERIOD_US_ (100 * BH__MS_US)
#define WHERE_TTL_S_ 5
/* A node is overloaded if it has more live requests than OVERLOAD_FACTOR_ times the mean over all usable
 * nodes, plus OVERLOAD_MARGIN_. */
#define OVERLOAD_FACTOR_ 2
#define OVERLOAD_MARGIN_ 32

const char *const BH__EventTypeString[] = {"member",  "duty",  "config", "request",   "grant",
										   "attempt", "retry", "finish", "orphan",    "endpoint",
										   "order",   "store", "node",   "quarantine"};
const char *const BH__CallKindString[] = {"segment", "answer", "resume", "service"};
const char *const BH__AttemptEndString[] = {"done",   "refused", "unreachable",
											"broken", "unknown", "rejected"};

static void on_installed_(void *ctx, uint64_t revision);
static void load_keys_(BH__Node *n);
static void members_send_(BH__MembersPort *port, const char *address, BH__Message *m);
static void members_changed_(BH__MembersPort *port, const BH__MemberInfo *info, BH__MemberState old);
static void add_digests_(BH__Node *n, BH__Message *m);
static void dispatch_(BH__Node *n, const BH__Message *m);
static void process_ping_(BH__Node *n, const BH__Message *m);
static void dispatch_to_pool_(BH__Node *n, const BH__Message *m);
static void refuse_unscheduled_ask_(BH__Node *n, const BH__Message *m);
static void forget_replaced_nodes_(BH__Node *n, const BH__Vm *vms, unsigned count);
static uint32_t get_mean_load_(const BH__Node *n);
static BH__Node *node_from_members_port_(BH__MembersPort *port);

/* Returns a new node. The name, hall, addresses and boot_id of `options->self` must be set. */
BH__Node *bh__node_new(BH__NodePorts *ports, BH__StorePort *store, const BH__NodeOptions *options)
{
	BH__Node *n = g_new0(BH__Node, 1);

	n->ports = ports;
	n->options = *options;
	n->options.self.node_id = bh__hash_name(options->self.name);
	n->rand = g_rand_new_with_seed(options->seed);
	n->members_port.send = members_send_;
	n->members_port.changed = members_changed_;
	bh__duties_init_port(n);
	n->store = bh__store_new(store, options->store_reads_per_s, options->store_writes_per_s);
	n->members = bh__members_new(&n->members_port, &n->options.self, options->seed);
	bh__crashes_init(n);
	n->idempotency_table = bh__idempotency_new(options->once_entries, options->once_answer_bytes);
	n->quota = bh__quota_new();
	n->routes = bh__routes_new();
	n->orders = bh__orders_new();
	bh__retry_init(&n->retry);
	n->accounts_by_key = g_hash_table_new(g_str_hash, g_str_equal);
	n->requests = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, bh__requests_free);
	n->requests_by_ask = g_hash_table_new(g_int64_hash, g_int64_equal);
	n->requests_by_attempt = g_hash_table_new(g_int64_hash, g_int64_equal);
	n->duties = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, bh__duties_free);
	n->leaving_vms = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	g_queue_init(&n->inbox);
	n->config = bh__config_new(n->store, on_installed_, n);
	return n;
}

/* Ends all requests and frees the node. */
void bh__node_delete(BH__Node *n)
{
	bh__requests_finish_all(n);
	g_queue_clear_full(&n->inbox, g_free);
	g_hash_table_unref(n->duties);
	g_hash_table_unref(n->requests_by_attempt);
	g_hash_table_unref(n->requests_by_ask);
	g_hash_table_unref(n->requests);
	g_hash_table_unref(n->accounts_by_key);
	g_hash_table_unref(n->leaving_vms);
	bh__orders_delete(n->orders);
	bh__routes_delete(n->routes);
	bh__quota_delete(n->quota);
	bh__idempotency_delete(n->idempotency_table);
	bh__crash_watch_delete(n->crashes);
	bh__members_delete(n->members);
	bh__config_delete(n->config);
	bh__store_delete(n->store);
	g_rand_free(n->rand);
	g_free(n);
}

/* Returns the node that contains this port. */
static BH__Node *node_from_members_port_(BH__MembersPort *port)
{
	return (BH__Node *)(void *)((char *)port - offsetof(BH__Node, members_port));
}

/* Returns an id that is unique among all nodes and all their boots. */
uint64_t bh__node_new_id(BH__Node *n)
{
	return bh__hash_pair(n->options.self.boot_id, ++n->next_id);
}

/* Passes an event to the event port. `subject` may be NULL; an id of 0 means none. */
void bh__node_event(BH__Node *n, BH__EventType type, uint64_t request_id, uint64_t attempt_id,
					const char *subject, const char *what, uint64_t value)
{
	BH__Event e = {type, request_id, attempt_id, subject, what, value};
	n->ports->event(n->ports, &e);
}

/* Returns the configured name of an endpoint, or "" if the configuration does not hold it. */
const char *bh__node_get_endpoint_name(const BH__Node *n, uint64_t endpoint_id)
{
	const BH__Resource *r =
		bh__catalog_find(bh__config_get_catalog(n->config), BH__KIND_ENDPOINT, endpoint_id);
	return r ? r->name : "";
}

/* Returns true if an endpoint must get no new work because the configuration or the VM list marks it as
 * leaving. */
bool bh__node_endpoint_is_leaving(const BH__Node *n, const BH__Resource *endpoint)
{
	return bh__catalog_is_leaving(bh__config_get_catalog(n->config), &endpoint->as.endpoint) ||
		   g_hash_table_contains(n->leaving_vms, &endpoint->id);
}

/* Applies a newly installed configuration revision and notifies a few other nodes of it at once. */
static void on_installed_(void *ctx, uint64_t revision)
{
	BH__Node *n = ctx;
	const BH__MemberInfo *peer[REVISION_FANOUT_];
	unsigned count;

	load_keys_(n);
	bh__routes_load(n->routes, bh__config_get_catalog(n->config));
	bh__duties_apply(n);
	bh__node_event(n, BH__EVENT_CONFIG, 0, 0, NULL, "installed", revision);
	bh__members_set_self(n->members, n->leaving, revision, n->counters.live);
	count = bh__members_sample(n->members, peer, REVISION_FANOUT_);
	for (unsigned i = 0; i < count; i++) {
		BH__Message m = {.type = BH__MESSAGE_CONFIG_UPDATE};
		m.as.config_ask.revision = revision;
		bh__node_send(n, peer[i]->node_id, &m);
	}
}

/* Rebuilds the table of API keys from the accounts of the configuration. */
static void load_keys_(BH__Node *n)
{
	const GPtrArray *all = bh__catalog_get_all(bh__config_get_catalog(n->config), BH__KIND_ACCOUNT);

	g_hash_table_remove_all(n->accounts_by_key);
	for (guint i = 0; i < all->len; i++) {
		BH__Resource *r = g_ptr_array_index(all, i);
		for (char **key = r->as.account.key_sha256; key && *key; key++)
			g_hash_table_insert(n->accounts_by_key, *key, r);
	}
}

/* Returns the account that owns an API key and sets its id and name. `key_sha256` is the key's SHA-256 in
 * lower-case hex. Returns NULL, with both unset, if no account has the key. */
const BH__Account *bh__node_find_account(const BH__Node *n, const char *key_sha256, uint64_t *account_id,
										 const char **name)
{
	const BH__Resource *r = g_hash_table_lookup(n->accounts_by_key, key_sha256);

	if (!r)
		return NULL;
	*account_id = r->id;
	*name = r->name;
	return &r->as.account;
}

/* Sends a message of the membership protocol; pings and their answers carry pool digests as well. */
static void members_send_(BH__MembersPort *port, const char *address, BH__Message *m)
{
	BH__Node *n = node_from_members_port_(port);

	if (m->type == BH__MESSAGE_PING || m->type == BH__MESSAGE_ACK)
		add_digests_(n, m);
	n->ports->send(n->ports, address, m);
}

/* Adds pool digests that are less than 2 s old to a ping or its answer: first those of this node's own pools,
 * then others, starting at a random one so that each is sent in turn. */
static void add_digests_(BH__Node *n, BH__Message *m)
{
	unsigned count = bh__routes_get_count(n->routes);
	unsigned start = count ? (unsigned)g_rand_int_range(n->rand, 0, (gint32)count) : 0;

	for (int own = 1; own >= 0; own--) {
		for (unsigned i = 0; i < count && m->as.ping.digest_count < BH__MESSAGE_DIGESTS_MAX; i++) {
			const BH__Route *r = bh__routes_get(n->routes, (start + i) % count);
			bool is_own = r->digest.node_id == n->options.self.node_id;
			if (r->digest_us && is_own == (own == 1) && n->now_us < r->digest_us + 2 * BH__SECOND_US)
				m->as.ping.digest[m->as.ping.digest_count++] = r->digest;
		}
	}
}

/* Reports a change of a member's state. When a member dies, its rate shares and its grants in
 * this node's pools are reclaimed. */
static void members_changed_(BH__MembersPort *port, const BH__MemberInfo *info, BH__MemberState old)
{
	BH__Node *n = node_from_members_port_(port);

	bh__node_event(n, BH__EVENT_MEMBER, 0, 0, info->name,
				   info->leaving ? "leaving" : BH__MemberStateString[info->state], old);
	if (info->state == BH__MEMBER_DEAD && old != BH__MEMBER_DEAD) {
		GHashTableIter it;
		gpointer value;
		bh__quota_process_node_gone(n->quota, info->node_id, info->leaving, n->now_us);
		g_hash_table_iter_init(&it, n->duties);
		while (g_hash_table_iter_next(&it, NULL, &value))
			bh__pool_process_node_gone(((BH__Duty *)value)->pool, info->node_id, n->now_us);
	}
}

/* Sends a message to a node, or puts it into the inbox if it is for this node. Drops it if the node is not a
 * known member. Lists that the message points to stay owned by the caller. */
void bh__node_send(BH__Node *n, uint64_t node_id, BH__Message *m)
{
	const BH__MemberInfo *info = bh__members_find(n->members, node_id);
	const BH__MemberInfo *self = bh__members_get_self(n->members);

	m->from_node = self->node_id;
	m->from_boot = self->boot_id;
	if (node_id == self->node_id)
		g_queue_push_tail(&n->inbox, g_memdup2(m, sizeof *m));
	else if (info)
		n->ports->send(n->ports, info->peer_address, m);
}

/* Processes the messages that this node has sent to itself, unless that is in progress already. */
void bh__node_drain_inbox(BH__Node *n)
{
	BH__Message *m;

	if (n->is_draining_inbox)
		return;
	n->is_draining_inbox = true;
	while ((m = g_queue_pop_head(&n->inbox))) {
		dispatch_(n, m);
		g_free(m);
	}
	n->is_draining_inbox = false;
}

/* Processes a message from another node. */
void bh__node_process_message(BH__Node *n, const BH__Message *m, uint64_t now_us)
{
	n->now_us = now_us;
	if (m->from_node != n->options.self.node_id)
		dispatch_(n, m);
	bh__node_drain_inbox(n);
}

/* Passes a message to the module that processes its type; ignores other types. */
static void dispatch_(BH__Node *n, const BH__Message *m)
{
	if (bh__crash_watch_process_message(n->crashes, m, n->now_us))
		return;
	if (bh__members_process_message(n->members, m, n->now_us)) {
		process_ping_(n, m);
		return;
	}
	switch (m->type) {
	case BH__MESSAGE_ASK:
	case BH__MESSAGE_RELEASE:
	case BH__MESSAGE_PROGRESS:
	case BH__MESSAGE_WITHDRAW:
	case BH__MESSAGE_HOLD:
		dispatch_to_pool_(n, m);
		break;
	case BH__MESSAGE_GRANT:
		bh__requests_process_grant(n, &m->as.grant, m->from_node);
		break;
	case BH__MESSAGE_REFUSE:
		bh__requests_process_refuse(n, m->as.refuse.ask_id, m->as.refuse.reason, m->as.refuse.retry_after_ms);
		break;
	case BH__MESSAGE_ORPHAN:
		if (!bh__requests_has_attempt(n, m->as.orphan.attempt_id))
			bh__duties_process_orphan(n, m->as.orphan.endpoint_id, m->as.orphan.attempt_id);
		break;
	case BH__MESSAGE_CONFIG_UPDATE:
		bh__peer_sync_receive_revision(n, m->from_node, m->as.config_ask.revision);
		break;
	case BH__MESSAGE_CONFIG_ASK:
		bh__peer_sync_process_config_ask(n, m);
		break;
	case BH__MESSAGE_CONFIG_DATA:
		bh__peer_sync_process_config_data(n, m);
		break;
	case BH__MESSAGE_QUOTA_ASK:
		bh__peer_sync_process_quota_ask(n, m);
		break;
	case BH__MESSAGE_QUOTA_GRANT:
		for (uint32_t i = 0; i < m->as.quota.count; i++)
			bh__quota_process_grant(n->quota, &m->as.quota.entry[i], n->now_us);
		bh__requests_process_quota(n);
		break;
	default:
		break;
	}
}

/* Processes what a ping or its answer carries besides membership: pool digests and the sender's configuration
 * revision. */
static void process_ping_(BH__Node *n, const BH__Message *m)
{
	if (m->type != BH__MESSAGE_PING && m->type != BH__MESSAGE_ACK)
		return;
	for (unsigned i = 0; i < m->as.ping.digest_count; i++)
		bh__routes_update_digest(n->routes, &m->as.ping.digest[i], n->now_us);
	bh__peer_sync_receive_revision(n, m->from_node, m->as.ping.self.config_revision);
}

/* Passes a message to the pool that it is for. If this node does not schedule the pool, it refuses an ask and
 * drops any other message, which only the pool's scheduler can use. */
static void dispatch_to_pool_(BH__Node *n, const BH__Message *m)
{
	uint64_t pool_id = m->type == BH__MESSAGE_ASK    ? m->as.ask.pool_id
					   : m->type == BH__MESSAGE_HOLD ? m->as.hold.pool_id
													 : m->as.release.pool_id;
	BH__Duty *d = bh__duties_find(n, pool_id);

	if (!d) {
		if (m->type == BH__MESSAGE_ASK)
			refuse_unscheduled_ask_(n, m);
		return;
	}
	switch (m->type) {
	case BH__MESSAGE_ASK:
		bh__pool_process_ask(d->pool, &m->as.ask, n->now_us);
		break;
	case BH__MESSAGE_RELEASE:
		bh__pool_process_release(d->pool, m->as.release.grant_id, m->as.release.kind,
								 m->as.release.failed_endpoint, n->now_us);
		break;
	case BH__MESSAGE_PROGRESS:
		bh__pool_process_progress(d->pool, m->as.release.grant_id, n->now_us);
		break;
	case BH__MESSAGE_WITHDRAW:
		bh__pool_process_withdraw(d->pool, m->as.release.grant_id);
		break;
	default:
		bh__pool_process_hold(d->pool, m->from_node, m->from_boot, m->as.hold.full, m->as.hold.grant,
							  m->as.hold.count, n->now_us);
		break;
	}
}

/* Refuses an ask for a pool that this node does not schedule. The reason makes the sender ask the current
 * scheduler. */
static void refuse_unscheduled_ask_(BH__Node *n, const BH__Message *m)
{
	BH__Message answer = {.type = BH__MESSAGE_REFUSE};

	answer.as.refuse.ask_id = m->as.ask.ask_id;
	answer.as.refuse.pool_id = m->as.ask.pool_id;
	answer.as.refuse.reason = BH__REASON_NODE_LEAVING;
	bh__node_send(n, m->from_node, &answer);
}

/* Runs all timers. To be called every 10 to 50 ms. */
void bh__node_process_tick(BH__Node *n, uint64_t now_us)
{
	const BH__MemberInfo *self = bh__members_get_self(n->members);

	n->now_us = now_us;
	bh__members_set_self(n->members, n->leaving, bh__config_get_revision(n->config), n->counters.live);
	bh__members_process_tick(n->members, now_us);
	bh__store_process_tick(n->store, now_us);
	bh__config_process_tick(n->config, now_us);
	if (now_us >= n->next_poll_us) {
		n->next_poll_us =
			now_us + CONFIG_POLL_US_ / 2 + (uint64_t)g_rand_int_range(n->rand, 0, CONFIG_POLL_US_);
		if (bh__members_get_rank(n->members, bh__hash_name("config-poll"), self->hall) < CONFIG_POLLERS_)
			bh__config_poll(n->config, now_us);
	}
	if (n->members_version != bh__members_get_version(n->members)) {
		n->members_version = bh__members_get_version(n->members);
		bh__duties_apply(n);
		bh__requests_process_scheduler_change(n);
	}
	bh__duties_process_tick(n);
	bh__orders_process_tick(n);
	bh__crash_watch_process_tick(n->crashes, now_us);
	if (now_us >= n->next_quota_us) {
		n->next_quota_us = now_us + QUOTA_PERIOD_US_;
		bh__peer_sync_send_quota_asks(n);
	}
	bh__requests_process_tick(n);
	if (now_us >= n->next_hold_us) {
		n->next_hold_us = now_us + HOLD_PERIOD_US_;
		bh__requests_send_holds(n);
	}
	bh__node_drain_inbox(n);
}

/* Processes a refused or broken connection to another node. */
void bh__node_process_unreachable(BH__Node *n, const char *peer_address, uint64_t now_us)
{
	n->now_us = now_us;
	for (unsigned i = 1; i < bh__members_get_count(n->members); i++) {
		const BH__MemberInfo *info = bh__members_get(n->members, i);
		if (!strcmp(info->peer_address, peer_address))
			bh__members_process_unreachable(n->members, info->node_id, now_us);
	}
}

/* Processes the platform's VM list: its nodes become seeds for joining, its leaving VMs get no new work, and
 * this node starts its planned stop if it is listed as leaving. */
void bh__node_update_vm_list(BH__Node *n, const BH__Vm *vms, unsigned count, uint64_t now_us)
{
	n->now_us = now_us;
	g_hash_table_remove_all(n->leaving_vms);
	for (unsigned i = 0; i < count; i++) {
		uint64_t id = bh__hash_name(vms[i].name);
		if (vms[i].peer_address[0] && !vms[i].leaving)
			bh__members_add_seed(n->members, vms[i].peer_address);
		if (vms[i].leaving)
			g_hash_table_add(n->leaving_vms, g_memdup2(&id, sizeof id));
		if (vms[i].leaving && id == n->options.self.node_id)
			bh__node_leave(n, now_us);
	}
	forget_replaced_nodes_(n, vms, count);
	bh__duties_apply(n);
}

/* Forgets dead nodes that are not in the VM list, as their VMs were replaced. A list without any node's
 * address gives no evidence of that, so it is ignored. */
static void forget_replaced_nodes_(BH__Node *n, const BH__Vm *vms, unsigned count)
{
	bool has_peer_addresses = false;

	for (unsigned i = 0; i < count; i++)
		has_peer_addresses |= vms[i].peer_address[0] != '\0';
	for (unsigned i = bh__members_get_count(n->members); has_peer_addresses && i-- > 1;) {
		const BH__MemberInfo *info = bh__members_get(n->members, i);
		bool listed = false;
		for (unsigned k = 0; k < count; k++)
			listed |= !strcmp(vms[k].name, info->name);
		if (info->state == BH__MEMBER_DEAD && !listed)
			bh__members_forget(n->members, info->node_id);
	}
}

/* Processes an endpoint's load report if this node schedules the endpoint's pool. `loaded` is a
 * NULL-terminated list of the model versions and adapters that the endpoint has loaded. */
void bh__node_process_report(BH__Node *n, const BH__LoadReport *report, const char *const *loaded,
							 uint64_t now_us)
{
	const BH__Resource *e =
		bh__catalog_find(bh__config_get_catalog(n->config), BH__KIND_ENDPOINT, report->endpoint_id);
	BH__Duty *d = e ? bh__duties_find(n, e->as.endpoint.pool_id) : NULL;

	n->now_us = now_us;
	if (d) {
		bh__orders_process_report(n, report, loaded);
		bh__pool_process_report(d->pool, report, now_us);
	}
	bh__node_drain_inbox(n);
}

/* Processes the store's reply to an operation of this node. */
void bh__node_process_store_reply(BH__Node *n, const BH__StoreReply *reply, uint64_t now_us)
{
	n->now_us = now_us;
	bh__store_process_reply(n->store, reply, now_us);
	bh__node_drain_inbox(n);
}

/* Starts a planned stop: hands its duties over, attracts no more callers and lets live requests end. */
void bh__node_leave(BH__Node *n, uint64_t now_us)
{
	n->now_us = now_us;
	if (n->leaving)
		return;
	n->leaving = true;
	bh__node_event(n, BH__EVENT_NODE, 0, 0, n->options.self.name, "leaving", n->counters.live);
	bh__members_set_self(n->members, true, bh__config_get_revision(n->config), n->counters.live);
	/* the next schedulers must take the pools over without waiting for a ping */
	bh__members_announce(n->members);
	bh__duties_apply(n);
	bh__requests_process_scheduler_change(n);
	bh__node_drain_inbox(n);
}

/* Returns true if no request is live, so that the process can stop without breaking one off. */
bool bh__node_is_idle(const BH__Node *n)
{
	return g_hash_table_size(n->requests) == 0;
}

/* Returns the mean number of live requests of usable nodes, or 0 if no node is usable. */
static uint32_t get_mean_load_(const BH__Node *n)
{
	uint64_t sum = 0;
	unsigned count = 0;

	for (unsigned i = 0; i < bh__members_get_count(n->members); i++) {
		const BH__MemberInfo *info = bh__members_get(n->members, i);
		if (bh__member_is_usable(info)) {
			sum += info->load;
			count++;
		}
	}
	return count ? (uint32_t)(sum / count) : 0;
}

/* Answers a "where" request with an idempotency stamp and up to BH__WHERE_MAX usable nodes. Nodes that are
 * not overloaded come first, within these the ones in `hall`, which may be NULL, and within these the order
 * is by rendezvous hashing: a caller keeps its node, and the callers of a lost node spread over the others.
 */
void bh__node_get_where(BH__Node *n, uint64_t caller_id, const char *hall, BH__Where *out)
{
	uint64_t weight[BH__WHERE_MAX];
	uint32_t overload_limit = get_mean_load_(n) * OVERLOAD_FACTOR_ + OVERLOAD_MARGIN_;
	BH__Stamp stamp = {.node_id = n->options.self.node_id,
					   .boot_id = bh__members_get_self(n->members)->boot_id,
					   .sequence = bh__idempotency_issue(n->idempotency_table)};

	memset(out, 0, sizeof *out);
	out->ttl_s = WHERE_TTL_S_;
	bh__stamp_write(&stamp, out->stamp);
	for (unsigned i = 0; i < bh__members_get_count(n->members); i++) {
		const BH__MemberInfo *info = bh__members_get(n->members, i);
		uint64_t w = bh__hash_pair(info->node_id, caller_id) >> 2;
		unsigned at = out->count;
		if (!bh__member_is_usable(info))
			continue;
		if (info->load <= overload_limit)
			w |= UINT64_C(1) << 63;
		if (hall && !strcmp(hall, info->hall))
			w |= UINT64_C(1) << 62;
		while (at > 0 && weight[at - 1] < w)
			at--;
		if (at >= BH__WHERE_MAX)
			continue;
		if (out->count < BH__WHERE_MAX)
			out->count++;
		for (unsigned k = out->count - 1; k > at; k--) {
			weight[k] = weight[k - 1];
			memcpy(out->address[k], out->address[k - 1], BH__ADDRESS_LEN);
		}
		weight[at] = w;
		memcpy(out->address[at], info->caller_address, BH__ADDRESS_LEN);
	}
}

const BH__Catalog *bh__node_get_catalog(const BH__Node *n)
{
	return bh__config_get_catalog(n->config);
}

BH__Config *bh__node_get_config(BH__Node *n)
{
	return n->config;
}

const BH__Members *bh__node_get_members(const BH__Node *n)
{
	return n->members;
}

/* Returns the pool if this node schedules it, or NULL. */
const BH__Pool *bh__node_get_pool(const BH__Node *n, uint64_t pool_id)
{
	const BH__Duty *d = bh__duties_find(n, pool_id);
	return d ? d->pool : NULL;
}

/* Returns the id of the node that schedules a pool, or 0 if the pool is unknown. */
uint64_t bh__node_get_scheduler(BH__Node *n, uint64_t pool_id)
{
	BH__Route *r = bh__routes_find(n->routes, pool_id);
	return r ? bh__route_get_scheduler(r, n->members) : 0;
}

/* Returns the last digest received for a pool, or NULL if there is none. */
const BH__PoolDigest *bh__node_get_digest(const BH__Node *n, uint64_t pool_id)
{
	const BH__Route *r = bh__routes_find(n->routes, pool_id);
	return r && r->digest_us ? &r->digest : NULL;
}

/* Writes the ids of up to `max` known pools to `out` and returns their number. */
unsigned bh__node_get_pool_ids(const BH__Node *n, uint64_t *out, unsigned max)
{
	unsigned count = MIN(bh__routes_get_count(n->routes), max);
	for (unsigned i = 0; i < count; i++)
		out[i] = bh__routes_get(n->routes, i)->pool_id;
	return count;
}

const BH__NodeCounters *bh__node_get_counters(const BH__Node *n)
{
	return &n->counters;
}

/* Returns false while the node backs off after a failed store operation. */
bool bh__node_store_is_up(const BH__Node *n)
{
	return bh__store_is_available(n->store);
}
