/* SPDX-License-Identifier: BSD-3-Clause */
/* The ask of a call while its scheduler has not answered: when it is repeated, and when this node places the
 * prompt by itself. */
#include "call_internal.h"

#include "bayhoist/ask_timeout.h"
#include "clock.h"
#include "log.h"

#define QUEUED_REPEAT_US (200 * BH__MS_US) /* interval at which a queued request repeats its ask */

static void repeat_ask_(Call *c, uint64_t now_us);
static void ask_locally_(Call *c, uint64_t now_us);

/* Returns the name of the node that was asked, or "unknown" if it is no member any more. */
const char *call_scheduler_name(const Call *c)
{
	const BH__MemberInfo *info = bh__members_find(c->gate->members, c->admission.asked_node);

	return info ? info->name : "unknown";
}

/* Lists in the ask the engines from which this node backs off. Called whenever the ask is sent. */
void call_fill_backoffs(Call *c)
{
	BH__Ask *a = &c->admission.ask;

	a->backoff_count = (uint8_t)bh__registry_list_backoffs(c->gate->registry, c->service->name,
														   clock_now_us(), a->backoff, BH__BACKOFF_MAX);
}

/* Returns when the ask is repeated, or decided by this node. */
uint64_t call_get_ask_due_us(const Call *c)
{
	return c->asked_us + (c->queued ? QUEUED_REPEAT_US : BH__ASK_REPEAT_US);
}

/* Repeats an ask that was queued or not answered, or lets this node place the prompt if the scheduler has
 * been silent for too long. */
void call_process_ask_due(Call *c, uint64_t now_us)
{
	if (c->queued || cluster_awaits(c->gate->cluster, c->admission.asked_node) ||
		now_us < c->unanswered_since_us + bh__ask_get_timeout_us(&c->admission.ask))
		repeat_ask_(c, now_us);
	else
		ask_locally_(c, now_us);
}

/* Sends the current ask again, with the current list of backoffs. */
static void repeat_ask_(Call *c, uint64_t now_us)
{
	if (c->queued)
		c->unanswered_since_us = now_us;
	c->queued = false;
	c->asked_us = now_us;
	call_set_timer(c, now_us);
	call_fill_backoffs(c);
	cluster_resend_ask(c->gate->cluster, c);
}

/* Lets this node's own planner answer the ask. */
static void ask_locally_(Call *c, uint64_t now_us)
{
	c->gate->counters.local_grants++;
	log_event("alone", "request=%s scheduler=%s waited_ms=%" G_GUINT64_FORMAT, c->request->meta.request_id,
			  call_scheduler_name(c), (now_us - c->unanswered_since_us) / BH__MS_US);
	c->asked_us = now_us;
	call_set_timer(c, now_us);
	call_fill_backoffs(c);
	cluster_ask_locally(c->gate->cluster, c);
}
