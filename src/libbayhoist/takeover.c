/* SPDX-License-Identifier: BSD-3-Clause */
/* Takeover of a duty. A scheduler that grants before it knows the existing grants assigns engines that are
 * full: after a planned stop of the previous scheduler, two prompts of 245k and 277k tokens were predicted to
 * begin in 0.4 s and took 1.2 s. A new scheduler therefore waits for a limited time until its predecessor has
 * sent the complete ledger, or until all live nodes have reported the grants that they hold. */
#include "bayhoist/takeover.h"

/* A node may notice the change of duty before the node that takes over, and send its report then. Reports
 * that arrived up to this long before the takeover count. */
#define REPORT_EARLY_MAX_US_ (500 * BH__MS_US)

static bool has_reported_(const BH__Takeover *t, uint64_t node_id);

/* Initializes a duty that another node has. bh__takeover_clear() frees what it holds. */
void bh__takeover_init(BH__Takeover *t)
{
	t->begun_us = 0;
	t->received_all = false;
	t->report_us = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
}

void bh__takeover_clear(BH__Takeover *t)
{
	g_hash_table_unref(t->report_us);
}

/* Records that this node has the duty from `now_us` on. */
void bh__takeover_begin(BH__Takeover *t, uint64_t now_us)
{
	t->begun_us = now_us;
	t->received_all = false;
}

/* Records that another node has the duty. */
void bh__takeover_end(BH__Takeover *t)
{
	t->begun_us = 0;
	t->received_all = false;
}

/* Records that a node has reported the grants that it holds, or with `all` the grants that all nodes hold. */
void bh__takeover_note_report(BH__Takeover *t, uint64_t node_id, bool all, uint64_t now_us)
{
	g_hash_table_replace(t->report_us, g_memdup2(&node_id, sizeof node_id),
						 g_memdup2(&now_us, sizeof now_us));
	t->received_all |= all;
}

/* Returns true if this node has the duty, and all reports have arrived or the longest wait is over. */
bool bh__takeover_is_done(const BH__Takeover *t, const BH__Members *members, uint64_t now_us)
{
	if (!t->begun_us)
		return false;
	if (t->received_all || now_us >= t->begun_us + BH__TAKEOVER_MAX_US)
		return true;
	for (unsigned i = 1; i < bh__members_get_count(members); i++) {
		const BH__MemberInfo *info = bh__members_get(members, i);
		if (bh__member_is_usable(info) && bh__members_is_connected(members, info) &&
			!has_reported_(t, info->node_id))
			return false;
	}
	return true;
}

/* Returns true if a node has reported since the takeover or shortly before it. */
static bool has_reported_(const BH__Takeover *t, uint64_t node_id)
{
	const uint64_t *report_us = g_hash_table_lookup(t->report_us, &node_id);

	return report_us && *report_us + REPORT_EARLY_MAX_US_ >= t->begun_us;
}
