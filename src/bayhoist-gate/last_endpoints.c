/* SPDX-License-Identifier: BSD-3-Clause */
/* Shows operators the use of the last endpoints of services (bayhoist/last_endpoints.h), and sets its bounds.
 */
#include "bayhoist/last_endpoints.h"

#include "clock.h"
#include "gate.h"
#include "log.h"

#define LOG_PERIOD_US (1 * BH__SECOND_US) /* such requests may come by the hundreds a second */

/* Applies the bounds in the settings. */
void last_endpoints_apply_settings(Gate *g)
{
	bh__last_endpoints_set_bounds(g->registry, g->settings.endpoint_drain_ms * BH__MS_US,
								  g->settings.hall_drain_ms * BH__MS_US);
}

/* Counts and logs a dispatch to an endpoint that gets requests only as one of the last of its service. */
void last_endpoints_note_dispatch(Gate *g, const BH__RegisteredEndpoint *e, uint64_t now_us)
{
	uint64_t until_us;

	if (bh__registered_endpoint_is_usable(e, now_us))
		return;
	g->counters.last_endpoint_dispatches++;
	if (now_us < g->last_endpoint_logged_us + LOG_PERIOD_US)
		return;
	g->last_endpoint_logged_us = now_us;
	until_us = bh__last_endpoints_get_until_us(g->registry, e);
	log_event("last-endpoint",
			  "service=%s endpoint=%s state=%s left_ms=%" G_GUINT64_FORMAT " sendings=%" G_GUINT64_FORMAT,
			  e->entry.service, e->entry.id, endpoints_get_state(e, now_us),
			  (until_us - MIN(until_us, now_us)) / BH__MS_US, g->counters.last_endpoint_dispatches);
}

/* Writes, as a metric, how many requests were sent to the last endpoints of services. */
void last_endpoints_write_status(const Gate *g, struct evbuffer *out)
{
	evbuffer_add_printf(out, "bayhoist_last_endpoint_sendings_total %" G_GUINT64_FORMAT "\n",
						g->counters.last_endpoint_dispatches);
}
