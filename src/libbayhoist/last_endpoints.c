/* SPDX-License-Identifier: BSD-3-Clause */
#include "bayhoist/last_endpoints.h"

#include <string.h>
#include "registry_internal.h"

/* Time that a request may take to arrive at its endpoint: the first packet of a connection that is lost is
 * sent again after a second. */
#define ARRIVAL_US_ (1100 * BH__MS_US)
/* Time after a store rollback in which nothing is known of the age of a change: the restored store may show
 * it as new although it was written before. */
#define ROLLBACK_US_ (10 * BH__SECOND_US)

static bool has_usable_(const BH__Registry *r, const char *service, uint64_t now_us);
static uint64_t bound_(uint64_t after_us, uint64_t drain_us);

/* Sets for how long after a change was written requests may still arrive at an endpoint: one that leaves or
 * whose entry is gone, and one whose hall drains. 0: the platform names no such time, and none is used. */
void bh__last_endpoints_set_bounds(BH__Registry *r, uint64_t endpoint_drain_us, uint64_t hall_drain_us)
{
	r->endpoint_drain_us = endpoint_drain_us;
	r->hall_drain_us = hall_drain_us;
}

/* Records that the table holds all changes of entries up to a platform read begun at `as_of_us`. */
void bh__last_endpoints_note_entries_read(BH__Registry *r, uint64_t as_of_us)
{
	r->entries_as_of_us = MAX(r->entries_as_of_us, as_of_us);
}

/* Records that the table holds all changes of halls up to a platform read begun at `as_of_us`. */
void bh__last_endpoints_note_halls_read(BH__Registry *r, uint64_t as_of_us)
{
	r->halls_as_of_us = MAX(r->halls_as_of_us, as_of_us);
}

/* Records an era in which something was read. A later one than the known one means that the store was
 * restored from a backup. */
void bh__last_endpoints_note_era(BH__Registry *r, uint64_t era)
{
	if (r->is_era_known && era > r->latest_era)
		r->ages_known_from_us = r->now_us + ROLLBACK_US_;
	r->latest_era = MAX(r->latest_era, era);
	r->is_era_known = true;
}

/* Returns a time, by this node's clock, after which a change was written that this node has just learned,
 * given the latest read without it; 0: unknown. */
uint64_t bh__last_endpoints_get_written_after_us(const BH__Registry *r, uint64_t as_of_us)
{
	return as_of_us > r->ages_known_from_us ? as_of_us : 0;
}

/* Returns the time until which requests may be sent after a change written after `after_us`. */
static uint64_t bound_(uint64_t after_us, uint64_t drain_us)
{
	return after_us && drain_us > ARRIVAL_US_ ? after_us + drain_us - ARRIVAL_US_ : 0;
}

/* Returns the time until which requests may be sent to an endpoint that is not usable; 0: none may. */
uint64_t bh__last_endpoints_get_until_us(const BH__Registry *r, const BH__RegisteredEndpoint *e)
{
	uint64_t until_us = G_MAXUINT64;

	if (e->entry.draining || e->gone_at_us)
		until_us = bound_(e->left_after_us, r->endpoint_drain_us);
	if (e->is_hall_draining)
		until_us = MIN(until_us, bound_(e->hall_drained_after_us, r->hall_drain_us));
	return until_us == G_MAXUINT64 ? 0 : until_us;
}

/* Returns true if a service has an endpoint that stays in use. One that asks for backoff or fails counts. */
static bool has_usable_(const BH__Registry *r, const char *service, uint64_t now_us)
{
	for (guint i = 0; i < r->table->len; i++) {
		const BH__RegisteredEndpoint *e = bh__registry_get(r, i);
		if (bh__registered_endpoint_is_usable(e, now_us) && !strcmp(e->entry.service, service))
			return true;
	}
	return false;
}

/* Returns true if an endpoint that is not usable is used as one of the last of its service. One that fails is
 * not, and neither is one whose entry is gone after a single failure: it may have crashed. */
bool bh__last_endpoints_is_used(const BH__Registry *r, const BH__RegisteredEndpoint *e, uint64_t now_us)
{
	if (bh__registered_endpoint_is_usable(e, now_us) || e->is_out_of_reach || now_us < e->ejected_until_us ||
		now_us >= bh__last_endpoints_get_until_us(r, e) || (e->gone_at_us && e->failures))
		return false;
	return !has_usable_(r, e->entry.service, now_us);
}

/* Returns true if this node may send a new request to an endpoint now. */
bool bh__registry_may_send(const BH__Registry *r, const BH__RegisteredEndpoint *e, uint64_t now_us)
{
	return bh__registered_endpoint_accepts_requests(e, now_us) ||
		   (now_us >= e->signals.backoff_until_us && bh__last_endpoints_is_used(r, e, now_us));
}
