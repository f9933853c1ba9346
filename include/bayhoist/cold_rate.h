/* SPDX-License-Identifier: BSD-3-Clause */
/* How many requests an endpoint may get that is cold: it bears so many a second from all nodes together, and
 * falls over at well above that. Nodes share no count. The scheduler of a service, which grants for all, has
 * most of the rate; each node that decides alone has an even part of the rest, from a random moment on, so
 * that nodes which begin together do not all send at once. */
#ifndef BAYHOIST_COLD_RATE_H
#define BAYHOIST_COLD_RATE_H

#include "bayhoist/bucket.h"

/* Who counts against a rate. */
typedef enum {
	BH__COLD_SCHEDULER, /* one node, beside which others may decide alone */
	BH__COLD_ALONE,     /* one of those */
	BH__COLD_PLAIN      /* one of all nodes, for a service that nobody schedules */
} BH__ColdPart;

typedef struct {
	uint64_t until_us;   /* it is cold until then; 0: it is not */
	BH__Bucket requests; /* of this node; a rate of 0: without limit */
} BH__ColdRate;

double bh__cold_rate_get_part(double per_s, BH__ColdPart part, unsigned nodes);
void bh__cold_rate_begin(BH__ColdRate *c, uint64_t until_us, double phase, uint64_t now_us);
void bh__cold_rate_set(BH__ColdRate *c, double per_s, uint64_t now_us);
bool bh__cold_rate_admits(const BH__ColdRate *c, uint64_t now_us);
void bh__cold_rate_note(BH__ColdRate *c, uint64_t now_us);
double bh__cold_phase(uint64_t seed, uint64_t endpoint_id);

#endif
