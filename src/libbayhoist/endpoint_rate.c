/* SPDX-License-Identifier: BSD-3-Clause */
/* Rates of requests to endpoints. */
#include "bayhoist/endpoint_rate.h"

#include <glib.h>

#define BURST_ 2.0 /* requests that may come at once after a pause */
/* An endpoint that takes none gets a request this often, since its answer alone tells that it takes some. */
#define PROBES_PER_S_ 0.1
/* A home that is new has this part of the rate until all nodes know of it. Until then the one before may
 * still grant, if it is cut off from some. */
#define NEW_HOME_PART_ 0.4
#define NEW_HOME_US_ (4 * BH__SECOND_US)

static bool is_in_force_(const BH__Limit *l, uint64_t now_us);
static void follow_(BH__EndpointRate *r, bool was_limited, uint64_t now_us);

static bool is_in_force_(const BH__Limit *l, uint64_t now_us)
{
	return l->per_s > 0 && now_us < l->until_us;
}

/* Sets a limit of one kind; `per_s` 0: there is none. */
void bh__endpoint_rate_set_limit(BH__EndpointRate *r, BH__LimitKind kind, double per_s, uint64_t until_us,
								 uint64_t now_us)
{
	bool was_limited = bh__endpoint_rate_is_limited(r, now_us);

	bh__bucket_spend(&r->requests, 0, now_us); /* what has gathered until now, at the rate of before */
	r->limit[kind] = (BH__Limit){.per_s = per_s, .until_us = until_us};
	follow_(r, was_limited, now_us);
}

/* Sets the limit that the endpoint has named. */
void bh__endpoint_rate_set_named(BH__EndpointRate *r, const BH__NamedLimit *named, uint64_t now_us)
{
	bh__endpoint_rate_set_limit(r, BH__LIMIT_NAMED, named->in_force ? MAX(named->per_s, PROBES_PER_S_) : 0,
								BH__LIMIT_NO_END, now_us);
}

/* Sets the part of the rate that this node counts for. */
void bh__endpoint_rate_set_part(BH__EndpointRate *r, double part, uint64_t now_us)
{
	bool counted = r->part > 0;

	if (r->part == part && r->requests.rate_per_s == bh__endpoint_rate_get_per_s(r, now_us) * part)
		return;
	bh__bucket_spend(&r->requests, 0, now_us);
	r->part = part;
	follow_(r, counted && bh__endpoint_rate_is_limited(r, now_us), now_us);
}

/* The limits or the part have changed. What was granted a moment before, by this node or another, is not
 * known, so that an endpoint which was not limited starts with nothing. */
static void follow_(BH__EndpointRate *r, bool was_limited, uint64_t now_us)
{
	bh__bucket_set_rate(&r->requests, bh__endpoint_rate_get_per_s(r, now_us) * r->part, BURST_);
	if (!was_limited) {
		r->requests.level = 0;
		r->requests.updated_us = now_us;
	}
}

bool bh__endpoint_rate_is_limited(const BH__EndpointRate *r, uint64_t now_us)
{
	return bh__endpoint_rate_get_per_s(r, now_us) > 0;
}

/* Returns the least of the limits that are in force, in requests a second; 0: there is none. */
double bh__endpoint_rate_get_per_s(const BH__EndpointRate *r, uint64_t now_us)
{
	double least = 0;

	for (int k = 0; k < BH__LIMIT_KIND_COUNT; k++)
		if (is_in_force_(&r->limit[k], now_us) && (least <= 0 || r->limit[k].per_s < least))
			least = r->limit[k].per_s;
	return least;
}

/* Returns the time until this node may grant a request; BH__LIMIT_NO_END: another node counts. */
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

/* A request is granted. */
void bh__endpoint_rate_note(BH__EndpointRate *r, uint64_t now_us)
{
	if (bh__endpoint_rate_is_limited(r, now_us))
		bh__bucket_spend(&r->requests, 1, now_us);
}

/* Grants a request that is to be sent in `*wait_us`, if that is no more than `patience_us`. Returns false
 * otherwise: nothing is granted, and one may ask again after that time. */
bool bh__endpoint_rate_promise(BH__EndpointRate *r, uint64_t patience_us, uint64_t now_us, uint64_t *wait_us)
{
	*wait_us = bh__endpoint_rate_get_wait_us(r, now_us);
	if (*wait_us > patience_us)
		return false;
	bh__endpoint_rate_note(r, now_us);
	return true;
}

/* Returns the part of a rate that a home has: where nodes are lost, those may have a home of their own behind
 * a cut. `known` includes the lost ones, but not those that left; `since_us`: when this node became home. */
double bh__home_part(unsigned alive, unsigned known, uint64_t since_us, uint64_t now_us)
{
	double reached = (double)alive / MAX(MAX(known, alive), 1u);

	return now_us < since_us + NEW_HOME_US_ ? MIN(reached, NEW_HOME_PART_) : reached;
}
