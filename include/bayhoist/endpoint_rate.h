/* SPDX-License-Identifier: BSD-3-Clause */
/* Limits the rate of requests that all nodes together send to an endpoint, while the endpoint is cold or
 * advertises a limit in its answers. One node, the endpoint's home, counts the requests of all nodes. The
 * home of an engine is the scheduler of its service, which grants every request in any case. The home of any
 * other endpoint is the node with the highest rendezvous weight for the service; the other nodes ask it
 * before they send. */
#ifndef BAYHOIST_ENDPOINT_RATE_H
#define BAYHOIST_ENDPOINT_RATE_H

#include "bayhoist/bucket.h"
#include "bayhoist/advertised_limit.h"

/* Reason for a limit. */
typedef enum {
	BH__LIMIT_COLD,       /* the endpoint has just started; the rate is configured */
	BH__LIMIT_ADVERTISED, /* the endpoint advertises a limit in its answers */
	BH__LIMIT_KIND_COUNT
} BH__LimitKind;

#define BH__LIMIT_NO_END UINT64_MAX /* a time that never comes */

typedef struct {
	double per_s;      /* requests per second of all nodes; 0: no limit of this kind */
	uint64_t until_us; /* end of the limit; BH__LIMIT_NO_END: until it is changed */
	/* Requests that the endpoint may have received from all nodes just before they knew of the limit. They
	 * count against it if the node begins to grant within a second of `since_us`. */
	double spent;
	uint64_t since_us; /* when this node learned of the limit; used only with `spent` */
} BH__Limit;

typedef struct {
	BH__Limit limit[BH__LIMIT_KIND_COUNT];
	double rate_share;   /* share of the rate that this node grants, 0 to 1; 0: another node grants all */
	BH__Bucket requests; /* requests that this node may still grant; negative: reserved for later */
} BH__EndpointRate;

void bh__endpoint_rate_set_limit(BH__EndpointRate *r, BH__LimitKind kind, double per_s, uint64_t until_us,
								 uint64_t now_us);
void bh__endpoint_rate_begin_limit(BH__EndpointRate *r, BH__LimitKind kind, const BH__Limit *limit,
								   uint64_t now_us);
void bh__endpoint_rate_set_advertised(BH__EndpointRate *r, const BH__AdvertisedLimit *named, uint64_t now_us);
void bh__endpoint_rate_set_rate_share(BH__EndpointRate *r, double share, uint64_t now_us);
bool bh__endpoint_rate_is_limited(const BH__EndpointRate *r, uint64_t now_us);
double bh__endpoint_rate_get_per_s(const BH__EndpointRate *r, uint64_t now_us);
uint64_t bh__endpoint_rate_get_wait_us(const BH__EndpointRate *r, uint64_t now_us);
bool bh__endpoint_rate_admits(const BH__EndpointRate *r, uint64_t now_us);
void bh__endpoint_rate_count_request(BH__EndpointRate *r, uint64_t now_us);
bool bh__endpoint_rate_reserve(BH__EndpointRate *r, uint64_t max_wait_us, uint64_t now_us, uint64_t *wait_us);
double bh__home_rate_share(unsigned alive, unsigned known, uint64_t since_us, uint64_t now_us);

#endif
