/* SPDX-License-Identifier: BSD-3-Clause */
/* Estimates how many requests per second an endpoint receives from all nodes. A node knows only its own
 * requests and takes those of each other node to be as many. */
#include "registry_internal.h"

#include <math.h>
#include <string.h>

/* Time constants, in seconds, of the counts' decay. The short one follows a change of the load within a
 * second. One of many nodes sends too few requests in that time to estimate from; the long one counts more of
 * them. */
static const double DecayS_[BH__DEMAND_WINDOWS] = {1, 10};

/* Standard deviations by which a count is reduced before it stands for the requests of all nodes; otherwise
 * a single request of one of many nodes would count as one of each. The highest count of many endpoints is
 * further from its mean than a sum. */
#define SUM_DEVIATIONS_ 1.0
#define ENDPOINT_DEVIATIONS_ 2.0

static double get_count_(const BH__EndpointDemand *d, unsigned window, uint64_t now_us);
static double get_rate_per_s_(const BH__Registry *r, unsigned window, double count, double deviations);

/* Sets the number of reachable nodes, with this one. */
void bh__registry_set_node_count(BH__Registry *r, unsigned nodes)
{
	r->node_count = nodes;
}

/* Counts a request that this node sends. */
void bh__endpoint_demand_note_start(BH__EndpointDemand *d, uint64_t now_us)
{
	for (unsigned w = 0; w < BH__DEMAND_WINDOWS; w++)
		d->count[w] = get_count_(d, w, now_us) + 1;
	d->updated_us = MAX(now_us, d->updated_us);
}

/* Returns the estimated demand on the endpoints of a service. */
BH__ServiceDemand bh__registry_get_demand(const BH__Registry *r, const char *service, uint64_t now_us)
{
	double sum[BH__DEMAND_WINDOWS] = {0};
	unsigned usable = 0;
	BH__ServiceDemand s = {0};

	for (guint i = 0; i < r->table->len; i++) {
		const BH__RegisteredEndpoint *e = g_ptr_array_index(r->table, i);
		if (strcmp(e->entry.service, service) != 0)
			continue;
		for (unsigned w = 0; w < BH__DEMAND_WINDOWS; w++)
			sum[w] += get_count_(&e->demand, w, now_us);
		s.max_per_s = MAX(s.max_per_s, bh__registry_get_endpoint_demand_per_s(r, &s, e, now_us));
		usable += bh__registered_endpoint_is_usable(e, now_us);
	}
	for (unsigned w = 0; w < BH__DEMAND_WINDOWS; w++)
		s.mean_per_s = MAX(s.mean_per_s, get_rate_per_s_(r, w, sum[w], SUM_DEVIATIONS_) / MAX(usable, 1u));
	s.max_per_s = MAX(s.max_per_s, s.mean_per_s);
	return s;
}

/* Returns the estimated demand on one endpoint of the service whose demand is `s`. */
double bh__registry_get_endpoint_demand_per_s(const BH__Registry *r, const BH__ServiceDemand *s,
											  const BH__RegisteredEndpoint *e, uint64_t now_us)
{
	double per_s = s->mean_per_s;

	for (unsigned w = 0; w < BH__DEMAND_WINDOWS; w++)
		per_s = MAX(per_s, get_rate_per_s_(r, w, get_count_(&e->demand, w, now_us), ENDPOINT_DEVIATIONS_));
	return per_s;
}

/* Returns a decayed count at `now_us`. */
static double get_count_(const BH__EndpointDemand *d, unsigned window, uint64_t now_us)
{
	if (now_us <= d->updated_us)
		return d->count[window];
	return d->count[window] * exp(-(double)(now_us - d->updated_us) / BH__SECOND_US / DecayS_[window]);
}

/* Returns the rate of all nodes for which a count of this node's requests stands, rather a low estimate. The
 * variance of a decayed count of random arrivals is half of the count. */
static double get_rate_per_s_(const BH__Registry *r, unsigned window, double count, double deviations)
{
	double least = count - deviations * sqrt(count / 2);

	return MAX(least, 0.0) / DecayS_[window] * MAX(r->node_count, 1u);
}
