/* SPDX-License-Identifier: BSD-3-Clause */
/* How many requests an endpoint may get of all nodes together: while it is cold, and while it names a limit
 * in its answers. One node counts for all, the endpoint's home: of engines the scheduler of their service,
 * which grants each request anyhow; of other endpoints the node with the highest rendezvous weight for the
 * service, which the others ask before they send. */
#ifndef BAYHOIST_ENDPOINT_RATE_H
#define BAYHOIST_ENDPOINT_RATE_H

#include "bayhoist/bucket.h"
#include "bayhoist/named_limit.h"

/* What limits an endpoint; a limit of another kind is one more of these. */
typedef enum {
	BH__LIMIT_COLD,  /* it has just started, and bears what the configuration says */
	BH__LIMIT_NAMED, /* it names a limit in its answers */
	BH__LIMIT_KIND_COUNT
} BH__LimitKind;

#define BH__LIMIT_NO_END UINT64_MAX

typedef struct {
	double per_s;      /* requests of all nodes; 0: none of this kind */
	uint64_t until_us; /* it is in force until then */
} BH__Limit;

typedef struct {
	BH__Limit limit[BH__LIMIT_KIND_COUNT];
	double part;         /* of the rate that this node counts for; 0: another node does */
	BH__Bucket requests; /* that this node may still grant; below 0 those that it has promised for later */
} BH__EndpointRate;

void bh__endpoint_rate_set_limit(BH__EndpointRate *r, BH__LimitKind kind, double per_s, uint64_t until_us,
								 uint64_t now_us);
void bh__endpoint_rate_set_named(BH__EndpointRate *r, const BH__NamedLimit *named, uint64_t now_us);
void bh__endpoint_rate_set_part(BH__EndpointRate *r, double part, uint64_t now_us);
bool bh__endpoint_rate_is_limited(const BH__EndpointRate *r, uint64_t now_us);
double bh__endpoint_rate_get_per_s(const BH__EndpointRate *r, uint64_t now_us);
uint64_t bh__endpoint_rate_get_wait_us(const BH__EndpointRate *r, uint64_t now_us);
bool bh__endpoint_rate_admits(const BH__EndpointRate *r, uint64_t now_us);
void bh__endpoint_rate_note(BH__EndpointRate *r, uint64_t now_us);
bool bh__endpoint_rate_promise(BH__EndpointRate *r, uint64_t patience_us, uint64_t now_us, uint64_t *wait_us);
double bh__home_part(unsigned alive, unsigned known, uint64_t since_us, uint64_t now_us);

#endif
