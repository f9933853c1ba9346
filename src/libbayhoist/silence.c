/* SPDX-License-Identifier: BSD-3-Clause */
#include "bayhoist/silence.h"

#include <glib.h>

/* Time within which a second overdue request confirms the first one. */
#define REPORTS_WITHIN_US_ (500 * BH__MS_US)
/* Reports on one endpoint that a node sends in a period: as many as the home node needs. */
#define REPORTS_MAX_ 2
#define REPORTS_PERIOD_US_ (100 * BH__MS_US)
/* Duration of a silence's first declaration. It doubles with each further one. An endpoint that goes on after
 * it was declared silent is thus used again no later than twice the time that it was silent. */
#define HOLD_FIRST_US_ (400 * BH__MS_US)
/* Shortest time in which the nodes return one by one: longer than what a request takes to be overdue, so that
 * few try an endpoint that is still silent. */
#define RETURN_MIN_US_ BH__SECOND_US
/* A request that may run only once is kept away for this multiple of the declaration, or of RETURN_MIN_US_ if
 * that is longer: the last node has returned by then, and what it tried the endpoint with is overdue. */
#define ONCE_HOLD_FACTOR_ 3
#define HOLD_MAX_US_ (2 * BH__SECOND_US)
/* Shortest time after which a request is overdue: a packet that is lost is sent again within this time. */
#define OVERDUE_MIN_US_ (250 * BH__MS_US)

/* Records that this node has received something from the endpoint. Returns true if that ends its silence. */
bool bh__silence_note_heard(BH__Silence *s, uint64_t heard_us)
{
	s->heard_us = MAX(s->heard_us, heard_us);
	return bh__silence_withdraw(s, heard_us);
}

/* Returns true if this node is to report an overdue request that was sent at `sent_us`, and counts the
 * report. Where many are overdue at once a few of them say enough. */
bool bh__silence_may_send_report(BH__Silence *s, uint64_t sent_us, uint64_t now_us)
{
	if (sent_us <= s->heard_us || now_us < s->until_us)
		return false;
	if (now_us >= s->sent_reports_us + REPORTS_PERIOD_US_) {
		s->sent_reports_us = now_us;
		s->sent_reports = 0;
	}
	return s->sent_reports++ < REPORTS_MAX_;
}

/* Records, on the home node, a report of a request that was sent at `sent_us` and is overdue. Returns true if
 * the endpoint is to be declared silent: two requests are overdue, or one that was sent to try an endpoint
 * that was silent. The silence has lasted since `first_sent_us` at least, and the declaration is to last for
 * `hold_us`. */
bool bh__silence_add_report(BH__Silence *s, uint64_t sent_us, uint64_t now_us)
{
	bool is_confirmed = s->reported_us && now_us < s->reported_us + REPORTS_WITHIN_US_;

	if (sent_us <= MAX(s->refuted_us, s->heard_us) || now_us < s->declared_until_us)
		return false;
	if (!is_confirmed && !s->since_us) {
		s->reported_us = now_us;
		s->first_sent_us = sent_us;
		return false;
	}
	s->first_sent_us = s->since_us ? s->since_us : MIN(s->first_sent_us, sent_us);
	s->hold_us = s->since_us ? MIN(s->hold_us * 2, HOLD_MAX_US_) : HOLD_FIRST_US_;
	s->reported_us = 0;
	return true;
}

/* Applies the declaration that the endpoint is silent since `since_us`, for `hold_us`. `stretch`, from 0 to
 * 1, is this node's own part by which the time grows, so that a few nodes try the endpoint before the others.
 * Returns false if that is known. */
bool bh__silence_declare(BH__Silence *s, uint64_t since_us, uint64_t hold_us, double stretch, uint64_t now_us)
{
	if (s->since_us && s->hold_us == hold_us && now_us < s->declared_until_us)
		return false;
	s->since_us = since_us;
	s->hold_us = hold_us;
	s->declared_until_us = now_us + hold_us;
	s->until_us = s->declared_until_us + (uint64_t)((double)MAX(hold_us, RETURN_MIN_US_) * stretch);
	s->once_until_us = now_us + ONCE_HOLD_FACTOR_ * MAX(hold_us, RETURN_MIN_US_);
	return true;
}

/* Returns true if this node has heard from the endpoint since `since_us` and has to contradict a declaration,
 * which it does once in the time of one. */
bool bh__silence_contradicts(BH__Silence *s, uint64_t since_us, uint64_t now_us)
{
	if (s->heard_us <= since_us || now_us < s->contradicted_us + HOLD_FIRST_US_)
		return false;
	s->contradicted_us = now_us;
	return true;
}

/* Records that some node has heard from the endpoint at `heard_us`. Returns true if that ends its silence. */
bool bh__silence_withdraw(BH__Silence *s, uint64_t heard_us)
{
	s->refuted_us = MAX(s->refuted_us, heard_us);
	if (s->reported_us && heard_us >= s->first_sent_us)
		s->reported_us = 0;
	if (!s->since_us || heard_us <= s->since_us)
		return false;
	s->since_us = 0;
	s->declared_until_us = 0;
	s->until_us = 0;
	s->once_until_us = 0;
	return true;
}

/* Returns how long after it was sent a request is overdue. `usual_us` is a time that few answers of its route
 * exceed, 0 if none was observed, and `target_us` that in which its callers want an answer. */
uint64_t bh__silence_get_overdue_us(uint64_t usual_us, uint64_t target_us)
{
	return MAX(usual_us ? MIN(usual_us, target_us) : target_us, OVERDUE_MIN_US_);
}
