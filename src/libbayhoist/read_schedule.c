/* SPDX-License-Identifier: BSD-3-Clause */
/* Schedule of platform reads with exponential backoff. */
#include "bayhoist/read_schedule.h"

#include <glib.h>

/* Share of the time limit for applying a change on all nodes. State received from other nodes is usually
 * younger than this, and the rest of the limit is enough for a read and for applying its result. */
#define MAX_AGE_SHARE_ 0.8

/* Returns the age in microseconds at which a node that does not read for others reads the configuration
 * itself. All nodes must apply a change within `bound_us`. A node that reads the endpoints itself
 * (`reads_itself`), because no peer sent them, does not receive the configuration from peers either: it reads
 * once per `period_us`, as the reader does. With the whole bound as maximum age, nodes without peers applied
 * a change 60 ms too late. */
uint64_t bh__read_schedule_get_max_age_us(uint64_t bound_us, uint64_t period_us, bool reads_itself)
{
	return reads_itself ? period_us : (uint64_t)((double)bound_us * MAX_AGE_SHARE_);
}

/* Returns true if a read is due at `now_us`, and then records it as sent. `answered_us` is the send time of
 * the latest read that was answered. With `steady`, reads are sent once per period without backoff, because
 * the store is known to answer other nodes or because other nodes depend on this one. */
bool bh__read_schedule_process(BH__ReadSchedule *s, uint64_t period_us, uint64_t answered_us, bool steady,
							   uint64_t now_us)
{
	bool failed = s->sent_us && answered_us < s->sent_us;

	if (!failed || steady)
		s->backoff_us = period_us;
	if (s->sent_us && now_us < s->sent_us + MAX(s->backoff_us, period_us))
		return false;
	if (failed)
		s->backoff_us = MIN(s->backoff_us * 2, BH__READ_SCHEDULE_BACKOFF_MAX_US);
	s->sent_us = now_us;
	return true;
}
