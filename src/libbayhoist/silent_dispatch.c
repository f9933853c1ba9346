/* SPDX-License-Identifier: BSD-3-Clause */
#include "bayhoist/silent_dispatch.h"

#include <string.h>

/* Time between two looks at a dispatch that stays silent. Each may find that others are heard again, that the
 * retry budget has been refilled, or that an engine has become free. */
#define LOOK_PERIOD_US_ (200 * BH__MS_US)

/* Time before a dispatch is overdue at which its endpoint is probed: as long as a probe takes, so that its
 * result is there by then. */
#define PROBE_AHEAD_US_ (450 * BH__MS_US)

const char *const BH__SilentDispatchActionString[] = {"replace", "all-silent", "no-retry"};

/* Collects what the requests of this node show about endpoint `e`, whose dispatch last went on at
 * `received_us` and may be silent for `max_wait_us`. Another endpoint counts as heard if it was for half of
 * that longer than `e`: whatever silences all does so at one moment, but each was last heard up to one event
 * earlier. It counts as silent if it was not, and has had requests for as long: one that was sent just now,
 * perhaps from `e`, can't have been answered. */
void bh__silence_evidence_collect(BH__SilenceEvidence *out, const BH__Registry *registry,
								  const BH__RegisteredEndpoint *e, uint64_t received_us, uint64_t max_wait_us,
								  uint64_t now_us)
{
	uint64_t heard_us = MAX(e->silence.heard_us, received_us);

	memset(out, 0, sizeof *out);
	out->is_endpoint_heard = now_us < heard_us + max_wait_us / 2;
	for (unsigned i = 0; i < bh__registry_get_count(registry); i++) {
		const BH__RegisteredEndpoint *other = bh__registry_get(registry, i);
		if (other == e || strcmp(other->entry.service, e->entry.service) != 0)
			continue;
		if (other->silence.heard_us > heard_us + max_wait_us / 2)
			out->heard++;
		else if (other->in_flight && now_us >= other->in_use_since_us + max_wait_us / 2)
			out->silent++;
	}
}

/* Decides about a dispatch that is overdue after `max_wait_us`. Without a dispatch that may follow, or while
 * all endpoints that could be compared are as silent, giving up the answer that may still come gains nothing.
 * When such a silence ends, the endpoints are heard one after the other, so this one is waited for a little
 * longer. */
BH__SilentDispatchAction bh__silent_dispatch_decide(BH__SilentDispatch *s,
													const BH__SilenceEvidence *evidence, uint64_t max_wait_us,
													const BH__RetryState *state,
													const BH__ServiceRetryBudget *budget, uint64_t now_us)
{
	bool is_alone = evidence->heard > 0 || evidence->silent == 0;

	if (!evidence->is_own_fault && !evidence->is_endpoint_heard && !is_alone)
		s->all_silent_us = now_us;
	if (!bh__retry_state_may_follow_failure(state, budget, now_us))
		s->action = BH__SILENT_DISPATCH_NO_RETRY;
	else if (!evidence->is_own_fault && s->all_silent_us && now_us < s->all_silent_us + max_wait_us / 2)
		s->action = BH__SILENT_DISPATCH_ALL_SILENT;
	else
		s->action = BH__SILENT_DISPATCH_REPLACE;
	return s->action;
}

/* Returns when the endpoint of a dispatch that last went on at `received_us` is probed. */
uint64_t bh__silent_dispatch_get_probe_us(uint64_t received_us, uint64_t max_wait_us)
{
	return received_us + max_wait_us - MIN(max_wait_us, PROBE_AHEAD_US_);
}

/* Returns when such a dispatch is to be probed or looked at next: probed once, looked at when it has been
 * silent for `max_wait_us`, and then again and again. */
uint64_t bh__silent_dispatch_get_due_us(const BH__SilentDispatch *s, uint64_t received_us,
										uint64_t max_wait_us)
{
	uint64_t probe_us = bh__silent_dispatch_get_probe_us(received_us, max_wait_us);
	uint64_t overdue_us = received_us + max_wait_us;

	if (s->looked_us < probe_us)
		return probe_us;
	return s->looked_us < overdue_us ? overdue_us : s->looked_us + LOOK_PERIOD_US_;
}
