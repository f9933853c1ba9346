/* SPDX-License-Identifier: BSD-3-Clause */
#include "bayhoist/shutdown.h"

#include <glib.h>

/* Least duration of a stop without work: callers may use an answer of the directory, which is valid for a
 * second, for three times that long, and then connect. */
#define MIN_US_ (3200 * BH__MS_US)

/* Time from the beginning of a stop after which callers have had newer answers of the directory, and hold
 * this node's address for longer than they should. */
#define CALLERS_REDIRECTED_US_ (3 * BH__SECOND_US)

/* Time before the end of the grace period at which the node exits: its last answers and the end of the
 * process take part of it. */
#define MARGIN_US_ (250 * BH__MS_US)

/* Time in which connections that are being set up are completed: a round trip in a region, and the time that
 * busy hosts take for it. New ones are dropped meanwhile, and tried again by their callers after a second. */
#define HANDSHAKES_US_ (100 * BH__MS_US)

/* Time that callers which have connected have for their first requests once no new connections begin.
 * A caller that connects in order to ask does so at once, or after a packet that was lost is sent again. */
#define FIRST_REQUESTS_US_ BH__SECOND_US

/* Silences that an answer is given time for, each as long as its caller waits through one. While no other
 * node takes requests, what is refused finds nobody, so that only one is thought of. */
#define SILENCES_WITH_PEERS_ 2
#define SILENCES_ALONE_ 1

static uint64_t get_reserve_us_(const BH__Shutdown *s, const BH__ShutdownRequest *r, uint64_t now_us);

/* Begins a stop, at whose end the process has to be gone `grace_us` after `now_us`. */
void bh__shutdown_begin(BH__Shutdown *s, uint64_t grace_us, uint64_t now_us)
{
	s->began_us = now_us;
	s->exit_us = now_us + grace_us - MIN(grace_us, MARGIN_US_);
	s->closed_us = 0;
	s->is_ending = false;
}

/* Returns true if no new connections are to begin: the node is to exit, or will when those that are being set
 * up are completed. */
bool bh__shutdown_is_closing_due(const BH__Shutdown *s, bool is_busy, uint64_t now_us)
{
	return s->closed_us || bh__shutdown_is_due(s, is_busy, now_us) || now_us + HANDSHAKES_US_ >= s->exit_us;
}

/* Returns true if connections may still be set up that began before no new ones did. */
bool bh__shutdown_awaits_handshakes(const BH__Shutdown *s, uint64_t now_us)
{
	return now_us < MIN(s->closed_us + HANDSHAKES_US_, s->exit_us);
}

/* Records that no new connections begin. */
void bh__shutdown_close(BH__Shutdown *s, uint64_t now_us)
{
	s->closed_us = now_us;
}

/* Returns true if the node, which takes no new connections, still waits for the first requests of
 * `callers` that have connected: one that is sent to a node which has gone meets a reset. */
bool bh__shutdown_awaits_callers(const BH__Shutdown *s, unsigned callers, uint64_t now_us)
{
	return callers > 0 && now_us < MIN(s->closed_us + FIRST_REQUESTS_US_, s->exit_us);
}

/* Ends the stop: nothing more may be sent. */
void bh__shutdown_end(BH__Shutdown *s, uint64_t now_us)
{
	s->exit_us = now_us;
	s->is_ending = true;
}

/* Returns true if the node is to exit now: its time is up, or it has no work left and callers have had the
 * time to find other nodes. */
bool bh__shutdown_is_due(const BH__Shutdown *s, bool is_busy, uint64_t now_us)
{
	return now_us >= s->exit_us || (!is_busy && now_us >= s->began_us + MIN_US_);
}

/* Returns the time until the node exits at the latest, in microseconds. */
uint64_t bh__shutdown_get_left_us(const BH__Shutdown *s, uint64_t now_us)
{
	return s->exit_us - MIN(now_us, s->exit_us);
}

/* Returns the time, in microseconds, that a request which is sent now needs to be answered for certain, as
 * far as can be told. */
uint64_t bh__shutdown_get_needed_us(const BH__Shutdown *s, const BH__ShutdownRequest *r, uint64_t now_us)
{
	uint64_t reserve_us = get_reserve_us_(s, r, now_us);
	uint64_t contained_us = r->is_observed ? 0 : r->max_wait_us - MIN(r->target_us, r->max_wait_us);

	return r->longest_us + reserve_us - MIN(reserve_us, contained_us);
}

/* Returns how much of the time left is kept for silences of the endpoint. In the first seconds callers can't
 * know other nodes yet, so only silences that have occurred count; later ones find other nodes by themselves,
 * and what this node takes it must end. If all nodes leave, each schedules for itself, and engines get more
 * than any of them knows of: their first events may be as late as is borne of an engine. */
static uint64_t get_reserve_us_(const BH__Shutdown *s, const BH__ShutdownRequest *r, uint64_t now_us)
{
	uint64_t late_us = r->is_engine && !r->has_peers ? r->max_wait_us - MIN(r->target_us, r->max_wait_us) : 0;
	uint64_t silences = r->has_peers ? SILENCES_WITH_PEERS_ : SILENCES_ALONE_;

	if (now_us < s->began_us + CALLERS_REDIRECTED_US_)
		return MAX(late_us, r->silence_us);
	return MAX(MAX(late_us, silences * r->patience_us), r->silence_us);
}

/* Returns true if the answer to a request that is sent now ends before the node exits, as far as can be told.
 */
bool bh__shutdown_may_send(const BH__Shutdown *s, const BH__ShutdownRequest *r, uint64_t now_us)
{
	return now_us + bh__shutdown_get_needed_us(s, r, now_us) <= s->exit_us;
}
