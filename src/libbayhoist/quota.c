/* SPDX-License-Identifier: BSD-3-Clause */
/* Account rates shared by all nodes. A node asks the account's home for the rate that it needs: once a second
 * while the account is active, and immediately when it has no rate yet. The home never allots more than the
 * account's rate in total. The rate that a node already holds counts until the node reports that it holds
 * less.
 * A node on the other side of a network partition keeps the rate that it holds. The home reserves that rate
 * for LOST_HOLD_US_ after it has lost the node. By then the other side has a home of its own, which allots
 * only the share of the rate that corresponds to the nodes on its side. */
#include "bayhoist/quota.h"

#include <math.h>
#include "bayhoist/bucket.h"
#include "bayhoist/hash.h"

#define ASK_PERIOD_US_ BH__SECOND_US
#define STEADY_PERIOD_US_                                                                                    \
	(2 * BH__SECOND_US) /* ask period while the demand changes by no more than STEADY_SHARE_ */
#define STEADY_SHARE_ 0.15
#define FIRST_ASK_PERIOD_US_ (100 * BH__MS_US)
#define MAX_WAIT_US_ BH__SECOND_US
#define IDLE_US_ (10 * BH__SECOND_US)
#define LOST_HOLD_US_ (10 * BH__SECOND_US)
#define DEMAND_WINDOW_S_ 2.0
#define DEMAND_HEADROOM_ 1.3
#define MIN_BURST_S_ 1.0
#define COLLECT_US_ (1500 * BH__MS_US) /* within this time all holders ask a new home */

/* The rate that this node holds of one account. */
typedef struct {
	uint64_t account_id;
	BH__Bucket bucket;
	double account_rate;  /* tokens per second on all nodes */
	double account_burst; /* tokens */
	double demand_tokens; /* requested tokens; the sum decays over DEMAND_WINDOW_S_ */
	uint64_t demand_updated_us;
	uint64_t last_used_us;
	uint64_t last_ask_us;
	double last_asked_rate; /* rate in the last ask, tokens per second */
	uint64_t first_ask_us;
	bool has_grant; /* the home has granted a rate at least once */
} Holding_;

/* The rate that the home has allotted to one node. */
typedef struct {
	uint64_t key; /* hash of account_id and node_id */
	uint64_t account_id;
	uint64_t node_id;
	uint64_t boot_id;
	double allotted;  /* tokens per second */
	double demand;    /* rate in the node's last ask, tokens per second */
	uint64_t lost_us; /* when the node became unreachable; 0: it is reachable */
} Allotment_;

struct BH__Quota {
	GHashTable *holdings;   /* Holding_ by account id */
	GHashTable *allotments; /* Allotment_ by key */
	GHashTable *homes;      /* Home_ by account id */
};

/* An account for which this node is the home. */
typedef struct {
	uint64_t account_id;
	uint64_t since_us; /* when this node became the home */
} Home_;

static void decay_demand_(Holding_ *h, uint64_t now_us);
static Holding_ *get_holding_(BH__Quota *q, uint64_t account_id, const BH__Account *account, uint64_t now_us);
static void set_rate_(Holding_ *h, double rate);
static bool is_collecting_(BH__Quota *q, uint64_t account_id, uint64_t now_us);
static Allotment_ *get_allotment_(BH__Quota *q, uint64_t node_id, uint64_t account_id);
static double allotted_to_others_(BH__Quota *q, const Allotment_ *own, uint64_t now_us, double *demand);

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

/* Decays the sum of requested tokens up to `now_us`. */
static void decay_demand_(Holding_ *h, uint64_t now_us)
{
	h->demand_tokens *= exp(-(double)(now_us - h->demand_updated_us) / 1e6 / DEMAND_WINDOW_S_);
	h->demand_updated_us = now_us;
}

/* Returns this node's holding of an account, which is created if there is none, and copies the account's
 * current limits into it. */
static Holding_ *get_holding_(BH__Quota *q, uint64_t account_id, const BH__Account *account, uint64_t now_us)
{
	Holding_ *h = g_hash_table_lookup(q->holdings, &account_id);

	if (!h) {
		h = g_new0(Holding_, 1);
		h->account_id = account_id;
		h->demand_updated_us = now_us;
		h->first_ask_us = now_us;
		g_hash_table_insert(q->holdings, &h->account_id, h);
	}
	h->account_rate = (double)account->tokens_per_s;
	h->account_burst = (double)account->burst_tokens;
	return h;
}

/* Spends `tokens` of an account's rate if they are available; an account without a rate is always admitted.
 * Returns BH__QUOTA_WAIT while the home has not granted a rate yet, for at most MAX_WAIT_US_: the caller
 * tries again after the next grant. With BH__QUOTA_REFUSE, `*retry_after_us` is the time after which the
 * caller may retry. */
BH__QuotaDecision bh__quota_take(BH__Quota *q, uint64_t account_id, const BH__Account *account, double tokens,
								 uint64_t now_us, uint64_t *retry_after_us)
{
	Holding_ *h;

	if (!account->tokens_per_s)
		return BH__QUOTA_ADMIT;
	h = get_holding_(q, account_id, account, now_us);
	decay_demand_(h, now_us);
	h->demand_tokens += tokens;
	h->last_used_us = now_us;
	if (!h->has_grant) {
		*retry_after_us = BH__SECOND_US;
		return now_us < h->first_ask_us + MAX_WAIT_US_ ? BH__QUOTA_WAIT : BH__QUOTA_REFUSE;
	}
	if (bh__bucket_take(&h->bucket, tokens, now_us))
		return BH__QUOTA_ADMIT;
	*retry_after_us = bh__bucket_get_wait_us(&h->bucket, tokens);
	return BH__QUOTA_REFUSE;
}

/* Returns the asks that are due (BH__QuotaEntry; free with g_array_unref()). An ask is due every
 * ASK_PERIOD_US_ if the demand has changed, and every STEADY_PERIOD_US_ otherwise. For an idle account, a
 * last ask with rate 0 returns the allotment to the home. */
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
		if (now_us < h->last_ask_us + (h->has_grant ? ASK_PERIOD_US_ : FIRST_ASK_PERIOD_US_))
			continue;
		decay_demand_(h, now_us);
		e.rate = idle ? 0 : h->demand_tokens / DEMAND_WINDOW_S_ * DEMAND_HEADROOM_;
		if (h->has_grant && !idle && now_us < h->last_ask_us + STEADY_PERIOD_US_ &&
			fabs(e.rate - h->last_asked_rate) <= h->last_asked_rate * STEADY_SHARE_)
			continue;
		h->last_ask_us = now_us;
		h->last_asked_rate = e.rate;
		if (idle)
			e.held = 0;
		g_array_append_val(asks, e);
		if (idle)
			g_hash_table_iter_remove(&it);
	}
	return asks;
}

/* Sets the granted rate in tokens per second. The burst is the same share of the account's burst, but at
 * least MIN_BURST_S_ seconds of the rate. */
static void set_rate_(Holding_ *h, double rate)
{
	double share = h->account_rate > 0 ? rate / h->account_rate : 0;
	double burst = MAX(h->account_burst * share, rate * MIN_BURST_S_);

	if (h->has_grant)
		bh__bucket_set_rate(&h->bucket, rate, burst);
	else
		bh__bucket_init(&h->bucket, rate, burst);
	h->has_grant = true;
}

/* Applies a grant of the account's home. A grant for an account that this node no longer holds is ignored. */
void bh__quota_process_grant(BH__Quota *q, const BH__QuotaEntry *e, uint64_t now_us)
{
	Holding_ *h = g_hash_table_lookup(q->holdings, &e->account_id);

	if (!h)
		return;
	bh__bucket_take(&h->bucket, 0, now_us); /* refills the bucket up to now at the old rate */
	set_rate_(h, e->rate);
}

/* Returns the allotment of a node, which is created if there is none. */
static Allotment_ *get_allotment_(BH__Quota *q, uint64_t node_id, uint64_t account_id)
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

/* Returns true if this node became the account's home less than COLLECT_US_ ago, so that it may not know yet
 * what the other nodes hold. The first call for an account marks this node as its home. */
static bool is_collecting_(BH__Quota *q, uint64_t account_id, uint64_t now_us)
{
	Home_ *home = g_hash_table_lookup(q->homes, &account_id);

	if (!home) {
		home = g_new0(Home_, 1);
		home->account_id = account_id;
		home->since_us = now_us;
		g_hash_table_insert(q->homes, &home->account_id, home);
	}
	return now_us < home->since_us + COLLECT_US_;
}

/* Returns the sum of the rates that are allotted to other nodes for the account of `own`, and adds the
 * demand of the reachable ones to `*demand`. Drops allotments of nodes that were lost more than LOST_HOLD_US_
 * ago. */
static double allotted_to_others_(BH__Quota *q, const Allotment_ *own, uint64_t now_us, double *demand)
{
	double sum = 0;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, q->allotments);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const Allotment_ *a = value;
		if (a->account_id != own->account_id || a == own)
			continue;
		if (a->lost_us && now_us > a->lost_us + LOST_HOLD_US_) {
			g_hash_table_iter_remove(&it);
			continue;
		}
		sum += a->allotted;
		if (!a->lost_us)
			*demand += a->demand;
	}
	return sum;
}

/* Returns the rate in tokens per second that the asking node may use: its fair share by demand, limited
 * to what is not allotted to other nodes. While the home is new to the account and does not yet know what the
 * other nodes hold, a node gets no more than it holds or an even share, whichever is larger. */
double bh__quota_allot(BH__Quota *q, uint64_t node_id, uint64_t boot_id, const BH__QuotaEntry *ask,
					   double rate, unsigned alive, unsigned lost, uint64_t now_us)
{
	Allotment_ *a = get_allotment_(q, node_id, ask->account_id);
	double demand = 0;
	double budget = rate * alive / MAX(alive + lost, 1u);
	double allotted_others = allotted_to_others_(q, a, now_us, &demand);
	double fair_share;
	double grant;

	a->boot_id = boot_id;
	a->lost_us = 0;
	a->demand = ask->rate;
	demand += ask->rate;
	/* Demand beyond the budget is reduced in proportion. Spare budget is divided evenly, so that a node whose
	 * demand starts to grow has some rate already. */
	fair_share =
		demand > budget ? budget * ask->rate / demand : ask->rate + (budget - demand) / MAX(alive, 1u);
	grant = MAX(0, MIN(fair_share, budget - allotted_others));
	if (is_collecting_(q, ask->account_id, now_us))
		grant = MIN(grant, MAX(ask->held, budget / MAX(alive, 1u)));
	a->allotted = MAX(grant, ask->held);
	if (ask->rate <= 0 && ask->held <= 0)
		g_hash_table_remove(q->allotments, &a->key);
	return grant;
}

/* Handles the loss of a node. If `certain`, the node has stopped and its allotments are free at once.
 * Otherwise it may still run on the other side of a network partition, and the home reserves its allotments
 * for LOST_HOLD_US_. */
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

/* Records that this node is no longer the home of the account, or of any account if `account_id` is 0. */
void bh__quota_drop_home(BH__Quota *q, uint64_t account_id)
{
	if (account_id)
		g_hash_table_remove(q->homes, &account_id);
	else
		g_hash_table_remove_all(q->homes);
}
