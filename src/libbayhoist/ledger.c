/* SPDX-License-Identifier: BSD-3-Clause */
/* The ledger changes its entries and the counts of the engines together. Load reports of the engines correct
 * it, but lag behind. */
#include "ledger.h"

#define ENDED_KEPT_US_ (3 * BH__SECOND_US)   /* reports lag: an attempt that has ended may still be in one */
#define ORPHAN_GRACE_US_ (3 * BH__SECOND_US) /* before an orphan's first notification and between two */
#define ORPHAN_EXPIRY_US_ (10 * BH__SECOND_US) /* an orphan not reported for longer is removed */
#define HOLD_GRACE_US_ (2 * BH__SECOND_US)     /* a new grant may be missing from a hold message this long */

/* An attempt on an engine that no grant accounts for. */
typedef struct {
	uint64_t key; /* hash of the attempt's and the engine's id */
	uint64_t first_seen_us;
	uint64_t last_seen_us;
	uint64_t notified_us; /* when the callback was last called; 0: never */
} Orphan_;

/* A grant that has ended and whose attempt may still be reported. */
typedef struct {
	uint64_t grant_id;
	uint64_t ended_us;
} Ended_;

struct BH__Ledger {
	BH__Engines *engines;
	BH__LedgerOrphan orphan;
	void *ctx;           /* argument of `orphan` */
	GHashTable *entries; /* BH__LedgerEntry by grant id */
	GHashTable *ended;   /* ids of grants that ended within ENDED_KEPT_US_; each points into its Ended_ */
	GQueue ended_order;  /* Ended_ *, oldest first */
	GHashTable *orphans; /* Orphan_ by key */
};

static void count_prefill_(BH__Ledger *l, const BH__LedgerEntry *entry, int change, uint64_t now_us);
static void charge_member_(BH__Ledger *l, const BH__LedgerEntry *entry, uint64_t now_us);
static GPtrArray *find_entries_of_node_(const BH__Ledger *l, uint64_t node_id);
static void count_as_unaccounted_(BH__Ledger *l, const BH__Grant *g);
static void process_orphan_(BH__Ledger *l, const BH__Engine *e, const BH__ReportedAttempt *a,
							uint64_t now_us);
static void remove_old_ended_(BH__Ledger *l, uint64_t now_us);
static gboolean is_old_orphan_(gpointer key, gpointer value, gpointer now_us);

/* Returns an empty ledger over `engines`, which must outlive it. `orphan` is called with `ctx`. The caller
 * frees the ledger with bh__ledger_delete(). */
BH__Ledger *bh__ledger_new(BH__Engines *engines, BH__LedgerOrphan orphan, void *ctx)
{
	BH__Ledger *l = g_new0(BH__Ledger, 1);

	l->engines = engines;
	l->orphan = orphan;
	l->ctx = ctx;
	l->entries = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	l->ended = g_hash_table_new(g_int64_hash, g_int64_equal);
	l->orphans = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	g_queue_init(&l->ended_order);
	return l;
}

/* Frees the ledger and its entries. The counts of the engines stay as they are. */
void bh__ledger_delete(BH__Ledger *l)
{
	g_hash_table_unref(l->entries);
	g_hash_table_unref(l->ended);
	g_hash_table_unref(l->orphans);
	g_queue_clear_full(&l->ended_order, g_free);
	g_free(l);
}

/* Returns the entry of a grant in force, or NULL. */
BH__LedgerEntry *bh__ledger_find(const BH__Ledger *l, uint64_t grant_id)
{
	return g_hash_table_lookup(l->entries, &grant_id);
}

/* Adds a grant and counts it at the engines of its members. `starts_prefill` says that its first member
 * starts to prefill now. It is false for a grant that another node reports, since that may be past its
 * prefill. */
void bh__ledger_add(BH__Ledger *l, const BH__Grant *g, bool starts_prefill, uint64_t now_us)
{
	BH__LedgerEntry *entry = g_new0(BH__LedgerEntry, 1);

	entry->grant = *g;
	entry->granted_us = now_us;
	entry->prefilling = starts_prefill && g->reports_progress ? 0 : g->member_count;
	g_hash_table_insert(l->entries, &entry->grant.grant_id, entry);
	for (unsigned i = 0; i < g->member_count; i++) {
		BH__Engine *e = bh__engines_find(l->engines, g->member[i].endpoint_id);
		if (!e)
			continue;
		e->kv_granted_bytes += g->member[i].kv_bytes;
		e->kv_long_bytes += g->is_long ? g->member[i].kv_bytes : 0;
		e->streams++;
	}
	count_prefill_(l, entry, 1, now_us);
}

/* Ends a grant: removes it from the counts of its engines and frees its entry. */
void bh__ledger_end(BH__Ledger *l, BH__LedgerEntry *entry, uint64_t now_us)
{
	Ended_ *ended = g_new(Ended_, 1);

	count_prefill_(l, entry, -1, now_us);
	for (unsigned i = 0; i < entry->grant.member_count; i++) {
		const BH__GrantMember *m = &entry->grant.member[i];
		BH__Engine *e = bh__engines_find(l->engines, m->endpoint_id);
		if (!e)
			continue;
		e->kv_granted_bytes -= MIN(e->kv_granted_bytes, m->kv_bytes);
		if (entry->grant.is_long)
			e->kv_long_bytes -= MIN(e->kv_long_bytes, m->kv_bytes);
		e->streams -= e->streams > 0;
	}
	ended->grant_id = entry->grant.grant_id;
	ended->ended_us = now_us;
	g_queue_push_tail(&l->ended_order, ended);
	g_hash_table_add(l->ended, &ended->grant_id);
	g_hash_table_remove(l->entries, &entry->grant.grant_id);
}

/* Adds a grant to (`change` is 1) or removes it from (-1) the prefill counts of the engine that prefills for
 * it now. Does nothing if its prefill is not tracked. */
static void count_prefill_(BH__Ledger *l, const BH__LedgerEntry *entry, int change, uint64_t now_us)
{
	BH__Engine *e;

	if (entry->prefilling >= entry->grant.member_count)
		return;
	e = bh__engines_find(l->engines, entry->grant.member[entry->prefilling].endpoint_id);
	if (!e)
		return;
	if (change > 0) {
		e->prefills++;
		e->long_prefills += entry->grant.is_long;
		return;
	}
	e->prefills -= e->prefills > 0;
	if (entry->grant.is_long)
		e->long_prefills -= e->long_prefills > 0;
	if (!e->long_prefills)
		e->dedicated = false;
	for (unsigned c = 1; !e->prefills && c < BH__SIZE_CLASSES;
		 c++) /* the predicted prefill time was too long */
		e->free_at_us[c] = MAX(now_us, e->free_at_us[0]);
}

/* Adds the prefill that the current member of a gang starts to the backlog of its engine. */
static void charge_member_(BH__Ledger *l, const BH__LedgerEntry *entry, uint64_t now_us)
{
	const BH__GrantMember *m;
	BH__Engine *e;

	if (entry->prefilling >= entry->grant.member_count)
		return;
	m = &entry->grant.member[entry->prefilling];
	e = bh__engines_find(l->engines, m->endpoint_id);
	if (e)
		bh__engine_charge(e, BH__SIZE_CLASSES - 1, m->token_count, now_us);
}

/* Processes the end of the current member's prefill: the next member, if any, starts to prefill. */
void bh__ledger_process_progress(BH__Ledger *l, BH__LedgerEntry *entry, uint64_t now_us)
{
	count_prefill_(l, entry, -1, now_us);
	if (entry->prefilling >= entry->grant.member_count)
		return;
	entry->prefilling++;
	count_prefill_(l, entry, 1, now_us);
	charge_member_(l, entry, now_us);
}

/* Returns the entries of the grants that a node holds, in no order. The caller frees the array, not the
 * entries. */
static GPtrArray *find_entries_of_node_(const BH__Ledger *l, uint64_t node_id)
{
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, l->entries);
	while (g_hash_table_iter_next(&it, NULL, &value))
		if (((const BH__LedgerEntry *)value)->grant.node_id == node_id)
			g_ptr_array_add(list, value);
	return list;
}

/* Processes a node's list of the grants that it holds. Complete grants (`is_full`) that the ledger lacks are
 * added, which rebuilds the ledger of a new scheduler. Either kind of list ends those grants in the ledger
 * that the node no longer holds, since its release message may have been lost, and those of its earlier
 * boots. */
void bh__ledger_process_hold(BH__Ledger *l, uint64_t node_id, uint64_t boot_id, bool is_full,
							 const BH__Grant *grant, uint32_t count, uint64_t now_us)
{
	GHashTable *held = g_hash_table_new(g_int64_hash, g_int64_equal);
	GPtrArray *known;

	for (uint32_t i = 0; i < count; i++) {
		g_hash_table_add(held, (gpointer)&grant[i].grant_id);
		if (is_full && !bh__ledger_find(l, grant[i].grant_id) &&
			!g_hash_table_contains(l->ended, &grant[i].grant_id))
			bh__ledger_add(l, &grant[i], false, now_us);
	}
	known = find_entries_of_node_(l, node_id);
	for (guint i = 0; i < known->len; i++) {
		BH__LedgerEntry *entry = g_ptr_array_index(known, i);
		bool same_boot = entry->grant.boot_id == boot_id;
		if (same_boot && g_hash_table_contains(held, &entry->grant.grant_id))
			continue;
		if (!same_boot || now_us >= entry->granted_us + HOLD_GRACE_US_)
			bh__ledger_end(l, entry, now_us);
	}
	g_ptr_array_unref(known);
	g_hash_table_unref(held);
}

/* Ends the grants of a node that is gone. The memory of its streams counts as used until the next reports of
 * the engines show what is still held; attempts in these reports are orphans. */
void bh__ledger_process_node_gone(BH__Ledger *l, uint64_t node_id, uint64_t now_us)
{
	GPtrArray *gone = find_entries_of_node_(l, node_id);

	for (guint i = 0; i < gone->len; i++) {
		BH__LedgerEntry *entry = g_ptr_array_index(gone, i);
		uint64_t id = entry->grant.grant_id;
		count_as_unaccounted_(l, &entry->grant);
		bh__ledger_end(l, entry, now_us);
		g_hash_table_remove(l->ended, &id); /* so that reports of its attempt count as unaccounted */
	}
	g_ptr_array_unref(gone);
}

/* Adds the memory of a grant to the unaccounted bytes of its engines. */
static void count_as_unaccounted_(BH__Ledger *l, const BH__Grant *g)
{
	for (unsigned i = 0; i < g->member_count; i++) {
		BH__Engine *e = bh__engines_find(l->engines, g->member[i].endpoint_id);
		if (e)
			e->kv_unaccounted_bytes += g->member[i].kv_bytes;
	}
}

/* Compares the attempts in an engine's report with the ledger: sets the engine's unaccounted bytes to the
 * memory of those without a grant, which are orphans. */
void bh__ledger_process_report(BH__Ledger *l, BH__Engine *e, const BH__LoadReport *r, uint64_t now_us)
{
	e->kv_unaccounted_bytes = 0;
	for (uint32_t i = 0; i < r->attempt_count; i++) {
		const BH__ReportedAttempt *a = &r->attempt[i];
		if (bh__ledger_find(l, a->attempt_id) || g_hash_table_contains(l->ended, &a->attempt_id))
			continue;
		e->kv_unaccounted_bytes += a->kv_bytes;
		process_orphan_(l, e, a, now_us);
	}
}

/* Records an attempt that no grant accounts for. Calls the orphan callback once the attempt is older than
 * ORPHAN_GRACE_US_, and again at that interval: the owner of the attempt, if alive, decides what to do with
 * it. */
static void process_orphan_(BH__Ledger *l, const BH__Engine *e, const BH__ReportedAttempt *a, uint64_t now_us)
{
	uint64_t key = bh__hash_pair(a->attempt_id, e->spec.endpoint_id);
	Orphan_ *o = g_hash_table_lookup(l->orphans, &key);

	if (!o) {
		o = g_new0(Orphan_, 1);
		o->key = key;
		o->first_seen_us = now_us;
		g_hash_table_insert(l->orphans, &o->key, o);
	}
	o->last_seen_us = now_us;
	if (now_us < o->first_seen_us + ORPHAN_GRACE_US_ || now_us < o->notified_us + ORPHAN_GRACE_US_)
		return;
	o->notified_us = now_us;
	l->orphan(l->ctx, e->spec.endpoint_id, a);
}

/* Removes the records of grants that ended at least ENDED_KEPT_US_ ago. */
static void remove_old_ended_(BH__Ledger *l, uint64_t now_us)
{
	for (;;) {
		Ended_ *ended = g_queue_peek_head(&l->ended_order);
		if (!ended || now_us < ended->ended_us + ENDED_KEPT_US_)
			return;
		if (g_hash_table_lookup(l->ended, &ended->grant_id) == &ended->grant_id)
			g_hash_table_remove(l->ended, &ended->grant_id);
		g_queue_pop_head(&l->ended_order);
		g_free(ended);
	}
}

/* Returns true if an orphan was not reported for more than ORPHAN_EXPIRY_US_. `now_us` points to a uint64_t.
 */
static gboolean is_old_orphan_(gpointer key, gpointer value, gpointer now_us)
{
	(void)key;
	return ((const Orphan_ *)value)->last_seen_us + ORPHAN_EXPIRY_US_ < *(const uint64_t *)now_us;
}

/* Removes records of ended grants and of orphans that are too old to matter. */
void bh__ledger_process_tick(BH__Ledger *l, uint64_t now_us)
{
	remove_old_ended_(l, now_us);
	g_hash_table_foreach_remove(l->orphans, is_old_orphan_, &now_us);
}
