/* SPDX-License-Identifier: BSD-3-Clause */
/* The planned stop of a node: callers are directed to other nodes, requests in progress are completed, and
 * the event loop ends when none is left, or when the grace period is used up. */
#include "call_internal.h"

#include "clock.h"
#include "log.h"
#include "relay_server.h"

/* Minimum duration of a planned stop: callers find other nodes through the directory and may use cached
 * answers for this long. */
#define STOP_MIN_MS 3200
/* Part of stop_grace_ms within which an answer must end that is begun while the node leaves, as far as can be
 * told. The rest is for answers that take longer than that, since an engine may pause. */
#define STOP_GRACE_FRACTION 0.9
/* Time before the end of stop_grace_ms at which calls are ended: for the last answers and the exit. */
#define STOP_MARGIN_MS 400
#define STOP_CHECK_PERIOD_MS 50
#define STOP_FLUSH_MS 100 /* time to send the last answers */

static void on_check_(evutil_socket_t fd, short what, void *arg);
static void end_calls_(Gate *g);

/* Begins a planned stop: callers are directed to other nodes, and requests in progress are completed. A
 * second `signal` stops at once. */
void stop_begin(Gate *g, int signal)
{
	struct timeval check = {0, STOP_CHECK_PERIOD_MS * 1000};
	struct event *timer;

	log_event("stop", "what=begun signal=%d calls=%u connections=%u", signal, g_hash_table_size(g->calls),
			  g_hash_table_size(g->inbounds));
	if (g->leaving_since_us) {
		event_base_loopbreak(g->base);
		return;
	}
	g->leaving_since_us = clock_now_us();
	g->answers_due_us =
		g->leaving_since_us + (uint64_t)((double)g->settings.stop_grace_ms * BH__MS_US * STOP_GRACE_FRACTION);
	g->stop_at_us = g->leaving_since_us + g->settings.stop_grace_ms * BH__MS_US;
	g->stop_at_us = MAX(g->answers_due_us, g->stop_at_us - STOP_MARGIN_MS * BH__MS_US);
	cluster_leave(g->cluster, g->leaving_since_us);
	timer = event_new(g->base, -1, EV_PERSIST, on_check_, g);
	event_add(timer, &check);
	g_ptr_array_add(g->own_events, timer);
}

/* Ends a planned stop when no calls are left and the minimum duration is over, or when the grace period is
 * used up. */
static void on_check_(evutil_socket_t fd, short what, void *arg)
{
	Gate *g = arg;
	const struct timeval flush = {0, STOP_FLUSH_MS * 1000};
	uint64_t now_us = clock_now_us();
	bool min_time_over = now_us >= g->leaving_since_us + STOP_MIN_MS * BH__MS_US;
	unsigned unsent = inbounds_count_unsent(g);
	unsigned busy = g_hash_table_size(g->calls) + relay_server_get_count(g->relay_server) + unsent;

	(void)fd;
	(void)what;
	if (g->is_ending || (now_us < g->stop_at_us && !(min_time_over && !busy)))
		return;
	log_event("stop", "what=ending calls=%u relays=%u unread=%u", g_hash_table_size(g->calls),
			  relay_server_get_count(g->relay_server), unsent);
	g->is_ending = true;
	g->stop_at_us = now_us;
	g->answers_due_us = now_us; /* new requests are refused from now on */
	inbounds_stop_listening(g);
	end_calls_(g);
	event_base_loopexit(g->base, &flush);
}

/* Ends all calls shortly before the node exits: refuses requests that have not run, fails those that may have
 * run and have no answer yet, and breaks off answers that have begun. */
static void end_calls_(Gate *g)
{
	GList *all = g_hash_table_get_keys(g->calls);

	for (GList *it = all; it; it = it->next) {
		Call *c = it->data;
		if (!g_hash_table_contains(g->calls, c))
			continue;
		if (c->state == CALL_STARTING) {
			call_refuse(c, 503, RETRY_SOON_MS, "node-leaving", "this node stops");
			continue;
		}
		call_note_unfinished(c);
		c->retry.may_have_run |= c->state == CALL_DISPATCHED && c->out && outbound_is_connected(c->out);
		call_abandon(c, call_retry_stopping_ms(g, clock_now_us()), "node-leaving", "this node stops");
	}
	g_list_free(all);
}
