/* SPDX-License-Identifier: BSD-3-Clause */
/* Use of registered endpoints: what this node observes from the requests it sends, and the selection of an
 * endpoint for services without a planner. */
#include "registry_internal.h"

#include <string.h>
#include "bayhoist/last_endpoints.h"

/* Ejection time of an endpoint after repeated failures; doubles with each further failure. */
#define EJECTION_FIRST_US_ (200 * BH__MS_US)
#define EJECTION_MAX_US_ (3 * BH__SECOND_US)
#define EJECTION_FAILURES_                                                                                   \
	2 /* consecutive failures before ejection; a single failure may be caused by the request itself */
#define FAILURE_WEIGHT_ 0.2 /* weight of the latest request in the failure share */
#define FAILURE_COST_ 10.0  /* cost of a failure share of 1, in requests in flight */
#define EJECTED_COST_ 1e3   /* exceeds any load, so ejected endpoints are used only if there is no other */
#define TRIED_COST_ 1e6     /* exceeds EJECTED_COST_ */
#define HALL_COST_ 0.4      /* cost of an endpoint in another data hall, in requests in flight */
#define SILENT_MAX_ 8       /* silent endpoints of a service that a request is kept from */
#define REPORT_FRESH_US_ (1 * BH__SECOND_US) /* maximum age of a load report that counts */
/* Time from when a read of the platform is due until all nodes have its result. */
#define NOTICE_LAG_US_ (100 * BH__MS_US)

const char *const BH__EndpointOutcomeString[] = {"served", "refused", "failed", "abandoned"};

static bool is_tried_(const uint64_t *tried, unsigned count, uint64_t endpoint_id);
/* What an endpoint is picked for; see bh__registry_pick(). */
typedef struct {
	const char *service;
	const char *hall;
	const uint64_t *tried;
	unsigned tried_count;
	bool again;
	guint start; /* index in the table of the first endpoint to look at */
} Search_;

static double cost_(const BH__RegisteredEndpoint *e, const char *hall, uint64_t now_us);
static BH__RegisteredEndpoint *find_cheapest_(const BH__Registry *r, const Search_ *s, bool with_last,
											  uint64_t now_us);
static void set_cold_limit_(const BH__Registry *r, const BH__ServiceDemand *demand, BH__RegisteredEndpoint *e,
							double per_s, uint64_t now_us);

static bool is_tried_(const uint64_t *tried, unsigned count, uint64_t endpoint_id)
{
	for (unsigned i = 0; i < count; i++)
		if (tried[i] == endpoint_id)
			return true;
	return false;
}

/* Returns the cost of selecting an endpoint: its load, failures and distance in requests per slot. */
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

/* Returns the endpoint with the lowest cost for a service without a planner, chosen at random among equals,
 * or NULL. Ejected endpoints are used only if there is no other, and the last endpoints of a service
 * (last_endpoints.h) only if it has no usable one. Endpoints in `tried` are used only with `again`, and only
 * if no other endpoint is left, because an endpoint that failed a request may serve it the next time. */
BH__RegisteredEndpoint *bh__registry_pick(BH__Registry *r, const char *service, const char *hall,
										  const uint64_t *tried, unsigned tried_count, bool again,
										  uint64_t now_us)
{
	Search_ s = {
		.service = service, .hall = hall, .tried = tried, .tried_count = tried_count, .again = again};
	BH__RegisteredEndpoint *best;

	if (r->table->len)
		s.start = (guint)g_rand_int_range(r->rand, 0, (gint32)r->table->len);
	/* For each of the last endpoints the whole table is searched for a usable one of the service. */
	best = find_cheapest_(r, &s, false, now_us);
	return best ? best : find_cheapest_(r, &s, true, now_us);
}

/* Returns the endpoint with the lowest cost among those that accept requests, or `with_last` also among the
 * last ones of the service. */
static BH__RegisteredEndpoint *find_cheapest_(const BH__Registry *r, const Search_ *s, bool with_last,
											  uint64_t now_us)
{
	BH__RegisteredEndpoint *best = NULL;
	double best_cost = 0;

	for (guint i = 0; i < r->table->len; i++) {
		BH__RegisteredEndpoint *e = bh__registry_get(r, (s->start + i) % r->table->len);
		bool was_tried = is_tried_(s->tried, s->tried_count, e->endpoint_id);
		double cost;
		if (strcmp(e->entry.service, s->service) != 0 || now_us < e->no_grant_until_us ||
			(was_tried && !s->again) ||
			!(with_last ? bh__registry_may_send(r, e, now_us)
						: bh__registered_endpoint_accepts_requests(e, now_us)))
			continue;
		cost = cost_(e, s->hall, now_us) +
			   (now_us < MAX(e->ejected_until_us, e->silence.until_us) ? EJECTED_COST_ : 0) +
			   (was_tried ? TRIED_COST_ : 0);
		if (!best || cost < best_cost) {
			best = e;
			best_cost = cost;
		}
	}
	return best;
}

/* Returns the endpoint for a request that may run only once, like bh__registry_pick(), or NULL. It is not
 * sent where answers have stopped coming; while that is so everywhere it is not sent at all. */
BH__RegisteredEndpoint *bh__registry_pick_once(BH__Registry *r, const char *service, const char *hall,
											   const uint64_t *tried, unsigned tried_count, uint64_t now_us)
{
	uint64_t except[BH__TRIED_MAX + SILENT_MAX_];
	unsigned count = MIN(tried_count, BH__TRIED_MAX);
	BH__RegisteredEndpoint *e;

	if (count)
		memcpy(except, tried, count * sizeof *tried);
	do {
		e = bh__registry_pick(r, service, hall, except, count, false, now_us);
		if (!e || now_us >= e->silence.once_until_us)
			return e;
		except[count++] = e->endpoint_id;
	} while (count < G_N_ELEMENTS(except));
	return NULL;
}

/* Records that a request is sent to an endpoint. Returns the endpoint's incarnation for
 * bh__registry_note_end(), or 0 if the endpoint is not in the table. */
uint64_t bh__registry_note_start(BH__Registry *r, uint64_t endpoint_id, uint64_t now_us)
{
	BH__RegisteredEndpoint *e = bh__registry_find(r, endpoint_id);

	if (!e)
		return 0;
	if (!e->in_flight++)
		e->in_use_since_us = now_us;
	bh__endpoint_demand_note_start(&e->demand, now_us);
	return e->incarnation;
}

/* Records the outcome of a request, unless the endpoint has restarted since the request was sent. */
void bh__registry_note_end(BH__Registry *r, uint64_t endpoint_id, uint64_t incarnation,
						   BH__EndpointOutcome use, uint64_t now_us)
{
	BH__RegisteredEndpoint *e = bh__registry_find(r, endpoint_id);

	if (!e || e->incarnation != incarnation)
		return;
	e->in_flight -= e->in_flight > 0;
	if (use == BH__ENDPOINT_OUTCOME_SERVED) {
		e->failures = 0;
		e->failure_share *= 1 - FAILURE_WEIGHT_;
	}
	else if (use == BH__ENDPOINT_OUTCOME_FAILED) {
		e->failures++;
		e->failure_share += FAILURE_WEIGHT_ * (1 - e->failure_share);
		if (e->failures >= EJECTION_FAILURES_)
			e->ejected_until_us =
				now_us +
				MIN(EJECTION_FIRST_US_ << MIN(e->failures - EJECTION_FAILURES_, 8u), EJECTION_MAX_US_);
	}
}

/* Takes back all failures, which were this node's own fault. */
void bh__registry_withdraw_failures(BH__Registry *r)
{
	for (guint i = 0; i < r->table->len; i++) {
		BH__RegisteredEndpoint *e = bh__registry_get(r, i);
		e->ejected_until_us = 0;
		e->failures = 0;
		e->failure_share = 0;
	}
}

/* Records the numbers of running and waiting requests reported by an endpoint. */
void bh__registry_note_load(BH__Registry *r, uint64_t endpoint_id, uint32_t running, uint32_t waiting,
							uint64_t now_us)
{
	BH__RegisteredEndpoint *e = bh__registry_find(r, endpoint_id);

	if (!e)
		return;
	e->reported = running + waiting;
	e->reported_us = now_us;
}

/* Sets the rate in requests per second that each endpoint of a service accepts from all nodes together while
 * it is cold; 0: unlimited. Must be called after each change of the table, before an endpoint that has become
 * cold is used. Returns the longest time in microseconds between two reads of the platform with which an
 * endpoint that has become cold receives no more until all nodes know of it than it accepts in a second;
 * UINT64_MAX if it never receives more. */
uint64_t bh__registry_set_cold_rate(BH__Registry *r, const char *service, double per_s, uint64_t now_us)
{
	BH__ServiceDemand demand = {0};
	uint64_t notice_us;

	if (per_s > 0)
		demand = bh__registry_get_demand(r, service, now_us);
	for (guint i = 0; i < r->table->len; i++) {
		BH__RegisteredEndpoint *e = bh__registry_get(r, i);
		const BH__Limit *l = &e->rate.limit[BH__LIMIT_COLD];
		if ((l->per_s != per_s || l->until_us != e->entry.cold_until_us) &&
			!strcmp(e->entry.service, service))
			set_cold_limit_(r, &demand, e, per_s, now_us);
	}
	if (demand.max_per_s <= per_s)
		return UINT64_MAX;
	notice_us = (uint64_t)(per_s / demand.max_per_s * BH__SECOND_US);
	return notice_us - MIN(notice_us, NOTICE_LAG_US_);
}

/* Sets the cold limit of an endpoint. An endpoint that was in use while it was warm has received requests
 * since it became cold; those of a second are counted, up to what it accepts. */
static void set_cold_limit_(const BH__Registry *r, const BH__ServiceDemand *demand, BH__RegisteredEndpoint *e,
							double per_s, uint64_t now_us)
{
	const BH__Limit *was = &e->rate.limit[BH__LIMIT_COLD];
	BH__Limit limit = {.per_s = per_s, .until_us = e->entry.cold_until_us, .since_us = now_us};

	if (was->per_s > 0 && now_us >= was->until_us) {
		limit.spent = MIN(bh__registry_get_endpoint_demand_per_s(r, demand, e, now_us), per_s);
	}
	else if (was->per_s > 0) {
		limit.spent = was->spent;
		limit.since_us = was->since_us;
	}
	bh__endpoint_rate_begin_limit(&e->rate, BH__LIMIT_COLD, &limit, now_us);
}

/* Merges the limit that an endpoint advertises. `update->received_us` is the time when the limit was read or,
 * if the response contained none, when its request was sent. Returns true if the known limit changes. */
bool bh__registered_endpoint_receive_limit(BH__RegisteredEndpoint *e, const BH__AdvertisedLimit *update,
										   uint64_t now_us)
{
	bool changed =
		update->in_force
			? bh__advertised_limit_receive(&e->signals.advertised, update->per_s, update->received_us)
			: bh__advertised_limit_receive_none(&e->signals.advertised, update->received_us);

	if (changed)
		bh__endpoint_rate_set_advertised(&e->rate, &e->signals.advertised, now_us);
	if (!e->signals.advertised.in_force)
		e->no_grant_until_us = 0;
	return changed;
}

/* Returns true if a service has an endpoint that can be used now without a rate limit. */
bool bh__registry_has_unlimited(const BH__Registry *r, const char *service, uint64_t now_us)
{
	for (guint i = 0; i < r->table->len; i++) {
		const BH__RegisteredEndpoint *e = bh__registry_get(r, i);
		if (!strcmp(e->entry.service, service) && bh__registered_endpoint_accepts_requests(e, now_us) &&
			now_us >= e->ejected_until_us && !bh__endpoint_rate_is_limited(&e->rate, now_us))
			return true;
	}
	return false;
}

/* Returns the earliest time at which an endpoint of a service becomes available, if all usable ones have
 * asked this node for backoff or get no grants from their home node; 0 if one is available now or none is
 * usable. */
uint64_t bh__registry_get_available_us(const BH__Registry *r, const char *service, uint64_t now_us)
{
	uint64_t earliest_us = 0;

	for (guint i = 0; i < r->table->len; i++) {
		const BH__RegisteredEndpoint *e = bh__registry_get(r, i);
		uint64_t available_us = MAX(e->no_grant_until_us, e->signals.backoff_until_us);
		if (strcmp(e->entry.service, service) != 0 || !bh__registered_endpoint_is_usable(e, now_us))
			continue;
		if (available_us <= now_us)
			return 0;
		earliest_us = earliest_us ? MIN(earliest_us, available_us) : available_us;
	}
	return earliest_us;
}

/* Records that an endpoint asked this node for backoff until a time. The latest such time counts: neither a
 * shorter backoff nor a success ends it, since responses may be read in a different order than they were
 * made. Returns true if the time is later than the known one. */
bool bh__registered_endpoint_receive_backoff(BH__RegisteredEndpoint *e, uint64_t until_us)
{
	if (until_us <= e->signals.backoff_until_us)
		return false;
	e->signals.backoff_until_us = until_us;
	return true;
}

/* Records that an endpoint rejected a request of any node and asked for backoff until a time. Until then all
 * its slots count as occupied; otherwise each node would find it idle and be rejected once. Returns true if
 * the overload was not known. */
bool bh__registered_endpoint_receive_overload(BH__RegisteredEndpoint *e, uint64_t until_us, uint64_t now_us)
{
	bool is_new = now_us >= e->signals.overloaded_until_us && now_us < until_us;

	e->signals.overloaded_until_us = MAX(e->signals.overloaded_until_us, until_us);
	return is_new;
}

/* Lists in `out` the ids of a service's endpoints from which this node currently has a request for backoff.
 * Returns their number, at most `max`. */
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
