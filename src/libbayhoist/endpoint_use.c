/* SPDX-License-Identifier: BSD-3-Clause */
/* The use of registered endpoints: what is learnt by sending to them, and the choice among those of a plain
 * service. */
#include "registry_internal.h"

#include <string.h>

/* An endpoint that failed is left alone for so long, then twice that. */
#define ASIDE_FIRST_US_ (200 * BH__MS_US)
#define ASIDE_MAX_US_ (3 * BH__SECOND_US)
#define ASIDE_FAILURES_ 2   /* one failure may be the request's own */
#define FAILURE_WEIGHT_ 0.2 /* of the latest use in the share of failures */
#define FAILURE_COST_ 10.0  /* a share of failures of 1 counts as so many requests under way */
#define ASIDE_COST_ 1e3     /* more than any load: only if there is no other */
#define TRIED_COST_ 1e6     /* more than that */
#define HALL_COST_ 0.4      /* another data hall counts as so many */
#define REPORT_FRESH_US_ (1 * BH__SECOND_US)

const char *const BH__UseString[] = {"served", "refused", "failed", "abandoned"};

static bool is_tried_(const uint64_t *tried, unsigned count, uint64_t endpoint_id);
static double cost_(const BH__RegisteredEndpoint *e, const char *hall, uint64_t now_us);

static bool is_tried_(const uint64_t *tried, unsigned count, uint64_t endpoint_id)
{
	for (unsigned i = 0; i < count; i++)
		if (tried[i] == endpoint_id)
			return true;
	return false;
}

/* Returns an endpoint's load for the choice, in requests for each slot. */
static double cost_(const BH__RegisteredEndpoint *e, const char *hall, uint64_t now_us)
{
	double load = e->in_flight;

	if (e->reported_us && now_us < e->reported_us + REPORT_FRESH_US_)
		load = MAX(load, (double)e->reported);
	if (now_us < e->signals.overloaded_until_us)
		load = MAX(load, (double)e->entry.slots);
	load += FAILURE_COST_ * e->failure_share;
	if (strcmp(e->entry.hall, hall) != 0)
		load += HALL_COST_;
	return load / MAX(e->entry.slots, 1u);
}

/* Returns the endpoint of a plain service with the least load, by chance among equals, or NULL. Those that
 * failed a moment ago are used only if there is no other; those in `tried` only with `again`, and only if
 * there is no other at all: one that failed a request may serve it the next time. Where one endpoint of three
 * was left that failed one request in some, 9 of 94 lookups ended with its first failure. */
BH__RegisteredEndpoint *bh__registry_pick(BH__Registry *r, const char *service, const char *hall,
										  const uint64_t *tried, unsigned tried_count, bool again,
										  uint64_t now_us)
{
	BH__RegisteredEndpoint *best = NULL;
	double best_cost = 0;
	guint start = r->table->len ? (guint)g_rand_int_range(r->rand, 0, (gint32)r->table->len) : 0;

	for (guint i = 0; i < r->table->len; i++) {
		BH__RegisteredEndpoint *e = bh__registry_get(r, (start + i) % r->table->len);
		bool was_tried = is_tried_(tried, tried_count, e->endpoint_id);
		double cost;
		if (strcmp(e->entry.service, service) != 0 || !bh__registered_endpoint_takes(e, now_us) ||
			now_us < e->full_until_us || (was_tried && !again))
			continue;
		cost = cost_(e, hall, now_us) + (now_us < e->set_aside_until_us ? ASIDE_COST_ : 0) +
			   (was_tried ? TRIED_COST_ : 0);
		if (!best || cost < best_cost) {
			best = e;
			best_cost = cost;
		}
	}
	return best;
}

/* A request goes to an endpoint. Returns the endpoint's life, for bh__registry_note_end(). */
uint64_t bh__registry_note_start(BH__Registry *r, uint64_t endpoint_id)
{
	BH__RegisteredEndpoint *e = bh__registry_find(r, endpoint_id);

	if (!e)
		return 0;
	e->in_flight++;
	return e->life;
}

/* Learns from how a request ended, unless the endpoint has started again since the request was sent. */
void bh__registry_note_end(BH__Registry *r, uint64_t endpoint_id, uint64_t life, BH__Use use, uint64_t now_us)
{
	BH__RegisteredEndpoint *e = bh__registry_find(r, endpoint_id);

	if (!e || e->life != life)
		return;
	e->in_flight -= e->in_flight > 0;
	if (use == BH__USE_SERVED) {
		e->failures = 0;
		e->failure_share *= 1 - FAILURE_WEIGHT_;
	}
	else if (use == BH__USE_FAILED) {
		e->failures++;
		e->failure_share += FAILURE_WEIGHT_ * (1 - e->failure_share);
		if (e->failures >= ASIDE_FAILURES_)
			e->set_aside_until_us =
				now_us + MIN(ASIDE_FIRST_US_ << MIN(e->failures - ASIDE_FAILURES_, 8u), ASIDE_MAX_US_);
	}
}

/* Takes what an endpoint said of its load. */
void bh__registry_note_load(BH__Registry *r, uint64_t endpoint_id, uint32_t running, uint32_t waiting,
							uint64_t now_us)
{
	BH__RegisteredEndpoint *e = bh__registry_find(r, endpoint_id);

	if (!e)
		return;
	e->reported = running + waiting;
	e->reported_us = now_us;
}

/* Sets what an endpoint of a service bears a second, of all nodes, while it is cold; 0: any number. To be
 * called after each change of the table, before one that has turned cold is used. */
void bh__registry_set_cold_rate(BH__Registry *r, const char *service, double per_s, uint64_t now_us)
{
	for (guint i = 0; i < r->table->len; i++) {
		BH__RegisteredEndpoint *e = bh__registry_get(r, i);
		const BH__Limit *l = &e->rate.limit[BH__LIMIT_COLD];
		if ((l->per_s != per_s || l->until_us != e->entry.cold_until_us) &&
			!strcmp(e->entry.service, service))
			bh__endpoint_rate_set_limit(&e->rate, BH__LIMIT_COLD, per_s, e->entry.cold_until_us, now_us);
	}
}

/* Takes what was heard of an endpoint's own limit: that it names one, as of when that was read, or that the
 * answer to a request which was sent at that time names none. Returns true if it changes what is known. */
bool bh__registered_endpoint_hear_limit(BH__RegisteredEndpoint *e, const BH__AdvertisedLimit *told,
										uint64_t now_us)
{
	bool changed = told->in_force
					   ? bh__advertised_limit_receive(&e->signals.named, told->per_s, told->received_us)
					   : bh__advertised_limit_receive_none(&e->signals.named, told->received_us);

	if (changed)
		bh__endpoint_rate_set_advertised(&e->rate, &e->signals.named, now_us);
	if (!e->signals.named.in_force)
		e->full_until_us = 0;
	return changed;
}

/* Returns true if an endpoint of a service may get a request that is not limited. */
bool bh__registry_has_unlimited(const BH__Registry *r, const char *service, uint64_t now_us)
{
	for (guint i = 0; i < r->table->len; i++) {
		const BH__RegisteredEndpoint *e = bh__registry_get(r, i);
		if (!strcmp(e->entry.service, service) && bh__registered_endpoint_takes(e, now_us) &&
			now_us >= e->set_aside_until_us && !bh__endpoint_rate_is_limited(&e->rate, now_us))
			return true;
	}
	return false;
}

/* Returns when the first of a service's endpoints may get a request, where each wants none of this node for
 * now, or its home grants none; 0: one may get it now, or there is none that can be used. */
uint64_t bh__registry_get_taking_us(const BH__Registry *r, const char *service, uint64_t now_us)
{
	uint64_t soonest_us = 0;

	for (guint i = 0; i < r->table->len; i++) {
		const BH__RegisteredEndpoint *e = bh__registry_get(r, i);
		uint64_t taking_us = MAX(e->full_until_us, e->signals.backoff_until_us);
		if (strcmp(e->entry.service, service) != 0 || !bh__registered_endpoint_is_usable(e, now_us))
			continue;
		if (taking_us <= now_us)
			return 0;
		soonest_us = soonest_us ? MIN(soonest_us, taking_us) : taking_us;
	}
	return soonest_us;
}

/* An endpoint wants nothing of this node until a time. The latest such time counts: neither a shorter word
 * nor a success ends it, since answers are read in another order than they were made. Returns true if it is
 * later than was known. */
bool bh__registered_endpoint_hear_backoff(BH__RegisteredEndpoint *e, uint64_t until_us)
{
	if (until_us <= e->signals.backoff_until_us)
		return false;
	e->signals.backoff_until_us = until_us;
	return true;
}

/* An endpoint has turned away a request of this or another node, and asked for backoff until a time: until
 * then it counts as one whose slots are all taken. Without that each node finds it idle, and is turned away
 * once. Returns true if that was not known. */
bool bh__registered_endpoint_hear_overload(BH__RegisteredEndpoint *e, uint64_t until_us, uint64_t now_us)
{
	bool is_new = now_us >= e->signals.overloaded_until_us && now_us < until_us;

	e->signals.overloaded_until_us = MAX(e->signals.overloaded_until_us, until_us);
	return is_new;
}

/* Lists the endpoints of a service that want nothing of this node for now; returns how many those are, or
 * `max` if there are more. */
unsigned bh__registry_list_backoffs(const BH__Registry *r, const char *service, uint64_t now_us,
									uint64_t out[], unsigned max)
{
	unsigned count = 0;

	for (guint i = 0; i < r->table->len && count < max; i++) {
		const BH__RegisteredEndpoint *e = bh__registry_get(r, i);
		if (now_us < e->signals.backoff_until_us && !strcmp(e->entry.service, service))
			out[count++] = e->endpoint_id;
	}
	return count;
}
