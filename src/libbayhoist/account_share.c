/* SPDX-License-Identifier: BSD-3-Clause */
/* Recent use of the engines by client accounts. */
#include "account_share.h"

#include <glib.h>
#include <math.h>

/* The work of an account counts for about this long, so that a short burst of an ordinary account is over
 * before it counts as a lasting excess. */
#define DECAY_US_ (3.0 * BH__SECOND_US)
/* An account is over its share if it has used more than this multiple of the mean of the others. */
#define OVER_FACTOR_ 2.0
#define UPDATE_PERIOD_US_ (10 * BH__MS_US) /* interval between two updates of all accounts */
#define FORGOTTEN_MS_ 0.1                  /* accounts with less recent work are removed */

typedef struct {
	uint64_t account_id;
	uint64_t weight;
	double work_ms; /* as of `updated_us` of the table */
} Use_;

struct BH__AccountShares {
	GHashTable *uses; /* Use_ by account id */
	double work_ms;   /* of all accounts */
	double weight;    /* of all accounts */
	uint64_t updated_us;
};

static void decay_(BH__AccountShares *s, uint64_t now_us);
static Use_ *find_(const BH__AccountShares *s, uint64_t account_id);

BH__AccountShares *bh__account_shares_new(void)
{
	BH__AccountShares *s = g_new0(BH__AccountShares, 1);

	s->uses = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	return s;
}

void bh__account_shares_delete(BH__AccountShares *s)
{
	g_hash_table_unref(s->uses);
	g_free(s);
}

static Use_ *find_(const BH__AccountShares *s, uint64_t account_id)
{
	return g_hash_table_lookup(s->uses, &account_id);
}

/* Reduces the recorded work by its age and removes accounts that have had none lately. */
static void decay_(BH__AccountShares *s, uint64_t now_us)
{
	double left = exp(-(double)(now_us - MIN(now_us, s->updated_us)) / DECAY_US_);
	GHashTableIter it;
	gpointer value;

	if (now_us < s->updated_us + UPDATE_PERIOD_US_)
		return;
	s->updated_us = now_us;
	s->work_ms = s->weight = 0;
	g_hash_table_iter_init(&it, s->uses);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		Use_ *u = value;
		u->work_ms *= left;
		if (u->work_ms < FORGOTTEN_MS_) {
			g_hash_table_iter_remove(&it);
			continue;
		}
		s->work_ms += u->work_ms;
		s->weight += (double)u->weight;
	}
}

/* Records that an account has been granted `work_ms` milliseconds of one engine. A weight of 0 counts as 1.
 */
void bh__account_shares_note_work(BH__AccountShares *s, uint64_t account_id, uint64_t weight, double work_ms,
								  uint64_t now_us)
{
	Use_ *u;

	decay_(s, now_us);
	u = find_(s, account_id);
	if (!u) {
		u = g_new0(Use_, 1);
		u->account_id = account_id;
		g_hash_table_insert(s->uses, &u->account_id, u);
	}
	s->weight += (double)MAX(weight, 1) - (double)u->weight; /* the configuration may have changed it */
	u->weight = MAX(weight, 1);
	u->work_ms += work_ms;
	s->work_ms += work_ms;
}

/* Returns true if an account has lately used far more than the others, by weight. Without other accounts
 * there is nobody to compete with, and the result is false. */
bool bh__account_shares_is_over(BH__AccountShares *s, uint64_t account_id, uint64_t now_us)
{
	const Use_ *u;
	double others_weight;

	decay_(s, now_us);
	u = find_(s, account_id);
	others_weight = u ? s->weight - (double)u->weight : 0;
	if (others_weight <= 0)
		return false;
	return u->work_ms / (double)u->weight > (s->work_ms - u->work_ms) / others_weight * OVER_FACTOR_;
}

/* Returns the share of the engines, from 0 to 1, that falls to an account by its weight among the accounts
 * with recent work. */
double bh__account_shares_get_fair_share(BH__AccountShares *s, uint64_t account_id, uint64_t now_us)
{
	const Use_ *u;

	decay_(s, now_us);
	u = find_(s, account_id);
	return u ? (double)u->weight / s->weight : 1 / (s->weight + 1);
}

/* Returns the number of accounts with recent work. */
unsigned bh__account_shares_get_count(const BH__AccountShares *s)
{
	return g_hash_table_size(s->uses);
}
