/* SPDX-License-Identifier: BSD-3-Clause */
/* State that nodes exchange besides membership: the configuration, which a node requests from a peer that has
 * a newer revision, and the rate shares of accounts. */
#include "node_internal.h"

#define CONFIG_ASK_PERIOD_US_ (500 * BH__MS_US) /* minimum time between two requests for a configuration */

static void count_nodes_(const BH__Node *n, unsigned *alive, unsigned *dead);

/* Handles the configuration revision that a node has reported. If it is newer than this node's, requests the
 * chunks that differ, at most once per CONFIG_ASK_PERIOD_US_ until an answer arrives. */
void bh__peer_sync_receive_revision(BH__Node *n, uint64_t node_id, uint64_t revision)
{
	BH__Message m = {.type = BH__MESSAGE_CONFIG_ASK};

	if (revision <= bh__config_get_revision(n->config) ||
		(n->config_asked_us && n->now_us < n->config_asked_us + CONFIG_ASK_PERIOD_US_))
		return;
	n->config_asked_us = n->now_us;
	m.as.config_ask.revision = bh__config_get_revision(n->config);
	m.as.config_ask.has_hashes = true;
	bh__config_get_chunk_hashes(n->config, m.as.config_ask.chunk_hash);
	bh__node_send(n, node_id, &m);
}

/* Answers a request for the configuration with the chunks that the requesting node lacks. Sends nothing if
 * this node's configuration is not newer. */
void bh__peer_sync_process_config_ask(BH__Node *n, const BH__Message *m)
{
	BH__Message answer = {.type = BH__MESSAGE_CONFIG_DATA};
	BH__ConfigChunk chunk[BH__CHUNK_COUNT];
	uint64_t hash[BH__CHUNK_COUNT];

	if (m->as.config_ask.revision >= bh__config_get_revision(n->config))
		return;
	bh__config_get_chunk_hashes(n->config, hash);
	answer.as.config_data.head = (char *)bh__config_get_head(n->config);
	answer.as.config_data.chunk = chunk;
	for (unsigned i = 0; i < BH__CHUNK_COUNT; i++) {
		if (m->as.config_ask.has_hashes && m->as.config_ask.chunk_hash[i] == hash[i])
			continue;
		chunk[answer.as.config_data.count].chunk = (uint8_t)i;
		chunk[answer.as.config_data.count++].text = (char *)bh__config_get_chunk(n->config, i);
	}
	bh__node_send(n, m->from_node, &answer);
}

/* Installs a configuration received from a peer. Logs an event if it is refused. */
void bh__peer_sync_process_config_data(BH__Node *n, const BH__Message *m)
{
	const char *chunks[BH__CHUNK_COUNT] = {NULL};
	GError *error = NULL;

	n->config_asked_us = 0;
	for (uint32_t i = 0; i < m->as.config_data.count; i++)
		chunks[m->as.config_data.chunk[i].chunk] = m->as.config_data.chunk[i].text;
	if (!bh__config_install(n->config, m->as.config_data.head, chunks, &error)) {
		bh__node_event(n, BH__EVENT_CONFIG, 0, 0, error->message, "refused", 0);
		g_error_free(error);
	}
}

/* Counts the nodes that are not dead in the membership table, and the dead ones, which may still run on the
 * other side of a network partition. */
static void count_nodes_(const BH__Node *n, unsigned *alive, unsigned *dead)
{
	*alive = 0;
	*dead = 0;
	for (unsigned i = 0; i < bh__members_get_count(n->members); i++) {
		if (bh__members_get(n->members, i)->state == BH__MEMBER_DEAD)
			(*dead)++;
		else
			(*alive)++;
	}
}

/* Answers a request for rate shares: allots each account's share in tokens per second to the requesting node.
 * Accounts that are unknown or have no rate limit are left out of the answer. */
void bh__peer_sync_process_quota_ask(BH__Node *n, const BH__Message *m)
{
	BH__Message answer = {.type = BH__MESSAGE_QUOTA_GRANT};
	unsigned alive;
	unsigned dead;

	count_nodes_(n, &alive, &dead);
	answer.as.quota.entry = g_new0(BH__QuotaEntry, m->as.quota.count + 1);
	for (uint32_t i = 0; i < m->as.quota.count; i++) {
		const BH__QuotaEntry *ask = &m->as.quota.entry[i];
		const BH__Resource *r =
			bh__catalog_find(bh__config_get_catalog(n->config), BH__KIND_ACCOUNT, ask->account_id);
		BH__QuotaEntry *e = &answer.as.quota.entry[answer.as.quota.count];
		if (!r || !r->as.account.tokens_per_s)
			continue;
		e->account_id = ask->account_id;
		e->rate = bh__quota_allot(n->quota, m->from_node, m->from_boot, ask,
								  (double)r->as.account.tokens_per_s, alive, dead, n->now_us);
		answer.as.quota.count++;
	}
	if (m->from_node != n->options.self.node_id) {
		bh__node_send(n, m->from_node, &answer);
	}
	else {
		for (uint32_t i = 0; i < answer.as.quota.count; i++)
			bh__quota_process_grant(n->quota, &answer.as.quota.entry[i], n->now_us);
		bh__requests_process_quota(n);
	}
	g_free(answer.as.quota.entry);
}

/* Sends a request for a rate share to the home node of each account. Handles it locally if this node is the
 * home node or there is none. */
void bh__peer_sync_send_quota_asks(BH__Node *n)
{
	GArray *asks = bh__quota_get_asks(n->quota, n->now_us);

	for (guint i = 0; i < asks->len; i++) {
		BH__QuotaEntry *e = &g_array_index(asks, BH__QuotaEntry, i);
		uint64_t home = bh__members_pick(n->members, e->account_id, NULL);
		BH__Message m = {.type = BH__MESSAGE_QUOTA_ASK};
		m.as.quota.count = 1;
		m.as.quota.entry = e;
		m.from_node = n->options.self.node_id;
		m.from_boot = bh__members_get_self(n->members)->boot_id;
		if (!home || home == n->options.self.node_id) {
			bh__peer_sync_process_quota_ask(n, &m);
		}
		else {
			bh__quota_drop_home(n->quota, e->account_id);
			bh__node_send(n, home, &m);
		}
	}
	g_array_unref(asks);
}
