/* SPDX-License-Identifier: BSD-3-Clause */
/* Ways for many nodes to keep a limit that one endpoint has named: each node keeps to it alone, each has an
 * even part of it, or one node, its home, counts for all. Twice as many requests come as it takes. Prints the
 * most that the endpoint gets in any 4 s for each that it may get, and the share of its limit that is used.
 */
#include <glib.h>
#include <math.h>
#include <stdio.h>
#include "bayhoist/endpoint_rate.h"

#define DAY_US (120 * BH__SECOND_US)
#define SPAN_US (4 * BH__SECOND_US)
#define OVER 1.5
#define SLACK 5
#define DEMAND 2.0 /* requests for each that the endpoint takes */
#define PATIENCE_US (100 * BH__MS_US)
#define SEEDS 10

typedef enum { WAY_ALONE, WAY_EVEN, WAY_HOME, WAY_COUNT } Way;

static const char *const WayString[] = {"each alone", "even parts", "a home"};

typedef struct {
	double most; /* of what is allowed */
	double used;
} Result;

static void limit_(BH__EndpointRate *r, double per_s, double part)
{
	const BH__AdvertisedLimit named = {.in_force = true, .per_s = per_s};

	*r = (BH__EndpointRate){0};
	bh__endpoint_rate_set_rate_share(r, part, 0);
	bh__endpoint_rate_set_advertised(r, &named, 0);
}

/* Returns the most arrivals of any span. */
static unsigned most_(const GArray *arrivals)
{
	unsigned most = 0;

	for (guint from = 0, to = 0; to < arrivals->len; to++) {
		while (g_array_index(arrivals, uint64_t, to) - g_array_index(arrivals, uint64_t, from) >= SPAN_US)
			from++;
		most = MAX(most, to - from + 1);
	}
	return most;
}

/* Plays requests that come at random times to the first `busy` of so many nodes. */
static Result play_(Way way, unsigned nodes, unsigned busy, double per_s, uint32_t seed)
{
	GRand *rand = g_rand_new_with_seed(seed);
	GArray *arrivals = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	BH__EndpointRate *rate = g_new(BH__EndpointRate, nodes);
	double gap_us = BH__SECOND_US / (per_s * DEMAND);
	Result out;

	for (unsigned i = 0; i < nodes; i++)
		limit_(&rate[i], per_s, way == WAY_EVEN ? 1.0 / nodes : 1);
	for (double us = 0; us < DAY_US; us -= gap_us * log(1 - g_rand_double(rand))) {
		unsigned node = (unsigned)g_rand_int_range(rand, 0, (gint32)busy);
		uint64_t wait_us;
		uint64_t at_us;
		if (!bh__endpoint_rate_reserve(&rate[way == WAY_HOME ? 0 : node], PATIENCE_US, (uint64_t)us,
									   &wait_us))
			continue;
		at_us = (uint64_t)us + wait_us;
		g_array_append_val(arrivals, at_us);
	}
	out.most = most_(arrivals) / (OVER * per_s * SPAN_US / BH__SECOND_US + SLACK);
	out.used = arrivals->len / (per_s * DAY_US / BH__SECOND_US);
	g_array_unref(arrivals);
	g_free(rate);
	g_rand_free(rand);
	return out;
}

int main(void)
{
	static const unsigned Nodes[] = {9, 85, 300, 984};
	static const double Limits[] = {0.25, 2.5, 25};

	puts("way         nodes  with requests  limit/s  most of allowed  used");
	for (int way = 0; way < WAY_COUNT; way++) {
		for (unsigned i = 0; i < G_N_ELEMENTS(Nodes) * G_N_ELEMENTS(Limits) * 2; i++) {
			unsigned nodes = Nodes[i / 2 % G_N_ELEMENTS(Nodes)];
			unsigned busy = i % 2 ? MAX(nodes / 10, 1) : nodes;
			double per_s = Limits[i / 2 / G_N_ELEMENTS(Nodes)];
			Result sum = {0};
			for (uint32_t seed = 1; seed <= SEEDS; seed++) {
				Result r = play_((Way)way, nodes, busy, per_s, seed);
				sum.most = MAX(sum.most, r.most);
				sum.used += r.used / SEEDS;
			}
			printf("%-11s %5u  %13u  %7.2f  %15.2f  %4.2f\n", WayString[way], nodes, busy, per_s, sum.most,
				   sum.used);
		}
	}
	return 0;
}
