/* SPDX-License-Identifier: BSD-3-Clause */
/* The planned stop of a node: callers are directed to other nodes, requests in progress are completed, and
 * the event loop ends when none is left, or when the grace period is used up. */
#include "call_internal.h"

#include <signal.h>
#include "clock.h"
#include "log.h"
#include "relay_server.h"

#define STOP_CHECK_PERIOD_MS 50
#define STOP_FLUSH_MS 100 /* time to send the last answers */

static void on_check_(evutil_socket_t fd, short what, void *arg);
static void end_calls_(Gate *g);

/* Begins a planned stop: callers are directed to other nodes, and requests in progress are completed. A
 * repeated SIGTERM changes nothing, since whoever supervises the node may send it again while it stops; only
 * SIGINT, which a person sends, ends a stop at once. */
void stop_begin(Gate *g, int signal)
{
	struct timeval check = {0, STOP_CHECK_PERIOD_MS * 1000};
	struct event *timer;

	log_event("stop", "what=%s signal=%d calls=%u connections=%u",
			  g->shutdown.began_us ? "repeated" : "begun", signal, g_hash_table_size(g->calls),
			  g_hash_table_size(g->inbounds));
	if (g->shutdown.began_us) {
		if (signal == SIGINT)
			event_base_loopbreak(g->base);
		return;
	}
	bh__shutdown_begin(&g->shutdown, g->settings.stop_grace_ms * BH__MS_US, clock_now_us());
	cluster_leave(g->cluster, g->shutdown.began_us);
	timer = event_new(g->base, -1, EV_PERSIST, on_check_, g);
	event_add(timer, &check);
	g_ptr_array_add(g->own_events, timer);
}

/* Ends the planned stop when it is due: first no new connections begin, then those that were being set up are
 * accepted, and callers that have not asked yet get the time to. */
static void on_check_(evutil_socket_t fd, short what, void *arg)
{
	Gate *g = arg;
	const struct timeval flush = {0, STOP_FLUSH_MS * 1000};
	unsigned unsent = inbounds_count_unsent(g);
	unsigned incomplete = inbounds_count_incomplete(g);
	unsigned busy =
		g_hash_table_size(g->calls) + relay_server_get_count(g->relay_server) + unsent + incomplete;
	uint64_t now_us = clock_now_us();

	(void)fd;
	(void)what;
	if (g->shutdown.is_ending || !bh__shutdown_is_closing_due(&g->shutdown, busy > 0, now_us))
		return;
	if (!g->shutdown.closed_us) {
		bh__shutdown_close(&g->shutdown, now_us);
		inbounds_refuse_new(g);
	}
	if (bh__shutdown_awaits_handshakes(&g->shutdown, now_us))
		return;
	inbounds_stop_listening(g);
	if (!bh__shutdown_is_due(&g->shutdown, busy > 0, now_us) ||
		bh__shutdown_awaits_callers(&g->shutdown, inbounds_count_unasked(g), now_us))
		return;
	log_event("stop", "what=ending calls=%u relays=%u unread=%u incomplete=%u unasked=%u",
			  g_hash_table_size(g->calls), relay_server_get_count(g->relay_server), unsent, incomplete,
			  inbounds_count_unasked(g));
	bh__shutdown_end(&g->shutdown, now_us);
	end_calls_(g);
	inbounds_refuse_incomplete(g, call_retry_stopping_ms(g, clock_now_us()));
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
