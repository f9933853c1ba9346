/* SPDX-License-Identifier: BSD-3-Clause */
/* Request rate limits of endpoints. */
#include "bayhoist/endpoint_rate.h"

#include <glib.h>

#define BURST_ 2.0 /* requests that may be sent at once after a pause */
/* Requests per second to an endpoint that advertises a limit of 0. Only its answer to a request can show that
 * it accepts requests again. */
#define PROBES_PER_S_ 0.1
/* Share of the rate that a new home grants for its first NEW_HOME_US_, until all nodes know of it. During
 * that time the previous home may still grant requests if it is partitioned from some nodes. */
#define NEW_HOME_SHARE_ 0.4
#define NEW_HOME_US_ (4 * BH__SECOND_US)

static bool is_in_force_(const BH__Limit *l, uint64_t now_us);
static void update_bucket_(BH__EndpointRate *r, bool was_limited, uint64_t now_us);
static double get_spent_(const BH__EndpointRate *r, uint64_t now_us);

/* Returns true if the limit is set and has not ended. */
static bool is_in_force_(const BH__Limit *l, uint64_t now_us)
{
	return l->per_s > 0 && now_us < l->until_us;
}

/* Sets the limit of one kind to `per_s` requests per second until `until_us`; `per_s` 0 removes it. */
void bh__endpoint_rate_set_limit(BH__EndpointRate *r, BH__LimitKind kind, double per_s, uint64_t until_us,
								 uint64_t now_us)
{
	BH__Limit limit = {.per_s = per_s, .until_us = until_us};

	bh__endpoint_rate_begin_limit(r, kind, &limit, now_us);
}

/* Sets the limit of one kind, with the requests that already count against it. */
void bh__endpoint_rate_begin_limit(BH__EndpointRate *r, BH__LimitKind kind, const BH__Limit *limit,
								   uint64_t now_us)
{
	bool was_limited = bh__endpoint_rate_is_limited(r, now_us);

	bh__bucket_spend(&r->requests, 0, now_us); /* refills the bucket up to now at the old rate */
	r->limit[kind] = *limit;
	update_bucket_(r, was_limited, now_us);
}

/* Sets the limit that the endpoint advertises, or removes it if none is in force. A limit below PROBES_PER_S_
 * is raised to that. */
void bh__endpoint_rate_set_advertised(BH__EndpointRate *r, const BH__AdvertisedLimit *named, uint64_t now_us)
{
	bh__endpoint_rate_set_limit(r, BH__LIMIT_ADVERTISED,
								named->in_force ? MAX(named->per_s, PROBES_PER_S_) : 0, BH__LIMIT_NO_END,
								now_us);
}

/* Sets the share of the rate that this node grants, 0 to 1. */
void bh__endpoint_rate_set_rate_share(BH__EndpointRate *r, double share, uint64_t now_us)
{
	bool was_home = r->rate_share > 0;

	if (r->rate_share == share && r->requests.rate_per_s == bh__endpoint_rate_get_per_s(r, now_us) * share)
		return;
	bh__bucket_spend(&r->requests, 0, now_us);
	r->rate_share = share;
	update_bucket_(r, was_home && bh__endpoint_rate_is_limited(r, now_us), now_us);
}

/* Updates the bucket after a change of the limits or of this node's share. The bucket of an endpoint that was
 * not limited before starts without a request, because those that this node or another granted just before
 * were not counted, and in debt for those that the endpoint is estimated to have received. */
static void update_bucket_(BH__EndpointRate *r, bool was_limited, uint64_t now_us)
{
	bh__bucket_set_rate(&r->requests, bh__endpoint_rate_get_per_s(r, now_us) * r->rate_share, BURST_);
	if (!was_limited) {
		r->requests.level = -get_spent_(r, now_us);
		r->requests.updated_us = now_us;
	}
}

/* Returns the requests that already count against a limit in force. */
static double get_spent_(const BH__EndpointRate *r, uint64_t now_us)
{
	double max_spent = 0;

	for (int k = 0; k < BH__LIMIT_KIND_COUNT; k++)
		if (is_in_force_(&r->limit[k], now_us) && now_us < r->limit[k].since_us + BH__SECOND_US)
			max_spent = MAX(max_spent, r->limit[k].spent);
	return max_spent;
}

/* Returns true if any limit is in force. */
bool bh__endpoint_rate_is_limited(const BH__EndpointRate *r, uint64_t now_us)
{
	return bh__endpoint_rate_get_per_s(r, now_us) > 0;
}

/* Returns the lowest limit that is in force, in requests per second of all nodes; 0: there is none. */
double bh__endpoint_rate_get_per_s(const BH__EndpointRate *r, uint64_t now_us)
{
	double min_per_s = 0;

	for (int k = 0; k < BH__LIMIT_KIND_COUNT; k++)
		if (is_in_force_(&r->limit[k], now_us) && (min_per_s <= 0 || r->limit[k].per_s < min_per_s))
			min_per_s = r->limit[k].per_s;
	return min_per_s;
}

/* Returns the time until this node may grant a request; BH__LIMIT_NO_END: only another node grants them. */
uint64_t bh__endpoint_rate_get_wait_us(const BH__EndpointRate *r, uint64_t now_us)
{
	BH__Bucket b = r->requests;

	if (!bh__endpoint_rate_is_limited(r, now_us))
		return 0;
	if (b.rate_per_s <= 0)
		return BH__LIMIT_NO_END;
	bh__bucket_spend(&b, 0, now_us);
	return bh__bucket_get_wait_us(&b, 1);
}

/* Returns true if this node may grant a request now. */
bool bh__endpoint_rate_admits(const BH__EndpointRate *r, uint64_t now_us)
{
	return !bh__endpoint_rate_get_wait_us(r, now_us);
}

/* Counts a request that this node has granted. */
void bh__endpoint_rate_count_request(BH__EndpointRate *r, uint64_t now_us)
{
	if (bh__endpoint_rate_is_limited(r, now_us))
		bh__bucket_spend(&r->requests, 1, now_us);
}

/* Grants a request that the caller sends after `*wait_us`, if that is at most `max_wait_us`. Otherwise grants
 * nothing and returns false; the caller may ask again after `*wait_us`. */
bool bh__endpoint_rate_reserve(BH__EndpointRate *r, uint64_t max_wait_us, uint64_t now_us, uint64_t *wait_us)
{
	*wait_us = bh__endpoint_rate_get_wait_us(r, now_us);
	if (*wait_us > max_wait_us)
		return false;
	bh__endpoint_rate_count_request(r, now_us);
	return true;
}

/* Returns the share of a rate, 0 to 1, that a home may grant. Nodes that are unreachable may have a home of
 * their own on the other side of a network partition, so the share is that of the reachable nodes. `alive`
 * counts the reachable nodes; `known` counts the unreachable ones too, but not those that left. `since_us` is
 * the time when this node became the home. */
double bh__home_rate_share(unsigned alive, unsigned known, uint64_t since_us, uint64_t now_us)
{
	double reachable_share = (double)alive / MAX(MAX(known, alive), 1u);

	return now_us < since_us + NEW_HOME_US_ ? MIN(reachable_share, NEW_HOME_SHARE_) : reachable_share;
}
