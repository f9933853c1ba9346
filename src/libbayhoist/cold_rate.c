/* SPDX-License-Identifier: BSD-3-Clause */
/* The rate of requests to an endpoint that is cold. */
#include "bayhoist/cold_rate.h"

#include <glib.h>
#include "bayhoist/hash.h"

/* Of the rate that the endpoint bears. Together they leave room for requests on their way to it when the
 * scheduler changes, or which two nodes count in different seconds. */
#define SCHEDULER_SHARE_ 0.75
#define ALONE_SHARE_ 0.25
#define PLAIN_SHARE_ 1.0
#define LEVEL_MAX_ 2.0 /* requests that may come at once */

/* Returns what one of so many nodes may send a second to an endpoint that bears `per_s` of all. */
double bh__cold_rate_get_part(double per_s, BH__ColdPart part, unsigned nodes)
{
	if (part == BH__COLD_SCHEDULER)
		return per_s * SCHEDULER_SHARE_;
	return per_s * (part == BH__COLD_ALONE ? ALONE_SHARE_ : PLAIN_SHARE_) / MAX(nodes, 1u);
}

/* Returns a number from 0 to 1 for a node and an endpoint: the part of a request that it may send at first.
 */
double bh__cold_phase(uint64_t seed, uint64_t endpoint_id)
{
	return (double)(bh__hash_pair(seed, endpoint_id) >> 32) / ((double)UINT32_MAX + 1);
}

/* The endpoint is cold, or goes on to be: `until_us`. */
void bh__cold_rate_begin(BH__ColdRate *c, uint64_t until_us, double phase, uint64_t now_us)
{
	if (now_us >= c->until_us) {
		c->requests.level = phase;
		c->requests.updated_us = now_us;
	}
	c->until_us = until_us;
}

/* Sets this node's part. What has gathered until now stays. */
void bh__cold_rate_set(BH__ColdRate *c, double per_s, uint64_t now_us)
{
	bh__bucket_spend(&c->requests, 0, now_us);
	bh__bucket_set_rate(&c->requests, per_s, LEVEL_MAX_);
}

/* Returns true if the endpoint may get a request now. */
bool bh__cold_rate_admits(const BH__ColdRate *c, uint64_t now_us)
{
	return now_us >= c->until_us || c->requests.rate_per_s <= 0 ||
		   bh__bucket_get_level(&c->requests, now_us) >= 1;
}

/* The endpoint gets a request. */
void bh__cold_rate_note(BH__ColdRate *c, uint64_t now_us)
{
	if (now_us < c->until_us)
		bh__bucket_spend(&c->requests, 1, now_us);
}
