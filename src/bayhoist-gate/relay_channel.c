/* SPDX-License-Identifier: BSD-3-Clause */
/* A channel through a peer, which connects to the endpoint and passes the bytes both ways. Nothing of the
 * request is sent before the peer has said that it is connected, so a request whose channel never opened has
 * not run. A peer that does not connect is replaced by another one. */
#include "channel.h"

#include <string.h>
#include "clock.h"
#include "links.h"
#include "log.h"
#include "peer_stream.h"

#define PEERS_MAX 6 /* peers that are asked for one channel */
/* A peer takes as long as a connection of this node's, and a round trip more. */
#define PEER_PATIENCE_FACTOR 2

typedef struct {
	Channel base; /* first member: callbacks cast it to the enclosing structure */
	Gate *gate;
	PeerStream *stream; /* to the current peer; NULL: none */
	uint64_t peer;      /* node id of the current peer; 0: none */
	uint64_t asked[PEERS_MAX];
	unsigned asked_count;
	uint64_t endpoint_id;
	char request_id[BH__REQUEST_ID_LEN];
	uint64_t request_bytes; /* of the whole request */
	uint64_t began_us;
	uint64_t give_up_us; /* when no further peer is asked */
	struct event *timer; /* fires when the current peer is left for the next one, or there is none */
	bool is_open;
	bool is_closed; /* closed; the event loop frees the memory later */
} RelayChannel;

static void write_(Channel *c, struct evbuffer *data);
static void pause_(Channel *c, bool paused);
static void close_(Channel *c);
static void ask_next_peer_(RelayChannel *r);
static void send_open_(RelayChannel *r, uint64_t time_us);
static void set_timer_(RelayChannel *r, uint64_t wait_us);
static void leave_peer_(RelayChannel *r);
static void on_message_(void *ctx, const BH__Message *m);
static void on_reply_(RelayChannel *r, BH__RelayResult result);
static void on_data_(RelayChannel *r, const BH__Message *m);
static void on_drained_(void *ctx);
static void on_closed_(void *ctx);
static void on_timer_(evutil_socket_t fd, short what, void *arg);
static void end_(RelayChannel *r, ChannelEnd end);
static void on_free_(evutil_socket_t fd, short what, void *arg);

static const ChannelOps Ops_ = {.write = write_, .pause = pause_, .close = close_};
static const PeerStreamCallbacks StreamCallbacks_ = {
	.on_message = on_message_, .on_drained = on_drained_, .on_closed = on_closed_};

/* Begins to open a channel to an endpoint through some peer, for `patience_us` at most. `request_bytes` are
 * to be written, so that the peer can tell whether the endpoint took them all. An empty `request_id` means a
 * probe, after which no request is sent. */
Channel *relay_channel_new(Gate *g, uint64_t endpoint_id, const char *request_id, uint64_t request_bytes,
						   uint64_t patience_us, const ChannelCallbacks *cb, void *ctx)
{
	RelayChannel *r = g_new0(RelayChannel, 1);

	r->base = (Channel){.ops = &Ops_, .cb = *cb, .ctx = ctx};
	r->gate = g;
	r->endpoint_id = endpoint_id;
	r->request_bytes = request_bytes;
	r->began_us = clock_now_us();
	r->give_up_us = r->began_us + patience_us;
	g_strlcpy(r->request_id, request_id, sizeof r->request_id);
	r->timer = evtimer_new(g->base, on_timer_, r);
	ask_next_peer_(r);
	return &r->base;
}

/* Asks the next peer to connect, and waits for it until the next one is to be asked. If there is none, the
 * channel ends from the event loop. */
static void ask_next_peer_(RelayChannel *r)
{
	uint64_t now_us = clock_now_us();
	uint64_t left_us = r->give_up_us > now_us ? r->give_up_us - now_us : 0;
	const BH__MemberInfo *info = NULL;

	if (r->asked_count < PEERS_MAX && left_us > 0)
		info = links_pick_peer(r->gate->links, r->endpoint_id, r->asked, r->asked_count);
	if (!info) {
		set_timer_(r, 0);
		return;
	}
	r->peer = info->node_id;
	r->asked[r->asked_count++] = info->node_id;
	links_note_peer_begin(r->gate->links, r->peer);
	r->stream =
		peer_stream_open(r->gate->base, info->peer_address, r->gate->settings.peer_key, &StreamCallbacks_, r);
	send_open_(r, left_us);
	set_timer_(r, MIN(left_us, links_get_patience_us(r->gate->links) * PEER_PATIENCE_FACTOR));
}

/* Names the endpoint to the current peer, which has `time_us` to connect. */
static void send_open_(RelayChannel *r, uint64_t time_us)
{
	BH__Message m = {.type = BH__MESSAGE_RELAY_OPEN};

	links_fill_sender(r->gate->links, &m);
	m.as.relay_open.endpoint_id = r->endpoint_id;
	m.as.relay_open.time_us = time_us;
	m.as.relay_open.is_probe = !r->request_id[0];
	m.as.relay_open.request_bytes = r->request_bytes;
	g_strlcpy(m.as.relay_open.request_id, r->request_id, sizeof m.as.relay_open.request_id);
	peer_stream_send(r->stream, &m);
}

static void set_timer_(RelayChannel *r, uint64_t wait_us)
{
	struct timeval tv = {(time_t)(wait_us / BH__SECOND_US), (suseconds_t)(wait_us % BH__SECOND_US)};

	evtimer_add(r->timer, &tv);
}

/* Closes the stream to the current peer. */
static void leave_peer_(RelayChannel *r)
{
	if (r->stream)
		peer_stream_close(r->stream);
	if (r->peer)
		links_note_peer_end(r->gate->links, r->peer);
	r->stream = NULL;
	r->peer = 0;
}

static void on_message_(void *ctx, const BH__Message *m)
{
	RelayChannel *r = ctx;

	if (m->type == BH__MESSAGE_RELAY_REPLY && !r->is_open)
		on_reply_(r, m->as.relay_reply.result);
	else if (m->type == BH__MESSAGE_RELAY_DATA && r->is_open)
		on_data_(r, m);
	else if (m->type == BH__MESSAGE_RELAY_END && r->is_open)
		end_(r, m->as.relay_end.is_clean ? CHANNEL_CLOSED : CHANNEL_BROKEN);
}

/* Handles a peer's answer. If the endpoint itself could not be connected to, other peers are not asked: two
 * nodes that fail tell enough. */
static void on_reply_(RelayChannel *r, BH__RelayResult result)
{
	uint64_t peer = r->peer;

	links_note_reply(r->gate->links, peer, r->endpoint_id, result);
	if (result == BH__RELAY_OPENED) {
		r->is_open = true;
		evtimer_del(r->timer);
		log_event("relay", "what=through request=%s peer=%s took_ms=%" G_GUINT64_FORMAT, r->request_id,
				  links_get_name(r->gate->links, peer), (clock_now_us() - r->began_us) / BH__MS_US);
		r->base.cb.on_open(r->base.ctx, &r->base);
		return;
	}
	if (result == BH__RELAY_ENDPOINT_REFUSED) {
		end_(r, CHANNEL_REFUSED);
		return;
	}
	if (result == BH__RELAY_ENDPOINT_SILENT) {
		end_(r, CHANNEL_SILENT);
		return;
	}
	leave_peer_(r);
	ask_next_peer_(r);
}

static void on_data_(RelayChannel *r, const BH__Message *m)
{
	struct evbuffer *data = evbuffer_new();

	evbuffer_add(data, m->as.relay_data.bytes, m->as.relay_data.len);
	r->base.cb.on_data(r->base.ctx, &r->base, data);
	evbuffer_free(data);
}

static void on_drained_(void *ctx)
{
	RelayChannel *r = ctx;

	if (r->is_open && r->base.cb.on_drained)
		r->base.cb.on_drained(r->base.ctx, &r->base);
}

/* Handles a stream that could not be set up, after which another peer is asked, or that broke. */
static void on_closed_(void *ctx)
{
	RelayChannel *r = ctx;

	r->stream = NULL;
	if (r->is_open) {
		end_(r, CHANNEL_LOST);
		return;
	}
	links_note_peer_lost(r->gate->links, r->peer);
	leave_peer_(r);
	ask_next_peer_(r);
}

/* Leaves a peer that has not answered for the next one. If there is no other, waits for it until the end. */
static void on_timer_(evutil_socket_t fd, short what, void *arg)
{
	RelayChannel *r = arg;
	uint64_t now_us = clock_now_us();

	(void)fd;
	(void)what;
	if (!r->peer || now_us >= r->give_up_us) {
		end_(r, CHANNEL_NO_PEER);
		return;
	}
	if (r->asked_count == PEERS_MAX ||
		!links_pick_peer(r->gate->links, r->endpoint_id, r->asked, r->asked_count)) {
		set_timer_(r, r->give_up_us - now_us);
		return;
	}
	leave_peer_(r);
	ask_next_peer_(r);
}

static void end_(RelayChannel *r, ChannelEnd end)
{
	close_(&r->base);
	r->base.cb.on_end(r->base.ctx, &r->base, end);
}

static void write_(Channel *c, struct evbuffer *data)
{
	RelayChannel *r = (RelayChannel *)c;

	links_send_bytes(r->gate->links, r->stream, data);
}

static void pause_(Channel *c, bool paused)
{
	RelayChannel *r = (RelayChannel *)c;

	if (r->stream)
		peer_stream_pause(r->stream, paused);
}

/* Closes the stream, which the peer takes as the end of the request; the event loop frees the memory later.
 */
static void close_(Channel *c)
{
	RelayChannel *r = (RelayChannel *)c;
	struct timeval at_once = {0, 0};

	if (r->is_closed)
		return;
	r->is_closed = true;
	leave_peer_(r);
	event_free(r->timer);
	event_base_once(r->gate->base, -1, EV_TIMEOUT, on_free_, r, &at_once);
}

static void on_free_(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	g_free(arg);
}
