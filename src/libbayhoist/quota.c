/* SPDX-License-Identifier: BSD-3-Clause */
/* Fleet-wide account rates. A node asks an account's home, once a second while the account is active and at
 * once when it has nothing, for the rate that it needs. The home allots so that the sum of what it has
 * allotted never exceeds the rate; what a node already holds counts until the node says that it holds less.
 * A node that is cut off keeps what it holds. The home keeps that aside for HOLD_US_ after the node is lost,
 * and by then the cut-off side has a home of its own which allots only its side's part of the fleet. */
#include "bayhoist/quota.h"

#include <math.h>
#include "bayhoist/bucket.h"
#include "bayhoist/hash.h"

#define ASK_PERIOD_US_ BH__SECOND_US
#define STEADY_PERIOD_US_ (2 * BH__SECOND_US) /* while the need stays within STEADY_SHARE_ */
#define STEADY_SHARE_ 0.15
#define FIRST_ASK_PERIOD_US_ (100 * BH__MS_US)
#define WAIT_LIMIT_US_ BH__SECOND_US
#define IDLE_US_ (10 * BH__SECOND_US)
#define HOLD_US_ (10 * BH__SECOND_US)
#define DEMAND_WINDOW_S_ 2.0
#define DEMAND_HEADROOM_ 1.3
#define MIN_BURST_S_ 1.0
#define LEARN_US_ (1500 * BH__MS_US) /* a new home hears from all holders within this time */

/* What this node holds of one account. */
typedef struct {
	uint64_t account_id;
	BH__Bucket bucket;
	double rate_of_account;
	double burst_of_account;
	double wanted_tokens; /* decaying sum over DEMAND_WINDOW_S_ */
	uint64_t wanted_updated_us;
	uint64_t last_used_us;
	uint64_t last_ask_us;
	double last_asked; /* the rate that the last ask was for */
	uint64_t first_ask_us;
	bool answered;
} Holding_;

/* What the home has allotted to one node. */
typedef struct {
	uint64_t key; /* of account and node */
	uint64_t account_id;
	uint64_t node_id;
	uint64_t boot_id;
	double allotted;
	double wanted;
	uint64_t lost_us; /* 0 while the node is there */
} Allotment_;

struct BH__Quota {
	GHashTable *holdings;   /* Holding_ by account id */
	GHashTable *allotments; /* Allotment_ by key */
	GHashTable *homes;      /* Home_ by account id: when this node became home to it */
};

typedef struct {
	uint64_t account_id;
	uint64_t since_us;
} Home_;

static void decay_(Holding_ *h, uint64_t now_us);
static Holding_ *holding_(BH__Quota *q, uint64_t account_id, const BH__Account *account, uint64_t now_us);
static void set_rate_(Holding_ *h, double rate);
static bool is_learning_(BH__Quota *q, uint64_t account_id, uint64_t now_us);
static Allotment_ *allotment_(BH__Quota *q, uint64_t node_id, uint64_t account_id);
static double allotted_to_others_(BH__Quota *q, const Allotment_ *mine, uint64_t now_us, double *wanted);

BH__Quota *bh__quota_new(void)
{
	BH__Quota *q = g_new0(BH__Quota, 1);
	q->holdings = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	q->allotments = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	q->homes = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	return q;
}

void bh__quota_delete(BH__Quota *q)
{
	g_hash_table_unref(q->holdings);
	g_hash_table_unref(q->allotments);
	g_hash_table_unref(q->homes);
	g_free(q);
}

static void decay_(Holding_ *h, uint64_t now_us)
{
	h->wanted_tokens *= exp(-(double)(now_us - h->wanted_updated_us) / 1e6 / DEMAND_WINDOW_S_);
	h->wanted_updated_us = now_us;
}

static Holding_ *holding_(BH__Quota *q, uint64_t account_id, const BH__Account *account, uint64_t now_us)
{
	Holding_ *h = g_hash_table_lookup(q->holdings, &account_id);

	if (!h) {
		h = g_new0(Holding_, 1);
		h->account_id = account_id;
		h->wanted_updated_us = now_us;
		h->first_ask_us = now_us;
		g_hash_table_insert(q->holdings, &h->account_id, h);
	}
	h->rate_of_account = (double)account->tokens_per_s;
	h->burst_of_account = (double)account->burst_tokens;
	return h;
}

/* Asks to spend `tokens` of an account's rate. BH__QUOTA_WAIT: the node holds nothing yet; try again after
 * the next grant. A refusal says when to come back. */
BH__QuotaDecision bh__quota_take(BH__Quota *q, uint64_t account_id, const BH__Account *account, double tokens,
								 uint64_t now_us, uint64_t *retry_after_us)
{
	Holding_ *h;

	if (!account->tokens_per_s)
		return BH__QUOTA_ADMIT;
	h = holding_(q, account_id, account, now_us);
	decay_(h, now_us);
	h->wanted_tokens += tokens;
	h->last_used_us = now_us;
	if (!h->answered) {
		*retry_after_us = BH__SECOND_US;
		return now_us < h->first_ask_us + WAIT_LIMIT_US_ ? BH__QUOTA_WAIT : BH__QUOTA_REFUSE;
	}
	if (bh__bucket_take(&h->bucket, tokens, now_us))
		return BH__QUOTA_ADMIT;
	*retry_after_us = bh__bucket_get_wait_us(&h->bucket, tokens);
	return BH__QUOTA_REFUSE;
}

/* Returns the asks that are due (BH__QuotaEntry; free with g_array_unref()): each second where the need has
 * changed, seldom where it has not. An account that has been idle
 * asks for nothing once more, which gives its allotment back. */
GArray *bh__quota_get_asks(BH__Quota *q, uint64_t now_us)
{
	GArray *asks = g_array_new(FALSE, FALSE, sizeof(BH__QuotaEntry));
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, q->holdings);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		Holding_ *h = value;
		BH__QuotaEntry e = {.account_id = h->account_id, .held = h->bucket.rate_per_s};
		bool idle = now_us > h->last_used_us + IDLE_US_;
		if (now_us < h->last_ask_us + (h->answered ? ASK_PERIOD_US_ : FIRST_ASK_PERIOD_US_))
			continue;
		decay_(h, now_us);
		e.rate = idle ? 0 : h->wanted_tokens / DEMAND_WINDOW_S_ * DEMAND_HEADROOM_;
		if (h->answered && !idle && now_us < h->last_ask_us + STEADY_PERIOD_US_ &&
			fabs(e.rate - h->last_asked) <= h->last_asked * STEADY_SHARE_)
			continue;
		h->last_ask_us = now_us;
		h->last_asked = e.rate;
		if (idle)
			e.held = 0;
		g_array_append_val(asks, e);
		if (idle)
			g_hash_table_iter_remove(&it);
	}
	return asks;
}

static void set_rate_(Holding_ *h, double rate)
{
	double part = h->rate_of_account > 0 ? rate / h->rate_of_account : 0;
	double burst = MAX(h->burst_of_account * part, rate * MIN_BURST_S_);

	if (h->answered)
		bh__bucket_set_rate(&h->bucket, rate, burst);
	else
		bh__bucket_init(&h->bucket, rate, burst);
	h->answered = true;
}

void bh__quota_process_grant(BH__Quota *q, const BH__QuotaEntry *e, uint64_t now_us)
{
	Holding_ *h = g_hash_table_lookup(q->holdings, &e->account_id);

	if (!h)
		return;
	bh__bucket_take(&h->bucket, 0, now_us); /* what gathered until now, at the old rate */
	set_rate_(h, e->rate);
}

static Allotment_ *allotment_(BH__Quota *q, uint64_t node_id, uint64_t account_id)
{
	uint64_t key = bh__hash_pair(account_id, node_id);
	Allotment_ *a = g_hash_table_lookup(q->allotments, &key);

	if (a)
		return a;
	a = g_new0(Allotment_, 1);
	a->key = key;
	a->account_id = account_id;
	a->node_id = node_id;
	g_hash_table_insert(q->allotments, &a->key, a);
	return a;
}

/* Returns true while this node has been the account's home for too short a time to know what others hold. */
static bool is_learning_(BH__Quota *q, uint64_t account_id, uint64_t now_us)
{
	Home_ *home = g_hash_table_lookup(q->homes, &account_id);

	if (!home) {
		home = g_new0(Home_, 1);
		home->account_id = account_id;
		home->since_us = now_us;
		g_hash_table_insert(q->homes, &home->account_id, home);
	}
	return now_us < home->since_us + LEARN_US_;
}

/* Sums what other nodes have of the same account, dropping what was lost long ago. */
static double allotted_to_others_(BH__Quota *q, const Allotment_ *mine, uint64_t now_us, double *wanted)
{
	double sum = 0;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, q->allotments);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const Allotment_ *a = value;
		if (a->account_id != mine->account_id || a == mine)
			continue;
		if (a->lost_us && now_us > a->lost_us + HOLD_US_) {
			g_hash_table_iter_remove(&it);
			continue;
		}
		sum += a->allotted;
		if (!a->lost_us)
			*wanted += a->wanted;
	}
	return sum;
}

/* Returns the rate that the asking node may use: its fair part by need, no more than is left. A home that is
 * new to the account learns what others hold as they ask. */
double bh__quota_allot(BH__Quota *q, uint64_t node_id, uint64_t boot_id, const BH__QuotaEntry *ask,
					   double rate, unsigned alive, unsigned lost, uint64_t now_us)
{
	Allotment_ *a = allotment_(q, node_id, ask->account_id);
	double wanted = 0;
	double budget = rate * alive / MAX(alive + lost, 1u);
	double others = allotted_to_others_(q, a, now_us, &wanted);
	double fair;
	double grant;

	a->boot_id = boot_id;
	a->lost_us = 0;
	a->wanted = ask->rate;
	wanted += ask->rate;
	/* need beyond the budget is cut in proportion; a rest is spread evenly, so that a node can start up */
	fair = wanted > budget ? budget * ask->rate / wanted : ask->rate + (budget - wanted) / MAX(alive, 1u);
	grant = MAX(0, MIN(fair, budget - others));
	if (is_learning_(q, ask->account_id, now_us))
		grant = MIN(grant, MAX(ask->held, budget / MAX(alive, 1u)));
	a->allotted = MAX(grant, ask->held);
	if (ask->rate <= 0 && ask->held <= 0)
		g_hash_table_remove(q->allotments, &a->key);
	return grant;
}

/* A node is gone. Unless that is certain it may be running behind a cut, and what it holds stays aside for a
 * while. */
void bh__quota_process_node_gone(BH__Quota *q, uint64_t node_id, bool certain, uint64_t now_us)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, q->allotments);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		Allotment_ *a = value;
		if (a->node_id != node_id)
			continue;
		if (certain)
			g_hash_table_iter_remove(&it);
		else if (!a->lost_us)
			a->lost_us = MAX(now_us, 1);
	}
}

/* Another node is home to the account now, or to all if `account_id` is 0. */
void bh__quota_leave_home(BH__Quota *q, uint64_t account_id)
{
	if (account_id)
		g_hash_table_remove(q->homes, &account_id);
	else
		g_hash_table_remove_all(q->homes);
}
